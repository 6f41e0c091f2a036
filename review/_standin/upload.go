package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upload"] = playUpload }

// Settings of the case: callers send bodies as large as the config allows, and for a few seconds
// more callers come at once.
const (
	uploadMemoryMB = 134
	uploadBytes    = 4 << 20
	uploadWork     = time.Second
	uploadEntries  = 2
	// uploadRate is the number of requests a second at each entry process, and burstFactor what
	// the burst multiplies it with.
	uploadRate   = 14
	burstFactor  = 1.7
	uploadBefore = 10 * time.Second
	uploadBurst  = 3 * time.Second
	uploadAfter  = 7 * time.Second
	allowedLost  = 3
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// pid returns the ID of the present process.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// enforceMemory kills a process that exceeds its memory limit and starts it again, as the platform
// does, until stop is closed.
func enforceMemory(f *fleet, e *entry, stop <-chan struct{}) (kills, peak int) {
	for {
		select {
		case <-stop:
			return kills, peak
		case <-time.After(20 * time.Millisecond):
		}
		resident := residentMB(e.pid())
		peak = max(peak, resident)
		if resident <= uploadMemoryMB {
			continue
		}
		f.rec.log("platform: %s holds %d MB, over memory_mb = %d: killed", e.name, resident, uploadMemoryMB)
		e.kill()
		kills++
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			f.rec.log("platform: %s can't start: %v", e.name, err)
			return kills, peak
		}
	}
}

func playUpload(f *fleet, trouble bool) (bool, error) {
	if err := f.putDraftConfig(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	passedOn := map[string]bool{}
	for n := range 4 {
		e := newEngine(f.rec, fmt.Sprintf("i-%d", n), draftService, "qro-a", 64, func(x *exchange) {
			mu.Lock()
			passedOn[x.id] = true
			mu.Unlock()
			time.Sleep(uploadWork)
			x.write(200, "text/event-stream", event(1, "token"), x.stamp(), "X-Baobabhub-Weights-Versions: 1", "X-Baobabhub-Load: 1,0,64")
		})
		if err := f.startEngine(e); err != nil {
			return false, err
		}
	}
	for range uploadEntries {
		e, err := f.addEntry("qro-a", f.store.Address(), smallBounds(), func(s object) { s["limits"].(object)["memory_mb"] = uploadMemoryMB })
		if err != nil {
			return false, err
		}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var enforcers, senders sync.WaitGroup
	kills, peaks := make([]int, uploadEntries), make([]int, uploadEntries)
	var calls []*call
	for n, e := range f.entries {
		enforcers.Go(func() { kills[n], peaks[n] = enforceMemory(f, e, stop) })
		senders.Go(func() {
			sent := sendUploads(f, e, trouble)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, sent...)
		})
	}
	senders.Wait()
	close(stop)
	enforcers.Wait()
	lost := 0
	for _, q := range calls {
		if q.status == 0 && passedOn[q.id] {
			lost++
			f.rec.log("LOST: %s was passed on to an engine; its channel was closed without an answer", q.id)
		}
	}
	f.rec.verdict("%d requests; peak memory %v MB of %d, ended by the platform %v times; %d requests were passed on and got no answer; the rule allows %d",
		len(calls), peaks, uploadMemoryMB, kills, lost, allowedLost)
	return lost > allowedLost, nil
}

// sendUploads sends requests at a process, and more of them during the burst.
func sendUploads(f *fleet, e *entry, trouble bool) []*call {
	c := newCallers(f.rec, draftHost, draftKey)
	body := make([]byte, uploadBytes)
	var calls []*call
	var wg sync.WaitGroup
	start := time.Now()
	inBurst := false
	for next := start; time.Since(start) < uploadBefore+uploadBurst+uploadAfter; time.Sleep(time.Until(next)) {
		rate := float64(uploadRate)
		burst := trouble && time.Since(start) > uploadBefore && time.Since(start) < uploadBefore+uploadBurst
		if burst != inBurst {
			inBurst = burst
			f.rec.log("disruption: burst %v", burst)
		}
		if burst {
			rate *= burstFactor
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		id := newRequestID()
		q := &call{id: id, method: "POST", path: draftPrefix + id, body: body, timeout: 12 * time.Second, address: e.address, header: map[string]string{
			"X-Baobabhub-Model": modelName, "X-Baobabhub-Tokens": "1460,80",
			"X-Baobabhub-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%s:250", 0x91bd3f00+rand.IntN(40), id[:8]),
		}}
		calls = append(calls, q)
		wg.Go(func() { c.do(q) })
	}
	wg.Wait()
	return calls
}
