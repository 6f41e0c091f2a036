package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// crashCallersPerEntry is the number of callers for each entry process, and
	// crashCallerInterval the interval between the requests of each.
	crashCallersPerEntry = 4
	crashCallerInterval  = 25 * time.Millisecond
	// crashingPart is a part of prompts that crashes targets; one request in
	// crashingRequestInterval contains it.
	crashingPart            = "dead"
	crashingRequestInterval = 20
	// crashingPath is the path of a request that crashes targets each time it is repeated. Later
	// than contactBound after boundRepeats crashes, at most maxLaterCrashes may follow.
	crashingPath       = "/safe/crash"
	boundRepeats       = 3
	targetRestartDelay = 400 * time.Millisecond
	// contactBound is the time within which the fleet acts on what it knows. Later than
	// that after boundCrashes crashes, at most maxLaterCrashes may follow.
	contactBound    = 3 * time.Second
	boundCrashes    = 5
	maxLaterCrashes = 3
	// namedLimit is the limit of one target in requests per second. In each window of
	// limitWindow, maxInLimitWindow requests may arrive.
	namedLimit       = 2
	limitWindow      = 4 * time.Second
	maxInLimitWindow = 1.5*namedLimit*4 + 5
	// minServedAtEnd is the number of sound requests in a row that are served at the end.
	minServedAtEnd = 20
)

// processAndStoreInjectors are the faults beside which targets crash and name limits.
var processAndStoreInjectors = []faultInjector{
	stopProcess, killProcess, pauseProcess, injectStoreLinkFault, injectStoreLinkFault, makeStoreUnavailable, loseStoreWatches,
	cutOffFromPeers, cutOffFromPeers,
}

// arrival is the arrival of a process's request at a target.
type arrival struct {
	at      time.Time
	process int
}

// crashingDeployment is a deployment with targets that crash on a part of prompts, one of which
// names a limit. They are reached without links, so that a crashed one refuses connections.
type crashingDeployment struct {
	*deployment
	limited *platformfake.Target
	namedAt time.Time

	mu      sync.Mutex
	ended   bool
	started int
	live    []*platformfake.Target
	crashes []arrival
	// repeats holds the crashes under crashingPath.
	repeats  []arrival
	arrivals []arrival
	requests int
}

func newCrashingDeployment(t *testing.T, seed uint64) *crashingDeployment {
	d := &crashingDeployment{deployment: newDeployment(t, seed, *entryCount, 1)}
	// The deployment's own target doesn't crash, and must not serve requests.
	d.targets[0].SetHandler(func(w http.ResponseWriter, _ *http.Request) { d.targets[0].RejectNotRun(w) })
	d.store.Remove("servers/" + d.targets[0].ID)
	for range 2 * *targetCount {
		d.startTarget()
	}
	d.limited = d.live[0]
	d.namedAt = time.Now()
	t.Cleanup(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ended = true
		for _, target := range d.live {
			target.CloseClientConnections()
			target.Close()
		}
	})
	return d
}

func (d *crashingDeployment) startTarget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	target := platformfake.NewTarget(fmt.Sprint("i-", 100+d.started))
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) { d.serve(target, w, r) })
	d.live = append(d.live, target)
	d.store.Put("servers/"+target.ID, target.RegistryEntry("s", fmt.Sprint("zone-", d.started%2), "ready"))
	d.started++
}

func (d *crashingDeployment) serve(target *platformfake.Target, w http.ResponseWriter, r *http.Request) {
	target.SetStamp(w)
	if target == d.limited {
		w.Header().Set(platformfake.HeaderLimit, fmt.Sprint(namedLimit))
		d.recordArrival(r.Header.Get(platformfake.HeaderRequestID))
	}
	isRepeat := r.URL.Path == crashingPath
	switch {
	case isRepeat:
	case strings.Contains(r.Header.Get(platformfake.HeaderPromptPrefix), crashingPart):
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	default:
		_, _ = io.WriteString(w, streamEvent("a", 1))
		return
	}
	if target == d.limited {
		// It doesn't crash, so that its requests can be counted all the time.
		panic(http.ErrAbortHandler)
	}
	d.recordCrash(isRepeat, r.Header.Get(platformfake.HeaderRequestID))
	target.Crash()
	time.AfterFunc(targetRestartDelay, func() {
		d.store.Remove("servers/" + target.ID)
		d.startTarget()
	})
}

func (d *crashingDeployment) recordArrival(requestID string) {
	a := d.newArrival(requestID)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, a)
}

func (d *crashingDeployment) recordCrash(isRepeat bool, requestID string) {
	a := d.newArrival(requestID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if isRepeat {
		d.repeats = append(d.repeats, a)
		return
	}
	d.crashes = append(d.crashes, a)
}

func (d *crashingDeployment) newArrival(requestID string) arrival {
	process := 0
	if _, err := fmt.Sscanf(requestID, "p%d-", &process); err != nil {
		d.t.Errorf("unexpected request %q", requestID)
	}
	return arrival{time.Now(), process}
}

// send sends a prompt to a process and returns the status, or 0 without a response.
func (d *crashingDeployment) send(process int, parts string) int {
	return d.sendTo(process, "/stream/1", parts)
}

func (d *crashingDeployment) sendTo(process int, path, parts string) int {
	d.mu.Lock()
	d.requests++
	id := fmt.Sprintf("p%d-%d", process, d.requests)
	d.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.processes[process].address+path, strings.NewReader(""))
	if err != nil {
		d.t.Errorf("creating a request: %v", err)
		return 0
	}
	req.Host = "h"
	for name, value := range map[string]string{
		platformfake.HeaderRequestID: id, platformfake.HeaderAPIKey: "key-1", platformfake.HeaderModel: "m",
		platformfake.HeaderTokens: "100,10", platformfake.HeaderPromptPrefix: parts + ",own-" + id + ":50",
	} {
		req.Header.Set(name, value)
	}
	return d.status(req)
}

// call sends requests to one process until done is closed.
func (d *crashingDeployment) call(process int, random *rand.Rand, done <-chan struct{}) {
	for {
		parts := fmt.Sprintf("common:100,companion-%d:50", random.IntN(5))
		if random.IntN(crashingRequestInterval) == 0 {
			parts += "," + crashingPart + ":50"
		}
		if random.IntN(crashingRequestInterval) == 0 {
			d.sendTo(process, crashingPath, "common:100")
		} else {
			d.send(process, parts)
		}
		select {
		case <-done:
			return
		case <-time.After(crashCallerInterval):
		}
	}
}

// TestSoakCrashesAndLimits guards against targets that crash one after the other on one
// part of prompts and on one repeated request, and targets that get more than the limit that they name, while processes
// are killed, stopped and paused and the store fails.
func TestSoakCrashesAndLimits(t *testing.T) {
	runSeeds(t, nil, func(t *testing.T, seed uint64) {
		d := newCrashingDeployment(t, seed)
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range crashCallersPerEntry * *entryCount {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			callers.Go(func() { d.call(i%*entryCount, random, done) })
		}
		d.injectFaults(processAndStoreInjectors, rand.New(rand.NewPCG(seed, 1)), time.Now().Add(*faultDuration+contactBound))
		d.clearFaults()
		time.Sleep(contactBound)
		close(done)
		callers.Wait()
		d.checkCrashes("part of prompts", d.crashes, boundCrashes)
		d.checkCrashes("request", d.repeats, boundRepeats)
		d.checkLimit()
		d.checkSound()
		t.Logf("seed %d: %d requests, %d and %d crashes, %d requests to the limited target", seed, d.requests, len(d.crashes), len(d.repeats), len(d.arrivals))
	})
}

// checkCrashes counts the crashes under one cause, later than contactBound after the given
// number of them, at processes that had no fault in contactBound before.
func (d *crashingDeployment) checkCrashes(cause string, crashes []arrival, bound int) {
	if len(crashes) < bound {
		return
	}
	deadline := crashes[bound-1].at.Add(contactBound)
	later := 0
	for _, crash := range crashes {
		if crash.at.After(deadline) && d.hadNoFault(crash.process, crash.at.Add(-contactBound), crash.at) {
			later++
		}
	}
	if later > maxLaterCrashes {
		d.t.Errorf("%d crashes under a %s later than %v after number %d of %d", later, cause, contactBound, bound, len(crashes))
	}
}

// checkLimit counts the requests of the processes that had no fault within a window or
// contactBound before it.
func (d *crashingDeployment) checkLimit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for last, end := range d.arrivals {
		if end.at.Before(d.namedAt.Add(contactBound)) {
			continue
		}
		count := 0
		for i := last; i >= 0 && end.at.Sub(d.arrivals[i].at) < limitWindow; i-- {
			if !d.processes[d.arrivals[i].process].mayFail(end.at.Add(-limitWindow-contactBound), end.at, false) {
				count++
			}
		}
		if float64(count) > maxInLimitWindow {
			d.t.Errorf("%d requests within %v to a target that names %d a second, %v after it named that", count, limitWindow, namedLimit, end.at.Sub(d.namedAt))
			return
		}
	}
}

// checkSound checks that sound requests are served at the end, also those with parts that
// were beside the crashing one.
func (d *crashingDeployment) checkSound() {
	for i := range minServedAtEnd {
		parts := fmt.Sprintf("common:100,companion-%d:50", i%5)
		if status := d.send(i%*entryCount, parts); status != http.StatusOK {
			d.t.Errorf("a sound request at the end got status %d", status)
		}
	}
}
