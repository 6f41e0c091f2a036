package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endlessReports: half of the engines are in trouble and answer reports with bytes without end. A crowd of
// ordinary clients begins streams. The process must stay within the memory of its machine.
func endlessReports(w *world) {
	const engines, clients, memoryMB = 12, 800, 134
	w.config(1, 230, 2500)
	for i := range engines {
		ip := fmt.Sprint(w.net, 100+i)
		c := engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: 4, GapMS: 40, WorkMS: 60}
		if w.trouble && i%2 == 0 {
			c.ReportBytes = 250_000
		}
		w.startEngine(c)
		w.register(c, 32, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	w.printf("memory of the process before: %d kB", w.memory(e))
	var stop atomic.Bool
	var mu sync.Mutex
	counts := map[int]int{}
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			c := &client{w: w, front: e.front}
			defer c.close()
			for !stop.Load() {
				a := c.do("POST", fmt.Sprint("/resume/", n), "x", "X-Baobabhub-Deadline-Ms: 2500\r\n")
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	peak, begun := 0, time.Now()
	for range 1000 {
		time.Sleep(20 * time.Millisecond)
		peak = max(peak, w.memory(e))
		if peak > memoryMB<<10 && time.Since(begun) > 3*time.Second {
			break
		}
	}
	stop.Store(true)
	wg.Wait()
	w.printf("answers by status: %v", counts)
	w.finish(peak > memoryMB<<10, fmt.Sprintf("peak memory %d kB of %d kB", peak, memoryMB<<10))
}

// memory returns the memory of a process's own data in kB, without what it maps of files.
func (w *world) memory(e *entry) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(e.cmd.Process.Pid), "status"))
	check(err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			check(err)
			return kb
		}
	}
	return 0
}
