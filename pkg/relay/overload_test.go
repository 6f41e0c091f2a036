package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

const (
	urgentPath, batchPath = "/urgent", "/batch"
	// busyTime is the time that a target works on a request in overloadWorld. With one slot and the
	// default service time of 50 ms, each request in flight adds 25 to 75 ms to the expected time.
	busyTime = 400 * time.Millisecond
)

// overloadWorld is a testWorld with overload control, one engine with one slot, an urgent and a
// less urgent route, and accounts.
type overloadWorld struct {
	*testWorld
	limiter  *tokenrate.Limiter
	accounts []fleet.Account
	stop     context.CancelFunc
	refusing bool
	mu       sync.Mutex
	group    sync.WaitGroup
	answers  []overloadAnswer
}

type overloadAnswer struct {
	path, account string
	status        int
	body          string
	retryAfter    string
	broken        bool
	startedAt     time.Duration
	endedAt       time.Duration
}

// newOverloadWorld must be called in a synctest bubble. respond is the time until the first event
// of each response.
func newOverloadWorld(respond time.Duration) *overloadWorld {
	o := &overloadWorld{testWorld: newTestWorld(fleet.Route{}, 1, 1, stream(respond)), limiter: tokenrate.New(true)}
	for _, name := range []string{"a", "b"} {
		o.accounts = append(o.accounts, fleet.Account{Name: name, TokensPerSecond: 100, Burst: 100, CountsRequests: true})
	}
	backends := []fleet.Backend{{Service: "s", Weight: 1}}
	routes := []fleet.Route{
		{Prefix: urgentPath, Kind: fleet.Stream, Timeout: 3 * time.Second, FirstByteObjective: time.Second, MaxAttempts: 1, Backends: backends},
		{Prefix: batchPath, Kind: fleet.Stream, Priority: 2, Timeout: 3 * time.Second, FirstByteObjective: 2 * time.Second, MaxAttempts: 1, Backends: backends},
	}
	config := fleet.NewConfig(1, fleet.ClientLimits{}, routes, []fleet.Service{{Name: "s", HasEngines: true}}, o.accounts, map[string]string{"a": "a", "b": "b"})
	settings := o.relay.Config
	settings.CurrentConfig = func() *fleet.Config { return config }
	settings.Targets = func() []fleet.Target { return []fleet.Target{{ID: "t0", Service: "s", Address: "t0", Slots: 1}} }
	settings.Limiter, settings.OverloadControl = o.limiter, true
	settings.Refusing = func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.refusing
	}
	settings.DrainExpired, o.stop = context.WithCancel(context.Background())
	o.relay = New(settings)
	o.relay.overload.limitFactor = 1
	return o
}

// send sends a request in its own goroutine. Its caller leaves after patience.
func (o *overloadWorld) send(path, account string, patience time.Duration) {
	o.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		req := httptest.NewRequest(http.MethodPost, path, nil).WithContext(ctx)
		req.Host = ""
		req.Header.Set(testHeaderID, "r")
		req.Header.Set(testHeaderKey, account)
		recorder := httptest.NewRecorder()
		answer := overloadAnswer{path: path, account: account, startedAt: o.now()}
		defer func() {
			answer.broken = recover() != nil
			answer.status, answer.body, answer.endedAt = recorder.Code, recorder.Body.String(), o.now()
			answer.retryAfter = recorder.Header().Get("Retry-After")
			o.mu.Lock()
			defer o.mu.Unlock()
			o.answers = append(o.answers, answer)
		}()
		o.relay.ServeHTTP(recorder, req)
	})
}

// run runs fn in a world and returns the answers of its requests.
func runOverload(t *testing.T, respond time.Duration, fn func(*overloadWorld)) *overloadWorld {
	t.Helper()
	var world *overloadWorld
	synctest.Test(t, func(*testing.T) {
		world = newOverloadWorld(respond)
		fn(world)
		world.group.Wait()
		world.stop()
		world.close()
		synctest.Wait()
	})
	return world
}

func (o *overloadWorld) waitingCount() int64 {
	control := o.relay.overload
	control.mu.RLock()
	defer control.mu.RUnlock()
	return control.queues["s"].length.Load()
}

func (o *overloadWorld) count(match func(*overloadAnswer) bool) int {
	count := 0
	for i := range o.answers {
		if match(&o.answers[i]) {
			count++
		}
	}
	return count
}

func isServed(a *overloadAnswer) bool { return a.status == http.StatusOK && !a.broken }

func isRefused(a *overloadAnswer) bool {
	return a.status == http.StatusServiceUnavailable && strings.HasPrefix(a.body, "overload") && a.retryAfter != ""
}

// TestOverloadControl guards against requests that are lost, charged or answered late when their
// service has no capacity, and against less urgent requests that delay urgent ones.
func TestOverloadControl(t *testing.T) {
	Convey("Less urgent requests beyond the limit wait or are refused, and each is answered once", t, func() {
		world := runOverload(t, busyTime, func(o *overloadWorld) {
			for range 40 {
				o.send(batchPath, "a", 3*time.Second)
				time.Sleep(time.Millisecond)
			}
		})
		served, refused := world.count(isServed), world.count(isRefused)
		So(world.answers, ShouldHaveLength, 40)
		So(served+refused, ShouldEqual, 40)
		So(served, ShouldBeGreaterThan, 5)
		So(refused, ShouldBeGreaterThan, 5)
		So(world.received, ShouldHaveLength, served)
		Convey("and the refused ones are not charged", func() {
			So(world.limiter.Admit(world.now(), &world.accounts[0], float64(100-served)).Admitted, ShouldBeTrue)
		})
	})
	Convey("An urgent request is sent at once while less urgent ones wait", t, func() {
		world := runOverload(t, busyTime, func(o *overloadWorld) {
			for range 20 {
				o.send(batchPath, "a", 3*time.Second)
			}
			time.Sleep(10 * time.Millisecond)
			o.send(urgentPath, "b", 3*time.Second)
		})
		So(world.count(func(a *overloadAnswer) bool {
			return a.path == urgentPath && isServed(a) && a.endedAt-a.startedAt == busyTime
		}), ShouldEqual, 1)
	})
	Convey("A waiting request whose caller leaves frees its place and is not charged", t, func() {
		var charged bool
		var before, after int64
		world := runOverload(t, 10*time.Second, func(o *overloadWorld) {
			for range 20 {
				o.send(batchPath, "b", 100*time.Millisecond)
			}
			time.Sleep(90 * time.Millisecond)
			before = o.waitingCount()
			time.Sleep(20 * time.Millisecond)
			after = o.waitingCount()
			o.testWorld.mu.Lock()
			defer o.testWorld.mu.Unlock()
			charged = !o.limiter.Admit(o.now(), &o.accounts[1], float64(100-len(o.received))).Admitted
		})
		So(before, ShouldBeGreaterThan, 0)
		So(after, ShouldEqual, 0)
		So(charged, ShouldBeFalse)
		So(len(world.received), ShouldBeLessThan, 20)
	})
	Convey("A request that waits in vain is refused in its time and returns later than the ones before it", t, func() {
		world := runOverload(t, 10*time.Second, func(o *overloadWorld) {
			for range 40 {
				o.send(batchPath, "a", 4*time.Second)
			}
		})
		delays := map[string]bool{}
		for i := range world.answers {
			if a := &world.answers[i]; isRefused(a) {
				delays[a.retryAfter] = true
				So(a.endedAt-a.startedAt, ShouldBeLessThan, 3*time.Second)
			}
		}
		So(len(delays), ShouldBeGreaterThan, 10)
	})
	Convey("A request that loses its place while the process stops is answered once", t, func() {
		world := runOverload(t, 10*time.Second, func(o *overloadWorld) {
			o.relay.overload.maxWaiting = 1
			for range 20 {
				o.send(batchPath, "a", 3*time.Second)
			}
			time.Sleep(50 * time.Millisecond)
			o.send(batchPath, "b", 3*time.Second)
			synctest.Wait()
			o.mu.Lock()
			o.refusing = true
			o.mu.Unlock()
		})
		So(world.answers, ShouldHaveLength, 21)
		So(world.count(func(a *overloadAnswer) bool { return a.account == "a" && a.body == "overload_displaced\n" }), ShouldEqual, 1)
		So(world.count(func(a *overloadAnswer) bool { return a.account == "b" && a.body == "stopping\n" }), ShouldEqual, 1)
	})
	Convey("A stopping process refuses the waiting requests", t, func() {
		var after int64
		world := runOverload(t, 10*time.Second, func(o *overloadWorld) {
			for range 20 {
				o.send(batchPath, "a", 3*time.Second)
			}
			time.Sleep(50 * time.Millisecond)
			o.mu.Lock()
			o.refusing = true
			o.mu.Unlock()
			time.Sleep(2 * releaseInterval)
			after = o.waitingCount()
		})
		So(after, ShouldEqual, 0)
		So(world.count(func(a *overloadAnswer) bool { return a.body == "stopping\n" }), ShouldBeGreaterThan, 0)
	})
}
