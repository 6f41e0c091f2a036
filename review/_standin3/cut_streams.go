package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cutStreams: an engine crashes while it writes streams without a length. Each stream that its client
// gets as complete must have its last piece.
func cutStreams(w *world) {
	const engines, rounds = 2, 3
	w.config(1, 230, 12000)
	configs := make([]engineConfig, engines)
	running := make([]*process, engines)
	for i := range configs {
		ip := fmt.Sprint(w.net, 100+i)
		configs[i] = engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: cutStreamPieces, GapMS: 40, WorkMS: 60}
		running[i] = w.startEngine(configs[i])
		w.register(configs[i], 32, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	broken, cut, total := 0, 0, 0
	for range rounds {
		answers := w.cutStreamsOnce(e, func() {
			if !w.trouble {
				return
			}
			i := w.busiestEngine(running, time.Now().Add(-time.Second))
			w.printf("kill engine %s", running[i].name)
			running[i].kill()
			configs[i].Born = 0
		})
		for _, a := range answers {
			if !strings.HasPrefix(a.path, "/stream/") || a.status != 200 {
				continue
			}
			total++
			switch {
			case a.whole && !strings.Contains(a.body, fmt.Sprintf(" %[1]d/%[1]d\n", cutStreamPieces)):
				broken++
			case !a.whole:
				cut++
			}
		}
		if broken > 0 {
			break
		}
		for i := range configs {
			if configs[i].Born == 0 {
				configs[i].Born = time.Now().UnixMilli()
				running[i] = w.startEngine(configs[i])
				w.register(configs[i], 32, "ready")
				w.printf("engine %s is back", configs[i].ID)
			}
		}
		time.Sleep(time.Second)
	}
	w.finish(broken > 0, fmt.Sprintf("%d of %d streams ended as complete before their last piece, %d were broken off", broken, total, cut))
}

const cutStreamPieces = 40

// cutStreamsOnce sends lookups and streams, calls crash while they run, and returns the answers.
func (w *world) cutStreamsOnce(e *entry, crash func()) []*answer {
	const streams, lookups = 12, 100
	var mu sync.Mutex
	var answers []*answer
	var wg sync.WaitGroup
	run := func(method, path string, times int, pause time.Duration) {
		wg.Go(func() {
			c := &client{w: w, front: e.front}
			defer c.close()
			for n := range times {
				a := c.do(method, path+fmt.Sprint(n), "x", "X-Baobabhub-Deadline-Ms: 12000\r\n")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				w.printf("client: %v", a)
				time.Sleep(pause)
			}
		})
	}
	// Lookups of many callers, as in a burst, leave open connections to both engines.
	for range lookups {
		run("GET", "/safe/", 10, 50*time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for range streams {
		run("POST", "/stream/", 2, 100*time.Millisecond)
		time.Sleep(7 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	crash()
	wg.Wait()
	return answers
}
