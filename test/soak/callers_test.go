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
	// answerSlack is how long after its route's time a request may be answered:
	// the half second of the rules, and as much for a busy machine.
	answerSlack = time.Second
	callerPause = 20 * time.Millisecond
)

// routes are the routes' times, by the first part of the path.
var routes = map[string]time.Duration{
	"once": 1500 * time.Millisecond, "safe": 1500 * time.Millisecond, "stream": 4 * time.Second, "resume": 4 * time.Second,
}

var routeNames = []string{"once", "safe", "stream", "resume"}

// callers send requests and judge each answer.
type callers struct {
	world *world
	seed  uint64
	stop  chan struct{}
	work  sync.WaitGroup

	mu sync.Mutex
	// onceIDs are requests that may run once; refused those of any route that
	// were said not to have run.
	onceIDs, refused []string
	statuses         map[string]int
	served           int
}

func startCallers(w *world, seed uint64, count int) *callers {
	c := &callers{world: w, seed: seed, stop: make(chan struct{}), statuses: map[string]int{}}
	for i := range count {
		c.work.Go(func() { c.run(i) })
	}
	return c
}

func (c *callers) run(caller int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(caller)+100))
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * callerPause)))):
		}
		p := c.world.processes[random.IntN(len(c.world.processes))]
		key := "key-1"
		if random.IntN(4) == 0 {
			key = "key-2"
		}
		c.send(p, fmt.Sprintf("r-%d-%d", caller, n), routeNames[random.IntN(len(routeNames))], key)
	}
}

func (c *callers) send(p *process, id, route, key string) {
	content := strings.Repeat("b", len(id))
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/"+route+"/"+id, strings.NewReader(content))
	if err != nil {
		c.world.ledger.problem("making a request: %v", err)
		return
	}
	// Without GetBody the client library never sends the request again.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set(platformfake.HeaderRequestID, id)
	req.Header.Set(platformfake.HeaderAPIKey, key)
	req.Header.Set("X-Body", content)
	req.Header.Set(platformfake.HeaderHold, "forged")
	if route == "stream" || route == "resume" {
		req.Header.Set(platformfake.HeaderModel, "m")
		req.Header.Set(platformfake.HeaderTokens, "300,10")
		req.Header.Set(platformfake.HeaderPromptPrefix, "a:200,"+id+":100")
	}
	began := time.Now()
	c.judge(p, id, route, content, began, c.exchange(req))
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *callers) exchange(req *http.Request) reply {
	resp, err := c.world.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (c *callers) judge(p *process, id, route, content string, began time.Time, r reply) {
	ended := time.Now()
	took := ended.Sub(began)
	excused := p.excused(began, ended, c.world.ledger.arrivalsOf(id) > 0)
	name := fmt.Sprintf("%s: %s of %s at %s, begun %s, after %v", id, route, content, p.vm, began.Format("05.000"), took)
	c.mu.Lock()
	c.statuses[fmt.Sprintf("%s %d broken=%v", route, r.status, r.err != nil)]++
	if route == "once" || route == "stream" {
		c.onceIDs = append(c.onceIDs, id)
	}
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		c.refused = append(c.refused, id)
	}
	if r.status == http.StatusOK && r.err == nil {
		c.served++
	}
	c.mu.Unlock()
	if took > routes[route]+answerSlack && !excused {
		c.world.ledger.problem("%s: not answered in time", name)
	}
	expected := wholeAnswer(id, content)
	if route == "stream" || route == "resume" {
		expected = wholeStream(id)
	}
	switch {
	case r.err != nil:
		// A stream whose target breaks it off has no other end.
		cut := r.status == http.StatusOK && (route == "stream" || route == "resume")
		if !excused && !cut {
			c.world.ledger.problem("%s: lost: %v", name, r.err)
		}
		if cut && !strings.HasPrefix(expected, r.body) {
			c.world.ledger.problem("%s: %d bytes are no start of the stream", name, len(r.body))
		}
	case r.status == http.StatusOK:
		if r.body != expected || r.header.Get(platformfake.HeaderStamp) == "" {
			c.world.ledger.problem("%s: wrong answer of %d bytes", name, len(r.body))
		}
	case r.status == http.StatusServiceUnavailable, r.status == http.StatusTooManyRequests:
		if r.header.Get("Retry-After") == "" {
			c.world.ledger.problem("%s: refused with %d and no time to come back", name, r.status)
		}
	case r.status < http.StatusInternalServerError:
		c.world.ledger.problem("%s: status %d", name, r.status)
	}
}

// end stops the callers and judges what only the whole run shows.
func (c *callers) end(elapsed time.Duration) {
	close(c.stop)
	c.work.Wait()
	l := c.world.ledger
	for _, id := range c.onceIDs {
		if n := l.runsOf(id); n > 1 {
			l.problem("%s ran %d times", id, n)
		}
	}
	for _, id := range c.refused {
		if n := l.runsOf(id); n > 0 && !c.repeatable(id) {
			l.problem("%s ran %d times and was said not to have run", id, n)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.arrivals {
		const mostAttempts, mostMisses = 2, 4
		if n > mostAttempts+mostMisses || l.runs[id] > mostAttempts {
			l.problems = append(l.problems, fmt.Sprintf("%s arrived %d and ran %d times", id, n, l.runs[id]))
		}
	}
	for salt, accounts := range l.salts {
		if len(accounts) > 1 && accounts["t2"] {
			l.problems = append(l.problems, fmt.Sprintf("salt %q of an isolated account is shared", salt))
		}
	}
	allowed := narrowBurst + narrowRate*elapsed.Seconds()
	if used := float64(l.accountRuns["t2"] * plainTokens); used > allowed*quotaOver+narrowSlack {
		l.problems = append(l.problems, fmt.Sprintf("account t2 used %.0f tokens, %.0f are allowed", used, allowed))
	}
}

// Tolerances of an account's rate.
const (
	quotaOver   = 1.1
	narrowSlack = 10 * plainTokens
)

// repeatable says whether a request may run more than once.
func (c *callers) repeatable(id string) bool {
	for _, once := range c.onceIDs {
		if once == id {
			return false
		}
	}
	return true
}
