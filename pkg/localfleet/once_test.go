package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/servicefake"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// answer is what a caller got.
type answer struct {
	status   int
	ran      string
	replayed string
	body     string
}

// result returns the field "result" of a service's answer.
func (a answer) result() string {
	var result servicefake.Result
	_ = json.Unmarshal([]byte(a.body), &result)
	return result.Result
}

// send sends one call of a plain service to a router. Without an answer the
// status is 0.
func send(f *Fleet, router int, method, path, key, body string) answer {
	request, err := http.NewRequest(method, "http://"+f.Routers[router].Daemon.Address()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+f.Config.Deployment.Accounts[0].Key)
	if key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{
		status: response.StatusCode, ran: response.Header.Get(caller.HeaderRan),
		replayed: response.Header.Get(caller.HeaderReplayed), body: string(content),
	}
}

// redeem repeats a redemption that did not run until it has another outcome.
func redeem(f *Fleet, router int, key, business string) answer {
	var got answer
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		got = send(f, router, http.MethodPost, "/redemptions", key, fmt.Sprintf(`{"key":%q}`, business))
		if got.ran != "no" && got.status != 0 || got.status == http.StatusUnprocessableEntity {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return got
}

// executions counts the executions of a business key at all services.
func executions(f *Fleet, business string) int {
	count := 0
	for _, target := range f.Targets {
		if target.Service != nil {
			count += target.Service.Executions().ByKey[business]
		}
	}
	return count
}

func startSmall(services, routers int) *Fleet {
	deployment := SmallDeployment()
	deployment.Pools[0].TargetCount = 2
	deployment.Pools[1].TargetCount = services
	deployment.Accounts = append([]workload.Account(nil), deployment.Accounts...)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	fleet, err := Start(ctx, Config{
		Deployment: deployment, RouterCount: routers, Seed: 7, LogOutput: io.Discard,
		Engine: enginefake.Config{BlockTokens: 500},
	})
	So(err, ShouldBeNil)
	Reset(fleet.Close)
	return fleet
}

func TestRedemption(t *testing.T) {
	Convey("A redemption runs once and its answer is given again", t, func() {
		fleet := startSmall(2, 2)
		first := redeem(fleet, 0, "key-1", "voucher-1")
		So(first.status, ShouldEqual, http.StatusOK)
		So(first.replayed, ShouldBeEmpty)
		So(first.result(), ShouldEqual, servicefake.ResultOf("voucher-1"))

		again := redeem(fleet, 1, "key-1", "voucher-1")
		So(again.status, ShouldEqual, http.StatusOK)
		So(again.replayed, ShouldEqual, "true")
		So(again.body, ShouldEqual, first.body)
		So(executions(fleet, "voucher-1"), ShouldEqual, 1)

		Convey("another body with the same key is refused", func() {
			other := redeem(fleet, 0, "key-1", "voucher-2")
			So(other.status, ShouldEqual, http.StatusUnprocessableEntity)
			So(other.ran, ShouldEqual, "no")
			So(executions(fleet, "voucher-2"), ShouldEqual, 0)
		})
		Convey("a call without a key is its own, and an overlong key is refused", func() {
			So(redeem(fleet, 0, "", "voucher-3").status, ShouldEqual, http.StatusOK)
			So(redeem(fleet, 0, "", "voucher-3").status, ShouldEqual, http.StatusOK)
			So(executions(fleet, "voucher-3"), ShouldEqual, 2)
			long := send(fleet, 0, http.MethodPost, "/redemptions", string(bytes.Repeat([]byte("k"), 256)), `{"key":"x"}`)
			So(long.status, ShouldEqual, http.StatusBadRequest)
		})
		Convey("lookups repeat freely", func() {
			for range 3 {
				So(send(fleet, 0, http.MethodGet, "/lookups/1", "key-1", "").status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

func TestNoRepetitionByTransport(t *testing.T) {
	Convey("A service that cuts reused connections after reading runs each call once", t, func() {
		fleet := startSmall(1, 1)
		service := fleet.Targets[len(fleet.Targets)-1].Service
		for i := range 20 {
			// The first call leaves connections idle that the second reuses.
			So(redeem(fleet, 0, "", fmt.Sprintf("warm-%d", i)).status, ShouldEqual, http.StatusOK)
			business := fmt.Sprintf("cut-%d", i)
			service.SetFault(servicefake.Fault{CutAfter: true, Times: 1})
			got := redeem(fleet, 0, "key-"+business, business)
			So(got.ran, ShouldEqual, "unknown")
			So(redeem(fleet, 0, "key-"+business, business).ran, ShouldEqual, "unknown")
			So(executions(fleet, business), ShouldEqual, 1)
			// The standard transport repeats calls without a body by itself,
			// on reused connections; the cut above closed the idle ones.
			So(redeem(fleet, 0, "", "again-"+business).status, ShouldEqual, http.StatusOK)
			before := service.Executions().Lookups
			service.SetFault(servicefake.Fault{CutAfter: true, Times: 1})
			got = send(fleet, 0, http.MethodGet, "/redemptions/"+business, "read-"+business, "")
			So(got.ran, ShouldEqual, "unknown")
			So(service.Executions().Lookups, ShouldEqual, before+1)
		}
	})
}

func TestRedemptionOutlivesItsOwner(t *testing.T) {
	Convey("The answer is given again after the owner crashed or was stopped", t, func() {
		fleet := startSmall(3, 1)
		for i, end := range []func(*Target){fleet.KillAgent, func(target *Target) { _ = fleet.StopAgent(target) }} {
			for k := range 8 {
				business := fmt.Sprintf("voucher-%d-%d", i, k)
				So(redeem(fleet, 0, business, business).status, ShouldEqual, http.StatusOK)
			}
			// Outcomes are written behind the answers; a crash may lose those
			// that are not written yet, a planned stop loses none.
			time.Sleep(100 * time.Millisecond)
			target := fleet.Targets[i]
			end(target)
			for k := range 8 {
				business := fmt.Sprintf("voucher-%d-%d", i, k)
				again := redeem(fleet, 0, business, business)
				So(again.status, ShouldEqual, http.StatusOK)
				So(again.result(), ShouldEqual, servicefake.ResultOf(business))
				So(executions(fleet, business), ShouldEqual, 1)
			}
			So(fleet.StartAgent(target), ShouldBeNil)
		}
	})
}

func TestPlannedStopWaitsForCalls(t *testing.T) {
	Convey("A planned stop waits for calls under way before it hands their slots over", t, func() {
		fleet := startSmall(2, 1)
		So(redeem(fleet, 0, "", "warm").status, ShouldEqual, http.StatusOK)
		for _, target := range fleet.Targets[2:] {
			target.Service.SetFault(servicefake.Fault{Delay: 700 * time.Millisecond})
		}
		for i := range 2 {
			var group sync.WaitGroup
			answers := make([]answer, 16)
			for k := range answers {
				business := fmt.Sprintf("voucher-%d-%d", i, k)
				group.Go(func() { answers[k] = redeem(fleet, 0, business, business) })
			}
			time.Sleep(250 * time.Millisecond)
			target := fleet.Targets[i]
			So(fleet.StopAgent(target), ShouldBeNil)
			group.Wait()
			for k, first := range answers {
				business := fmt.Sprintf("voucher-%d-%d", i, k)
				So(first.status, ShouldEqual, http.StatusOK)
				So(redeem(fleet, 0, business, business).status, ShouldEqual, http.StatusOK)
				So(executions(fleet, business), ShouldEqual, 1)
			}
			So(fleet.StartAgent(target), ShouldBeNil)
		}
	})
}
