package platform_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// startServer starts a fake platform server and returns it with its address.
func startServer(t *testing.T) (*kvfake.Server, string) {
	server := kvfake.New(1)
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, address
}

// eventually waits up to 10 s for condition to hold and returns its last value.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	Convey("A key is created, listed and deleted, and CompareAndSwap rejects a stale revision", t, func() {
		_, address := startServer(t)
		client := platform.NewClient(platform.DefaultConfig(address))
		revision, err := client.CompareAndSwap(ctx, kv.Put{Key: "a/1", Value: []byte("x")})
		So(err, ShouldBeNil)
		_, err = client.CompareAndSwap(ctx, kv.Put{Key: "a/1", Value: []byte("y")})
		So(errors.Is(err, kv.ErrConflict), ShouldBeTrue)
		entries, _, err := client.List(ctx, "a/")
		So(err, ShouldBeNil)
		So(string(entries[0].Value), ShouldEqual, "x")
		So(client.Delete(ctx, "a/1", revision), ShouldBeNil)
		_, err = client.Get(ctx, "a/1")
		So(errors.Is(err, kv.ErrNotFound), ShouldBeTrue)
	})
	Convey("The keys of a lease that expires during an outage are deleted", t, func() {
		server, address := startServer(t)
		client := platform.NewClient(platform.DefaultConfig(address))
		lease, err := client.Grant(ctx, 100*time.Millisecond)
		So(err, ShouldBeNil)
		_, err = client.CompareAndSwap(ctx, kv.Put{Key: "k", Lease: lease})
		So(err, ShouldBeNil)
		faults := kvfake.DefaultFaults()
		faults.Outage = true
		server.SetFaults(faults)
		So(errors.Is(client.Renew(ctx, lease), kv.ErrUnavailable), ShouldBeTrue)
		time.Sleep(300 * time.Millisecond)
		server.SetFaults(kvfake.DefaultFaults())
		So(errors.Is(client.Renew(ctx, lease), kv.ErrLeaseExpired), ShouldBeTrue)
		_, err = client.Get(ctx, "k")
		So(errors.Is(err, kv.ErrNotFound), ShouldBeTrue)
	})
	Convey("CompareAndSwapConfirmed detects from the stored value whether a write without a response succeeded", t, func() {
		server, address := startServer(t)
		client := platform.NewClient(platform.DefaultConfig(address))
		faults := kvfake.DefaultFaults()
		faults.LostResponseShare = 1
		server.SetFaults(faults)
		revision, err := platform.CompareAndSwapConfirmed(ctx, client, kv.Put{Key: "k", Value: []byte("nonce-1")})
		So(err, ShouldBeNil)
		_, err = platform.CompareAndSwapConfirmed(ctx, client, kv.Put{Key: "k", Value: []byte("nonce-2")})
		So(errors.Is(err, kv.ErrConflict), ShouldBeTrue)
		So(revision, ShouldEqual, 1)
	})
	Convey("The client sends no calls above its rate limit and coalesces concurrent reads of one prefix", t, func() {
		server, address := startServer(t)
		config := platform.DefaultConfig(address)
		config.CallsPerSecond, config.CallBurst = 0.001, 2
		client := platform.NewClient(config)
		faults := kvfake.DefaultFaults()
		faults.DelayMillis = 300
		server.SetFaults(faults)
		var rejected atomic.Int64
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				if _, _, err := client.List(ctx, "p/"); errors.Is(err, kv.ErrBudgetExhausted) {
					rejected.Add(1)
				}
			})
		}
		group.Wait()
		// The first call and one more are within the burst; callers that arrive
		// while such a call is in progress share its result.
		reads := server.Counters().Reads
		So(reads, ShouldBeLessThanOrEqualTo, 2)
		So(rejected.Load(), ShouldBeLessThan, 20)
		for range 3 {
			if _, _, err := client.List(ctx, "q/"); errors.Is(err, kv.ErrBudgetExhausted) {
				rejected.Add(1)
			}
		}
		So(server.Counters().Reads, ShouldEqual, 2)
		So(rejected.Load(), ShouldBeGreaterThanOrEqualTo, 3-(2-reads))
	})
}

func TestFollow(t *testing.T) {
	Convey("A change is reported even if watch calls receive no responses", t, func() {
		server, address := startServer(t)
		faults := kvfake.DefaultFaults()
		faults.StallWatches = true
		server.SetFaults(faults)
		client := platform.NewClient(platform.DefaultConfig(address))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var seen atomic.Int64
		go platform.Follow(ctx, client, "f/", 300*time.Millisecond, func(u platform.Update) {
			seen.Store(int64(len(u.Entries)))
		})
		So(eventually(func() bool { return server.Counters().Reads > 1 }), ShouldBeTrue)
		_, err := client.CompareAndSwap(ctx, kv.Put{Key: "f/1"})
		So(err, ShouldBeNil)
		So(eventually(func() bool { return seen.Load() == 1 }), ShouldBeTrue)
	})
	Convey("100 clients that start together stay within the service's rate limits", t, func() {
		server, address := startServer(t)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var seen atomic.Int64
		for range 100 {
			group.Go(func() {
				client := platform.NewClient(platform.DefaultConfig(address))
				defer client.Close()
				platform.Follow(ctx, client, "h/", 5*time.Second, func(u platform.Update) {
					if u.Snapshot {
						seen.Add(1)
					}
				})
			})
		}
		So(eventually(func() bool { return seen.Load() >= 100 }), ShouldBeTrue)
		cancel()
		group.Wait()
		So(server.Counters().RateLimited, ShouldEqual, 0)
	})
}

// unresponsiveStore loses the responses to all calls.
type unresponsiveStore struct {
	kv.Store
}

func (unresponsiveStore) CompareAndSwap(context.Context, kv.Put) (uint64, error) {
	return 0, errors.WithType(errors.New("connection reset"), kv.ErrUnavailable)
}

func (unresponsiveStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, errors.New("connection refused")
}

// TestUnconfirmedWriteNamesItsCauses guards against an error that tells neither why a write got
// no response nor why it could not be confirmed.
func TestUnconfirmedWriteNamesItsCauses(t *testing.T) {
	Convey("The error of an unconfirmed write has the causes of both calls", t, func() {
		_, err := platform.CompareAndSwapConfirmed(t.Context(), unresponsiveStore{}, kv.Put{Key: "k"})
		So(errors.Is(err, kv.ErrUnavailable), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "connection reset")
		So(err.Error(), ShouldContainSubstring, "connection refused")
	})
}
