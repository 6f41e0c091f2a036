package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients that stop just short of the end of a body.
	crowdSize = 2000
	// crowdBody is the length of their bodies, far below the limit.
	crowdBody = 600
	// reopenDelay is the time after which one of them comes again when it was answered or cut off.
	reopenDelay = 500 * time.Millisecond
	// ordinaryInterval is the interval of the ordinary requests, and ordinaryBudget their time.
	ordinaryInterval = 50 * time.Millisecond
	ordinaryBudget   = 3 * time.Second
	ordinaryRequests = 1000
	// minServedShare is the share of ordinary requests below which they are not served any more.
	minServedShare = 0.25
)

// crowdAddress is the address of all clients of the crowd. It is not that of the ordinary callers.
var crowdAddress = net.IPv4(127, 200, 1, 1)

// joinCrowd connects, sends a request but for the last byte of its body, and stays.
func joinCrowd(ctx context.Context, n int, address string, opened *atomic.Int64) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: crowdAddress}, Timeout: time.Second}
	for try := 0; ctx.Err() == nil; try++ {
		if conn, err := dialer.DialContext(ctx, "tcp4", address); err == nil {
			opened.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			text := fmt.Sprintf("POST /lettre/4/20 HTTP/1.1\r\nHost: h.example\r\nX-Baobabhub-Request-Id: c-%d-%d\r\nX-Api-Key: key-1\r\n"+
				"X-Baobabhub-Deadline-Ms: 12000\r\nContent-Length: %d\r\n\r\n%s", n, try, crowdBody, strings.Repeat("b", crowdBody-1))
			if _, err := io.WriteString(conn, text); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// ordinaryCount counts the results of ordinary requests.
type ordinaryCount struct {
	mu           sync.Mutex
	served, sent int
	ends         map[string]int
}

// sendOrdinary sends one request as a client of the platform does: it comes back once after a
// refusal that promises that it was not run.
func (f *fleet) sendOrdinary(address string, n int, count *ordinaryCount) {
	start := time.Now()
	end := ""
	for attempt := range 2 {
		status, retryAfter := f.tryOrdinary(address, fmt.Sprintf("o-%d-%d", n, attempt), ordinaryBudget-time.Since(start))
		end = fmt.Sprint("status ", status)
		if status != http.StatusServiceUnavailable || attempt == 1 {
			break
		}
		time.Sleep(min(retryAfter, (ordinaryBudget-time.Since(start))/3))
	}
	f.record.log("ordinary request %d: %s after %d ms", n, end, time.Since(start).Milliseconds())
	count.mu.Lock()
	defer count.mu.Unlock()
	count.sent++
	count.ends[end]++
	if end == "status 200" {
		count.served++
	}
}

// tryOrdinary sends one attempt on a new connection. The status is 0 without a whole answer.
func (f *fleet) tryOrdinary(address, id string, budget time.Duration) (status int, retryAfter time.Duration) {
	client := &http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/bon/1", address), nil)
	if err != nil {
		return 0, 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Baobabhub-Request-Id", id)
	req.Header.Set("X-Baobabhub-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	req.Header.Set("X-Api-Key", "key-1")
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// crowdCase sends ordinary requests beside a crowd of clients that stop just short of their ends.
func (f *fleet) crowdCase(trouble bool) (broken bool, err error) {
	_, entries, err := f.startDeployment(crowdConfig, 3, 1)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		for n := range crowdSize {
			wg.Go(func() { joinCrowd(ctx, n, entries[0].address, &opened) })
		}
	}
	time.Sleep(5 * time.Second)
	count := ordinaryCount{ends: map[string]int{}}
	var ordinary sync.WaitGroup
	for n := range ordinaryRequests {
		ordinary.Go(func() { f.sendOrdinary(entries[0].address, n, &count) })
		time.Sleep(ordinaryInterval)
	}
	ordinary.Wait()
	cancel()
	wg.Wait()
	f.record.log("the crowd of %d clients opened %d connections", crowdSize, opened.Load())
	f.record.log("ordinary requests: %d sent, %d served, ends %v", count.sent, count.served, count.ends)
	return float64(count.served) < minServedShare*float64(count.sent), nil
}
