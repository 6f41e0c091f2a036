package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clientDelay is the time from a client to a machine, one way, on the sheets of the sites.
const clientDelay = 3 * time.Millisecond

// rollingRestart: the entry processes are restarted one after the other, while clients read long streams
// of a service with two software versions. A client whose stream is cut takes it up at the other process.
func rollingRestart(w *world) {
	const pieces, gap, streams, newStreams = 40, 340, 24, 12
	w.config(1, 230, 15000)
	for i := range 4 {
		ip := fmt.Sprint(w.net, 100+i)
		c := engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: pieces, GapMS: gap, WorkMS: 60, Software: fmt.Sprint("v", 1+i%2)}
		w.startEngine(c)
		w.register(c, 32, "ready")
	}
	first, second := w.startEntry(0, w.store.Address()), w.startEntry(1, w.store.Address())
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	taken, goneOn, mixed := 0, 0, 0
	for n := range streams {
		wg.Go(func() {
			c := &client{w: w, front: first.front}
			a := c.do("POST", fmt.Sprint("/resume/", n), "x", "X-Baobabhub-Deadline-Ms: 15000\r\n")
			w.printf("client: %v", a)
			if a.whole || a.status != 200 {
				return
			}
			begunBy, last := lastEvent(a.body)
			// Clients are 3 ms away: the end, a new channel and the request take four ways.
			time.Sleep(4 * clientDelay)
			again := &client{w: w, front: second.front}
			defer again.close()
			var b *answer
			for left := 15*time.Second - time.Since(a.sent); left > 100*time.Millisecond; left = 15*time.Second - time.Since(a.sent) {
				b = again.do("POST", fmt.Sprint("/resume/", n), "x", fmt.Sprintf("X-Baobabhub-Deadline-Ms: %d\r\nLast-Event-Id: %s\r\nResumes: %s\r\n", left.Milliseconds(), last, a.id))
				w.printf("client: takes up %s after event %s of %s: %v", a.id, last, begunBy, b)
				if b.status != 503 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if b != nil && b.status == 200 {
				goneOn++
				if by, _ := lastEvent(b.body); by != "" && by != begunBy {
					mixed++
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.restart(second)
		w.restart(first)
	}
	// New streams begin at the same process meanwhile.
	begun := 0
	for n := range newStreams {
		if _, _, err := w.readEvents(second, fmt.Sprint("/resume/new-", n), 1); err == nil {
			begun++
		}
	}
	wg.Wait()
	w.finish(taken >= 12 && 2*goneOn*newStreams < taken*begun, fmt.Sprintf("clients took up %d streams, %d went on, %d of them at the other version; %d of %d new streams began", taken, goneOn, mixed, begun, newStreams))
}

// lastEvent returns the software version and the ID of the last event of a stream.
func lastEvent(body string) (software, id string) {
	for line := range strings.Lines(body) {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = strings.TrimSpace(value)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			software, _, _ = strings.Cut(value, " ")
		}
	}
	return software, id
}

// restart stops an entry process with SIGTERM, SIGKILL after the grace period, and starts it again.
func (w *world) restart(e *entry) {
	w.printf("SIGTERM to %s", e.name)
	begun := time.Now()
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(8 * time.Second):
		w.printf("SIGKILL to %s", e.name)
		e.kill()
	}
	w.printf("%s has ended after %d ms", e.name, time.Since(begun).Milliseconds())
	w.launch(e)
	w.printf("%s is ready", e.name)
}
