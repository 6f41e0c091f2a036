package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 12
	// eventInterval is the time between two events of a stream.
	eventInterval = 30 * time.Millisecond
	// fillerBytes is the padding that makes a complete response longer than one packet.
	fillerBytes = 3000
)

// expectedBody returns the only correct response body for a request.
func expectedBody(id, body string) string {
	return id + "|" + body + "|" + strings.Repeat("f", fillerBytes)
}

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// expectedStream returns the only correct stream for a request.
func expectedStream(id string) string {
	var text strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		text.WriteString(streamEvent(id, n))
	}
	return text.String()
}

// targetBehaviour determines how a target handles its requests.
type targetBehaviour int

const (
	healthy targetBehaviour = iota
	// shedding targets reject requests without running them.
	shedding
	// failing targets respond with status 500.
	failing
	// aborting targets close the connection in the middle of a response.
	aborting
	// unstamped targets omit the header that marks a response as their own.
	unstamped
	// mismatched targets respond with the response to another request.
	mismatched
	slow
	behaviourCount
)

// recorder records the requests received by all targets, and the failures of the
// test's checks.
type recorder struct {
	mu sync.Mutex
	// received and runs are counts by request ID.
	received, runs map[string]int
	// accountRuns counts the runs by account.
	accountRuns map[string]int
	// accountsBySalt holds the set of accounts that each cache salt was used for.
	accountsBySalt map[string]map[string]bool
	failures       []string
	random         *rand.Rand
	// behaviours holds the current behaviour by target ID.
	behaviours map[string]targetBehaviour
	// silenceCounts holds the number of faults that make a target silent at present,
	// by target ID.
	silenceCounts map[string]int
	// attempts holds the attempts that reached a target, by request ID.
	attempts map[string][]*targetAttempt
	// sentRequests holds the times at which callers sent requests, and repeatedArrivals
	// those of all arrivals at targets except the first one of each request.
	sentRequests, repeatedArrivals []time.Time
	// streamVersions holds the software versions of the targets that wrote the first event
	// of a stream, by request ID.
	streamVersions map[string]map[string]bool
	// shortestTimeouts holds the shortest timeout that each route has had.
	shortestTimeouts map[string]time.Duration
}

func newRecorder(seed uint64) *recorder {
	return &recorder{
		received: map[string]int{}, runs: map[string]int{}, accountRuns: map[string]int{},
		accountsBySalt: map[string]map[string]bool{}, behaviours: map[string]targetBehaviour{},
		silenceCounts: map[string]int{}, attempts: map[string][]*targetAttempt{}, streamVersions: map[string]map[string]bool{}, shortestTimeouts: map[string]time.Duration{},
		random: rand.New(rand.NewPCG(seed, 2)),
	}
}

func (rec *recorder) failf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.failures = append(rec.failures, fmt.Sprintf(format, args...))
}

func (rec *recorder) setBehaviour(target string, b targetBehaviour) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.behaviours[target] = b
}

func (rec *recorder) receivedCount(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.received[id]
}

func (rec *recorder) runCount(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.runs[id]
}

// recordReceived records and checks a request, and returns the behaviour with which
// the target handles it. A misbehaving target that is not slow handles about half of
// its requests correctly.
func (rec *recorder) recordReceived(target string, h http.Header) targetBehaviour {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	id := h.Get(platformfake.HeaderRequestID)
	rec.received[id]++
	rec.recordArrival(h)
	for _, name := range []string{platformfake.HeaderAPIKey, platformfake.HeaderHold, platformfake.HeaderKVFrom} {
		if h.Get(name) != "" {
			rec.failures = append(rec.failures, fmt.Sprintf("request %s reached a target with header %s", id, name))
		}
	}
	if ms, err := strconv.Atoi(h.Get(platformfake.HeaderDeadline)); err != nil || ms <= 0 {
		rec.failures = append(rec.failures, fmt.Sprintf("request %s reached a target with deadline %q", id, h.Get(platformfake.HeaderDeadline)))
	}
	account := h.Get(platformfake.HeaderAccount)
	if account != "t1" && account != "t2" {
		rec.failures = append(rec.failures, fmt.Sprintf("request %s reached a target with account %q", id, account))
	}
	if salt := h.Get(platformfake.HeaderCacheSalt); salt != "" {
		if rec.accountsBySalt[salt] == nil {
			rec.accountsBySalt[salt] = map[string]bool{}
		}
		rec.accountsBySalt[salt][account] = true
	}
	b := rec.behaviours[target]
	if b != healthy && b != slow && rec.random.IntN(2) == 0 {
		return healthy
	}
	return b
}

func (rec *recorder) recordRun(id, account string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[id]++
	rec.accountRuns[account]++
}

// targetHandler returns the request handler of a target.
func (rec *recorder) targetHandler(target *platformfake.Target) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		b := rec.recordReceived(target.ID, r.Header)
		a := rec.beginAttempt(target.ID, r, b)
		defer rec.endAttempt(a, r)
		w.Header().Set(platformfake.HeaderInstance, target.ID)
		switch {
		case r.Header.Get(platformfake.HeaderExpectInstance) != target.ID:
			rec.recordRejection(a)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case b == shedding:
			rec.recordRejection(a)
			target.RejectNotRun(w)
			return
		}
		rec.recordRun(r.Header.Get(platformfake.HeaderRequestID), r.Header.Get(platformfake.HeaderAccount))
		if a.silence.pauseAfter(0, r) {
			rec.respond(w, r, target, a, b)
		}
	}
}

// respond writes the response to a request that the target runs.
func (rec *recorder) respond(w http.ResponseWriter, r *http.Request, target *platformfake.Target, a *targetAttempt, b targetBehaviour) {
	id := r.Header.Get(platformfake.HeaderRequestID)
	if b == unstamped {
		rec.recordFault(a, "no stamp")
	} else {
		target.SetStamp(w)
	}
	if b == failing {
		rec.recordFault(a, faultStatus500)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/") {
		first := cmp.Or(r.Header.Get("Resumes"), id)
		rec.recordStreamVersion(first, target.SoftwareVersion(), r.Header.Get("Last-Event-Id") == "")
		rec.writeStream(w, r, a, b)
		return
	}
	if b == mismatched {
		rec.recordFault(a, "response to another request")
		id = "other"
		w.Header().Set(platformfake.HeaderRequestID, id)
	}
	text := expectedBody(id, r.Header.Get("X-Body"))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if b == aborting {
		rec.recordFault(a, "aborted response")
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	writeReply(w, r, text, a.silence)
}

// recordStreamVersion checks that a stream continues at the software version that began it.
// The stream is identified by the request that brought its first event.
func (rec *recorder) recordStreamVersion(id, version string, begins bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.streamVersions[id] == nil {
		rec.streamVersions[id] = map[string]bool{}
	}
	if begins {
		rec.streamVersions[id][version] = true
	}
	if !rec.streamVersions[id][version] {
		rec.failures = append(rec.failures, fmt.Sprintf("stream %s continues at software version %s, but began at %v", id, version, rec.streamVersions[id]))
	}
}

func (rec *recorder) writeStream(w http.ResponseWriter, r *http.Request, a *targetAttempt, b targetBehaviour) {
	id := r.Header.Get(platformfake.HeaderRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(w)
	for n := first; n <= eventsPerStream; n++ {
		text := streamEvent(id, n)
		if b == aborting && n == first+3 {
			rec.recordFault(a, "aborted stream")
			_, _ = io.WriteString(w, text[:len(text)-4])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil || controller.Flush() != nil {
			return
		}
		if !a.silence.pauseAfter(n, r) {
			return
		}
		time.Sleep(eventInterval)
	}
}
