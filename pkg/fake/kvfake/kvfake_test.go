package kvfake_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestServer(t *testing.T) {
	ctx := context.Background()
	startServer := func() (*kvfake.Server, *platform.Client, string) {
		server := kvfake.New(1)
		address, err := server.Start("127.0.0.1:0")
		So(err, ShouldBeNil)
		t.Cleanup(server.Close)
		return server, platform.NewClient(platform.DefaultConfig(address)), address
	}
	Convey("A rate limit set through the admin path rejects calls, and the counters include them", t, func() {
		server, client, address := startServer()
		request := httptest.NewRequest(http.MethodPut, "http://"+address+"/admin/faults",
			strings.NewReader(`{"writes_per_second":1}`))
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		So(recorder.Code, ShouldEqual, http.StatusNoContent)
		So(server.Faults().ReadsPerSecond, ShouldEqual, kvfake.DefaultReadsPerSecond)
		rejected := 0
		for i := range 10 {
			_, err := client.CompareAndSwap(ctx, kv.Put{Key: string(rune('a' + i))})
			if errors.Is(err, kv.ErrBudgetExhausted) {
				rejected++
			}
		}
		So(rejected, ShouldBeGreaterThan, 0)
		So(server.Counters().RateLimited, ShouldEqual, rejected)
		So(server.Counters().Writes, ShouldEqual, 10-rejected)
	})
	Convey("The VM list is returned with the configured lag", t, func() {
		server, client, _ := startServer()
		server.SetVMs([]platform.VM{{ID: "old"}})
		faults := kvfake.DefaultFaults()
		faults.VMLagMillis = time.Hour.Milliseconds()
		server.SetFaults(faults)
		server.SetVMs([]platform.VM{{ID: "new"}})
		vms, err := client.ListVMs(ctx)
		So(err, ShouldBeNil)
		So(vms[0].ID, ShouldEqual, "old")
		server.SetFaults(kvfake.DefaultFaults())
		vms, err = client.ListVMs(ctx)
		So(err, ShouldBeNil)
		So(vms[0].ID, ShouldEqual, "new")
	})
	Convey("A lease survives an outage longer than its TTL if the outage pauses lease expiry", t, func() {
		server, client, _ := startServer()
		lease, err := client.Grant(ctx, 500*time.Millisecond)
		So(err, ShouldBeNil)
		faults := kvfake.DefaultFaults()
		faults.Outage, faults.OutageStopsLeases = true, true
		server.SetFaults(faults)
		time.Sleep(700 * time.Millisecond)
		server.SetFaults(kvfake.DefaultFaults())
		So(client.Renew(ctx, lease), ShouldBeNil)
	})
}
