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
	// distressCallersPerEntry is the number of callers for each entry process, and
	// distressInterval the interval between the requests of each.
	distressCallersPerEntry = 4
	distressInterval        = 25 * time.Millisecond
	// crashingPart is a part of prompts that crashes targets; one request in
	// crashingRequestInterval contains it.
	crashingPart            = "dead"
	crashingRequestInterval = 20
	targetRestartDelay      = 400 * time.Millisecond
	// contactBound is the time within which the fleet acts on what it knows. Later than
	// that after boundCrashes crashes, at most maxLaterCrashes may follow.
	contactBound    = 3 * time.Second
	boundCrashes    = 5
	maxLaterCrashes = 3
	// minServedAtEnd is the number of sound requests in a row that are served at the end.
	minServedAtEnd = 20
)

// distressInjectors are the faults beside which targets crash.
var distressInjectors = []faultInjector{
	stopProcess, killProcess, pauseProcess, injectStoreLinkFault, injectStoreLinkFault, makeStoreUnavailable, loseStoreWatches,
}

// distress is a deployment with targets that crash on a part of prompts. They are reached without links, so that a crashed one refuses connections.
type distress struct {
	*deployment
	mu       sync.Mutex
	ended    bool
	started  int
	live     []*platformfake.Target
	crashes  []time.Time
	requests int
}

func newDistress(t *testing.T, seed uint64) *distress {
	d := &distress{deployment: newDeployment(t, seed, *entryCount, 1)}
	// The deployment's own target doesn't crash, and must not serve requests.
	d.targets[0].SetHandler(func(w http.ResponseWriter, _ *http.Request) { d.targets[0].RejectNotRun(w) })
	d.store.Remove("servers/" + d.targets[0].ID)
	for range 2 * *targetCount {
		d.startTarget()
	}
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

func (d *distress) startTarget() {
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

func (d *distress) serve(target *platformfake.Target, w http.ResponseWriter, r *http.Request) {
	target.SetStamp(w)
	if !strings.Contains(r.Header.Get(platformfake.HeaderPromptPrefix), crashingPart) {
		_, _ = io.WriteString(w, streamEvent("a", 1))
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()
	target.Crash()
	time.AfterFunc(targetRestartDelay, func() {
		d.store.Remove("servers/" + target.ID)
		d.startTarget()
	})
}

// send sends a prompt to a process and returns the status, or 0 without a response.
func (d *distress) send(process int, parts string) int {
	d.mu.Lock()
	d.requests++
	id := fmt.Sprintf("p%d-%d", process, d.requests)
	d.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.processes[process].address+"/stream/1", strings.NewReader(""))
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
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// call sends requests to one process until done is closed.
func (d *distress) call(process int, random *rand.Rand, done <-chan struct{}) {
	for {
		parts := fmt.Sprintf("common:100,companion-%d:50", random.IntN(5))
		if random.IntN(crashingRequestInterval) == 0 {
			parts += "," + crashingPart + ":50"
		}
		d.send(process, parts)
		select {
		case <-done:
			return
		case <-time.After(distressInterval):
		}
	}
}

// TestSoakDistressedTargets guards against targets that crash one after the other on one
// part of prompts, while processes are killed, stopped and paused and the store fails.
func TestSoakDistressedTargets(t *testing.T) {
	runSeeds(t, nil, func(t *testing.T, seed uint64) {
		d := newDistress(t, seed)
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range distressCallersPerEntry * *entryCount {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			callers.Go(func() { d.call(i%*entryCount, random, done) })
		}
		d.injectFaults(distressInjectors, rand.New(rand.NewPCG(seed, 1)), time.Now().Add(*faultDuration+contactBound))
		d.clearFaults()
		time.Sleep(contactBound)
		close(done)
		callers.Wait()
		d.checkCrashes()
		d.checkSound()
		t.Logf("seed %d: %d requests, %d crashes", seed, d.requests, len(d.crashes))
	})
}

func (d *distress) checkCrashes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < boundCrashes {
		return
	}
	bound := d.crashes[boundCrashes-1].Add(contactBound)
	later := 0
	for _, at := range d.crashes {
		if at.After(bound) {
			later++
		}
	}
	if later > maxLaterCrashes {
		d.t.Errorf("%d crashes later than %v after the fifth of %d", later, contactBound, len(d.crashes))
	}
}

// checkSound checks that sound requests are served at the end, also those with parts that
// were beside the crashing one.
func (d *distress) checkSound() {
	for i := range minServedAtEnd {
		parts := fmt.Sprintf("common:100,companion-%d:50", i%5)
		if status := d.send(i%*entryCount, parts); status != http.StatusOK {
			d.t.Errorf("a sound request at the end got status %d", status)
		}
	}
}
