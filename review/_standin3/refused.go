package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// refusedCuts: one engine after the other is cut off from the entry process for some seconds, in a way that
// refuses connections. When all paths have been sound for longer than contact_ms, clients lose their channels
// in the middle of streams and take the streams up again.
func refusedCuts(w *world) {
	const engines, streams = 3, 16
	w.config(1, 100, 12000)
	proxies := make([]*proxy, engines)
	for i := range proxies {
		ip := fmt.Sprint(w.net, 100+i)
		c := engineConfig{ID: fmt.Sprint("i-", i), Address: ip + ":" + freePort(ip), Born: time.Now().UnixMilli(), Pieces: 20, GapMS: 100, WorkMS: 60}
		w.startEngine(c)
		behind := c.Address
		c.Address = ip + ":" + freePort(ip)
		proxies[i] = startProxy(c.Address, behind)
		w.register(c, 32, "ready")
	}
	e := w.startEntry(0, w.store.Address())
	// Ordinary lookups go on all the time.
	var stop atomic.Bool
	var lookups sync.WaitGroup
	for n := range 40 {
		lookups.Go(func() {
			c := &client{w: w, front: e.front}
			defer c.close()
			for !stop.Load() {
				c.do("GET", fmt.Sprint("/safe/", n), "", "X-Baobabhub-Deadline-Ms: 3000\r\n")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for i, p := range proxies {
		if w.trouble {
			w.printf("i-%d is cut off", i)
			p.cut()
		}
		time.Sleep(3 * time.Second)
		if w.trouble {
			p.heal()
			w.printf("i-%d is reached again", i)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	w.printf("streams begin")
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun, taken, goneOn := 0, 0, 0
	for n := range streams {
		wg.Go(func() {
			sent := time.Now()
			id, last, err := w.readEvents(e, fmt.Sprint("/resume/", n), 3)
			w.printf("client: %s got events up to %s, then lost its channel: %v", id, last, err)
			if err != nil {
				return
			}
			var a *answer
			c := &client{w: w, front: e.front}
			defer c.close()
			for left := 12*time.Second - time.Since(sent); left > 8*time.Second; left = 12*time.Second - time.Since(sent) {
				a = c.do("POST", fmt.Sprint("/resume/", n), "x", fmt.Sprintf("X-Baobabhub-Deadline-Ms: %d\r\nLast-Event-Id: %s\r\nResumes: %s\r\n", left.Milliseconds(), last, id))
				w.printf("client: takes up %s after event %s: %v", id, last, a)
				if a.status == 200 {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			begun++
			taken++
			if a.status == 200 && a.whole {
				goneOn++
			}
		})
	}
	wg.Wait()
	stop.Store(true)
	lookups.Wait()
	w.finish(taken >= 12 && 2*goneOn*streams < taken*begun, fmt.Sprintf("%d of %d new streams began; clients took up %d, %d of them went on", begun, streams, taken, goneOn))
}

// readEvents begins a stream, reads some events and loses the channel.
func (w *world) readEvents(e *entry, path string, events int) (id, last string, err error) {
	id = w.newID()
	conn, err := net.DialTimeout("tcp4", e.front, time.Second)
	if err != nil {
		return id, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Baobabhub-Request-Id: %s\r\nX-Api-Key: key-1\r\nX-Baobabhub-Deadline-Ms: 12000\r\nContent-Length: 1\r\n\r\nx", path, id); err != nil {
		return id, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return id, "", err
	}
	if resp.StatusCode != 200 {
		return id, "", fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = value
		}
		if lines.Text() == "" && last != "" {
			if events--; events == 0 {
				return id, last, nil
			}
		}
	}
	return id, last, fmt.Errorf("the stream ended after event %s: %v", last, lines.Err())
}
