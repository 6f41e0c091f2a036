package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// responseSlack is the tolerance added to a route's timeout: the half second
	// that the requirements allow, and another half second for a busy machine.
	responseSlack = time.Second
	// meanRequestInterval is the mean pause between two requests of a caller.
	meanRequestInterval = 20 * time.Millisecond
)

// routeTimeouts maps the first path segment of each route to the route's timeout.
var routeTimeouts = map[string]time.Duration{
	"once": 1500 * time.Millisecond, "safe": 1500 * time.Millisecond, "stream": 4 * time.Second, "resume": 4 * time.Second,
}

var routeNames = []string{"once", "safe", "stream", "resume"}

// callerPool sends requests concurrently and checks each response.
type callerPool struct {
	deployment *deployment
	seed       uint64
	stop       chan struct{}
	wg         sync.WaitGroup

	mu sync.Mutex
	// atMostOnceIDs are the IDs of requests that may run at most once. rejectedIDs
	// are the IDs of requests of any route that were rejected with status 429 or 503;
	// those of them that may run at most once must not have run.
	atMostOnceIDs, rejectedIDs []string
	outcomeCounts              map[string]int
	servedCount                int
}

func startCallers(d *deployment, seed uint64, count int) *callerPool {
	c := &callerPool{deployment: d, seed: seed, stop: make(chan struct{}), outcomeCounts: map[string]int{}}
	for i := range count {
		c.wg.Go(func() { c.run(i) })
	}
	return c
}

func (c *callerPool) run(callerIndex int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(callerIndex)+100))
	for sequence := 0; ; sequence++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * meanRequestInterval)))):
		}
		p := c.deployment.processes[random.IntN(len(c.deployment.processes))]
		apiKey := "key-1"
		if random.IntN(4) == 0 {
			apiKey = "key-2"
		}
		c.send(p, fmt.Sprintf("r-%d-%d", callerIndex, sequence), routeNames[random.IntN(len(routeNames))], apiKey)
	}
}

func (c *callerPool) send(p *process, id, route, apiKey string) {
	body := strings.Repeat("b", len(id))
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/"+route+"/"+id, strings.NewReader(body))
	if err != nil {
		c.deployment.recorder.failf("creating a request: %v", err)
		return
	}
	// Without GetBody, the HTTP client never resends the request.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set(platformfake.HeaderRequestID, id)
	req.Header.Set(platformfake.HeaderAPIKey, apiKey)
	req.Header.Set("X-Body", body)
	// The entry must remove this reserved header; recordReceived checks that it does.
	req.Header.Set(platformfake.HeaderHold, "forged")
	if route == "stream" || route == "resume" {
		req.Header.Set(platformfake.HeaderModel, "m")
		req.Header.Set(platformfake.HeaderTokens, "300,10")
		req.Header.Set(platformfake.HeaderPromptPrefix, "a:200,"+id+":100")
	}
	startedAt := time.Now()
	c.deployment.recorder.recordSent(startedAt)
	c.checkResponse(p, id, route, body, startedAt, c.roundTrip(req))
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *callerPool) roundTrip(req *http.Request) response {
	resp, err := c.deployment.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (c *callerPool) checkResponse(p *process, id, route, body string, startedAt time.Time, r response) {
	endedAt := time.Now()
	elapsed := endedAt.Sub(startedAt)
	mayFail := p.mayFail(startedAt, endedAt, c.deployment.recorder.receivedCount(id) > 0)
	description := fmt.Sprintf("request %s to route %s with body %s through %s, sent at second %s, ended after %v", id, route, body, p.vm, startedAt.Format("05.000"), elapsed)
	c.mu.Lock()
	c.outcomeCounts[fmt.Sprintf("%s %d broken=%v", route, r.status, r.err != nil)]++
	if route == "once" || route == "stream" {
		c.atMostOnceIDs = append(c.atMostOnceIDs, id)
	}
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		c.rejectedIDs = append(c.rejectedIDs, id)
	}
	if r.status == http.StatusOK && r.err == nil {
		c.servedCount++
	}
	c.mu.Unlock()
	if elapsed > routeTimeouts[route]+responseSlack && !mayFail {
		c.deployment.recorder.failf("%s: no response within the route timeout", description)
	}
	expected := expectedBody(id, body)
	if route == "stream" || route == "resume" {
		expected = expectedStream(id)
	}
	switch {
	case r.err != nil:
		// Once a stream has begun, its failure can only be shown by a broken connection.
		brokenStream := r.status == http.StatusOK && (route == "stream" || route == "resume")
		if !mayFail && !brokenStream {
			c.deployment.recorder.failf("%s: no complete response: %v", description, r.err)
		}
		if !mayFail && brokenStream {
			c.requireExplanation(p, id, route, startedAt, endedAt, description+": broken stream")
		}
		if brokenStream && !strings.HasPrefix(expected, r.body) {
			c.deployment.recorder.failf("%s: the %d bytes received are not a prefix of the expected stream", description, len(r.body))
		}
	case r.status == http.StatusOK:
		if r.body != expected || r.header.Get(platformfake.HeaderStamp) == "" {
			c.deployment.recorder.failf("%s: wrong body of %d bytes or missing stamp", description, len(r.body))
		}
	case r.status == http.StatusServiceUnavailable, r.status == http.StatusTooManyRequests:
		if r.header.Get("Retry-After") == "" {
			c.deployment.recorder.failf("%s: status %d without a Retry-After header", description, r.status)
		}
	case r.status == http.StatusGatewayTimeout:
		if !mayFail {
			c.requireTimeout(p, route, startedAt, endedAt, description+": status 504")
		}
	case r.status == http.StatusInternalServerError:
		if !c.deployment.recorder.hasFault(id, faultStatus500) {
			c.deployment.recorder.failf("%s: status 500, but no target responded with it", description)
		}
	case r.status >= http.StatusInternalServerError:
		if !mayFail {
			c.requireExplanation(p, id, route, startedAt, endedAt, fmt.Sprintf("%s: status %d", description, r.status))
		}
	default:
		c.deployment.recorder.failf("%s: unexpected status %d", description, r.status)
	}
}

// stopAndCheck stops the callers and checks the invariants over the whole run.
func (c *callerPool) stopAndCheck(elapsed time.Duration) {
	close(c.stop)
	c.wg.Wait()
	rec := c.deployment.recorder
	for _, id := range c.atMostOnceIDs {
		if n := rec.runCount(id); n > 1 {
			rec.failf("at-most-once request %s ran %d times", id, n)
		}
	}
	for _, id := range c.rejectedIDs {
		if n := rec.runCount(id); n > 0 && !c.isRepeatable(id) {
			rec.failf("request %s ran %d times although its response promised that it did not run", id, n)
		}
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for id, n := range rec.received {
		// maxRejections bounds the attempts that targets reject without running them.
		const maxRejections = 4
		if n > rec.runs[id]+maxRejections {
			rec.failures = append(rec.failures, fmt.Sprintf("request %s reached targets %d times and ran %d times", id, n, rec.runs[id]))
		}
	}
	rec.checkTargetsPerRequest()
	rec.checkRetryBudget()
	for salt, accounts := range rec.accountsBySalt {
		if len(accounts) > 1 && accounts["t2"] {
			rec.failures = append(rec.failures, fmt.Sprintf("cache salt %q of an isolated account is shared with another account", salt))
		}
	}
	allowedTokens := lowBurst + lowRate*elapsed.Seconds()
	if usedTokens := float64(rec.accountRuns["t2"] * plainRequestTokens); usedTokens > allowedTokens*rateLimitTolerance+rateLimitSlackTokens {
		rec.failures = append(rec.failures, fmt.Sprintf("account t2 used %.0f tokens, more than the %.0f that its rate limit allows", usedTokens, allowedTokens))
	}
}

// Tolerances for the check of an account's rate limit.
const (
	rateLimitTolerance   = 1.1
	rateLimitSlackTokens = 10 * plainRequestTokens
)

// isRepeatable reports whether a request may run more than once.
func (c *callerPool) isRepeatable(id string) bool {
	for _, atMostOnceID := range c.atMostOnceIDs {
		if atMostOnceID == id {
			return false
		}
	}
	return true
}
