package soak

import (
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
	// streamEvents is the number of events of a whole stream.
	streamEvents = 12
	// eventPause is the time between two of them.
	eventPause = 30 * time.Millisecond
	// fillerBytes makes whole answers longer than one packet.
	fillerBytes = 3000
)

// wholeAnswer is the one right answer to a request.
func wholeAnswer(id, body string) string {
	return id + "|" + body + "|" + strings.Repeat("f", fillerBytes)
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// wholeStream is the one right stream for a request.
func wholeStream(id string) string {
	var text strings.Builder
	for n := 1; n <= streamEvents; n++ {
		text.WriteString(event(id, n))
	}
	return text.String()
}

// behaviour is how a target treats the requests that come to it.
type behaviour int

const (
	wellBehaved behaviour = iota
	shedding
	failing
	breaking
	unstamped
	// misdelivering targets give the answer to another request.
	misdelivering
	slow
	behaviours
)

// ledger is what all targets together have seen.
type ledger struct {
	mu sync.Mutex
	// arrivals and runs count by request.
	arrivals, runs map[string]int
	// accountRuns counts the runs of an account.
	accountRuns map[string]int
	// salts holds the accounts that each cache salt was used for.
	salts    map[string]map[string]bool
	problems []string
	random   *rand.Rand
	// behaviours are the targets' present ones.
	behaviours map[string]behaviour
}

func newLedger(seed uint64) *ledger {
	return &ledger{
		arrivals: map[string]int{}, runs: map[string]int{}, accountRuns: map[string]int{},
		salts: map[string]map[string]bool{}, behaviours: map[string]behaviour{},
		random: rand.New(rand.NewPCG(seed, 2)),
	}
}

func (l *ledger) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

func (l *ledger) behave(target string, b behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviours[target] = b
}

func (l *ledger) arrivalsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id]
}

func (l *ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// arrived notes a request and says how the target treats it now.
func (l *ledger) arrived(target string, h http.Header) behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := h.Get(platformfake.HeaderRequestID)
	l.arrivals[id]++
	for _, name := range []string{platformfake.HeaderAPIKey, platformfake.HeaderHold, platformfake.HeaderKVFrom} {
		if h.Get(name) != "" {
			l.problems = append(l.problems, fmt.Sprintf("request %s arrived with %s", id, name))
		}
	}
	if ms, err := strconv.Atoi(h.Get(platformfake.HeaderDeadline)); err != nil || ms <= 0 {
		l.problems = append(l.problems, fmt.Sprintf("request %s arrived with deadline %q", id, h.Get(platformfake.HeaderDeadline)))
	}
	account := h.Get(platformfake.HeaderAccount)
	if account != "t1" && account != "t2" {
		l.problems = append(l.problems, fmt.Sprintf("request %s arrived for account %q", id, account))
	}
	if salt := h.Get(platformfake.HeaderCacheSalt); salt != "" {
		if l.salts[salt] == nil {
			l.salts[salt] = map[string]bool{}
		}
		l.salts[salt][account] = true
	}
	b := l.behaviours[target]
	if b != wellBehaved && b != slow && l.random.IntN(2) == 0 {
		return wellBehaved
	}
	return b
}

func (l *ledger) ran(id, account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.accountRuns[account]++
}

// answer is a target's handler.
func (l *ledger) answer(t *platformfake.Target) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platformfake.HeaderRequestID)
		b := l.arrived(t.ID, r.Header)
		w.Header().Set(platformfake.HeaderInstance, t.ID)
		switch {
		case r.Header.Get(platformfake.HeaderExpectInstance) != t.ID:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case b == shedding:
			t.RejectNotRun(w)
			return
		}
		l.ran(id, r.Header.Get(platformfake.HeaderAccount))
		if b == slow {
			time.Sleep(time.Duration(l.pause()) * time.Millisecond)
		}
		if b != unstamped {
			t.SetStamp(w)
		}
		if b == failing {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/") {
			answerStream(w, r, id, b)
			return
		}
		if b == misdelivering {
			id = "other"
			w.Header().Set(platformfake.HeaderRequestID, id)
		}
		text := wholeAnswer(id, r.Header.Get("X-Body"))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if b == breaking {
			_, _ = io.WriteString(w, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
	}
}

// pause draws the milliseconds that a slow target takes.
func (l *ledger) pause() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(2500)
}

func answerStream(w http.ResponseWriter, r *http.Request, id string, b behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for n := first; n <= streamEvents; n++ {
		text := event(id, n)
		if b == breaking && n == first+3 {
			_, _ = io.WriteString(w, text[:len(text)-4])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}
