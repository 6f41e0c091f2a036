package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stoppedBodies: a crowd sends requests with small bodies that stop just short of their end, and keeps its
// channels open. Ordinary clients, each with a new channel for each lookup, must still be served.
func stoppedBodies(w *world) {
	const engines, crowd, clients = 3, 1300, 10
	w.config(1, 100, 12000)
	for i := range engines {
		ip := fmt.Sprint(w.net, 100+i)
		c := engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: 1, GapMS: 20, WorkMS: 20}
		w.startEngine(c)
		w.register(c, 32, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	var stop atomic.Bool
	var wg sync.WaitGroup
	if w.trouble {
		for range crowd {
			wg.Go(func() { w.stopShort(e, &stop) })
		}
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	type second struct{ tried, taken, served int }
	seconds := make([]second, 24)
	begun := time.Now()
	for n := range clients {
		wg.Go(func() {
			for time.Since(begun) < time.Duration(len(seconds))*time.Second {
				at := int(time.Since(begun).Seconds())
				c := &client{w: w, front: e.front, from: fmt.Sprint(w.net, 200+n)}
				a := c.do("GET", "/safe/", "", "X-Baobabhub-Deadline-Ms: 3000\r\n")
				c.close()
				mu.Lock()
				s := &seconds[at]
				s.tried++
				if a.status == 200 {
					s.served++
				}
				if a.status != 0 && a.status != 503 {
					s.taken++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(begun.Add(time.Duration(len(seconds)) * time.Second)))
	stop.Store(true)
	ready := w.isReady(e)
	wg.Wait()
	longest, current, tried, served := 0, 0, 0, 0
	for i, s := range seconds {
		w.printf("second %d: %d requests on new channels, %d served", i, s.tried, s.served)
		tried, served = tried+s.tried, served+s.served
		if s.taken > 0 {
			current = 0
			continue
		}
		current++
		longest = max(longest, current)
	}
	w.finish(longest > 4, fmt.Sprintf("%d of %d requests of ordinary clients were served; the longest time without any was %d s; ready: %v", served, tried, longest, ready))
}

// stopShort keeps a channel with a request that lacks its last byte.
func (w *world) stopShort(e *entry, stop *atomic.Bool) {
	for !stop.Load() {
		conn, err := net.DialTimeout("tcp4", e.front, 3*time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, _ = fmt.Fprintf(conn, "POST /stream/1 HTTP/1.1\r\nHost: h\r\nX-Baobabhub-Request-Id: %s\r\nX-Api-Key: key-1\r\nContent-Length: 100\r\n\r\n%099d", w.newID(), 0)
		for !stop.Load() {
			_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
				if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
					continue
				}
			}
			break
		}
		_ = conn.Close()
		time.Sleep(200 * time.Millisecond)
	}
}
