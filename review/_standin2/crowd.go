package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of callers that send the beginning of a request, each from an
	// address of its own.
	crowdSize = 3000
	// reopenDelay is the time after which one of them connects again when it was cut off.
	reopenDelay = 500 * time.Millisecond
	// ordinaryInterval is the interval of the ordinary requests, and ordinaryBudget their time.
	ordinaryInterval = 50 * time.Millisecond
	ordinaryBudget   = 3 * time.Second
	ordinaryRequests = 600
	// minServedShare is the share of ordinary requests below which they are not served any more.
	minServedShare = 0.25
)

// joinCrowd connects from an address, sends the beginning of a request, and stops half-way.
func joinCrowd(ctx context.Context, from net.IP, address string, opened *atomic.Int64) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: time.Second}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp4", address); err == nil {
			opened.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, "POST /bon/1 HTTP/1.1\r\nHost: h.exa"); err == nil {
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

// crowdCase sends ordinary requests beside a crowd whose connections come from many addresses.
func (f *fleet) crowdCase(trouble bool) (broken bool, err error) {
	_, entries, err := f.startDeployment(plainConfig, 3, 1)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		for n := range crowdSize {
			wg.Go(func() { joinCrowd(ctx, net.IPv4(127, 200, byte(1+n/250), byte(1+n%250)), entries[0].address, &opened) })
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
	f.record.log("the crowd opened %d connections from %d addresses", opened.Load(), crowdSize)
	f.record.log("ordinary requests: %d sent, %d served, ends %v", count.sent, count.served, count.ends)
	return float64(count.served) < minServedShare*float64(count.sent), nil
}
