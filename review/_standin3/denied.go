package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// deniedLookups: engines of a service crash one after the other and come back, while clients look up a record
// to which the engines answer with an error. The lookup is proper, and each engine answers it.
func deniedLookups(w *world) {
	const engines, clients, crashes = 4, 24, 3
	w.config(1, 100, 12000)
	configs := make([]engineConfig, engines)
	running := make([]*process, engines)
	for i := range configs {
		ip := fmt.Sprint(w.net, 100+i)
		configs[i] = engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: 1, GapMS: 40, WorkMS: 60}
		running[i] = w.startEngine(configs[i])
		w.register(configs[i], 6, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	var stop atomic.Bool
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	poll := func(path string) {
		wg.Go(func() {
			c := &client{w: w, front: e.front}
			defer c.close()
			for !stop.Load() {
				a := c.do("GET", path, "", "X-Baobabhub-Deadline-Ms: 3000\r\n")
				w.printf("client: %v", a)
				mu.Lock()
				counts[fmt.Sprintf("%s %d stamp=%v", path, a.status, a.stamped)]++
				mu.Unlock()
				time.Sleep(20*time.Millisecond + rand.N(60*time.Millisecond))
			}
		})
	}
	for range clients {
		poll("/safe/missing")
		poll("/safe/present")
	}
	time.Sleep(2 * time.Second)
	for range crashes {
		i := w.busiestEngine(running, "/safe/missing", time.Now().Add(-50*time.Millisecond))
		if w.trouble {
			w.printf("kill engine %s", running[i].name)
			running[i].kill()
		}
		time.Sleep(2500 * time.Millisecond)
		if w.trouble {
			configs[i].Born = time.Now().UnixMilli()
			running[i] = w.startEngine(configs[i])
			w.register(configs[i], 6, "ready")
			w.printf("engine %s is back", configs[i].ID)
		}
		time.Sleep(3 * time.Second)
	}
	mu.Lock()
	before := fmt.Sprint(counts)
	clear(counts)
	mu.Unlock()
	time.Sleep(5 * time.Second)
	stop.Store(true)
	wg.Wait()
	total, denied := 0, 0
	for key, n := range counts {
		total += n
		if key == "/safe/missing 400 stamp=false" || key == "/safe/present 400 stamp=false" {
			denied += n
		}
	}
	w.printf("before: %s", before)
	w.printf("in the last 5 s: %v", counts)
	w.finish(denied > 5+total/500, fmt.Sprintf("%d of %d requests in the last 5 s, after all engines were back for 3 s, got a 400 of the system's own", denied, total))
}
