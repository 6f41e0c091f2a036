package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pinnedPrefixes: some callers send requests that are legal in size but made of very many short fields: prompt
// prefixes that name the same part again and again. The process must stay within the memory of its machine.
func pinnedPrefixes(w *world) {
	const engines, clients, memoryMB, headerBytes = 3, 60, 134, 15_500
	w.config(1, 100, 12000)
	for i := range engines {
		ip := fmt.Sprint(w.net, 100+i)
		c := engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: 1, GapMS: 20, WorkMS: 20}
		w.startEngine(c)
		w.register(c, 32, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	w.printf("memory of the process before: %d kB", w.memory(e))
	var stop atomic.Bool
	var mu sync.Mutex
	counts := map[int]int{}
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c := &client{w: w, front: e.front}
			defer c.close()
			for !stop.Load() {
				part := fmt.Sprintf("%016x:1", 0xdef0000000+w.next.Add(1))
				prefix := part + "," + part
				if w.trouble {
					prefix = strings.TrimSuffix(strings.Repeat(part+",", headerBytes/(len(part)+1)), ",")
				}
				a := c.do("GET", "/safe/", "", "X-Baobabhub-Deadline-Ms: 3000\r\nX-Baobabhub-Model: m\r\nX-Baobabhub-Tokens: 1000,10\r\nX-Baobabhub-Prompt-Prefix: "+prefix+"\r\n")
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
			}
		})
	}
	peak, begun := 0, time.Now()
	for time.Since(begun) < 100*time.Second && peak <= memoryMB<<10 {
		time.Sleep(time.Second)
		peak = max(peak, w.memory(e))
		mu.Lock()
		w.printf("after %d s: memory %d kB, answers by status %v", int(time.Since(begun).Seconds()), peak, counts)
		mu.Unlock()
	}
	stop.Store(true)
	wg.Wait()
	// The callers have gone; nothing is under way.
	time.Sleep(5 * time.Second)
	w.printf("5 s after the last request: memory %d kB", w.memory(e))
	w.finish(peak > memoryMB<<10, fmt.Sprintf("peak memory %d kB of %d kB, answers by status %v; %d kB 5 s after the last request", peak, memoryMB<<10, counts, w.memory(e)))
}
