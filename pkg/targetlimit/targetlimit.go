// Package targetlimit keeps the requests to a target within the rate limit that it names
// in its responses, over all processes together.
//
// A limit is divided among a few processes, the holders, which all processes derive from
// the list of members; the others send the target nothing. The processes tell each other
// the newest observation of each target, so that a process knows of a limit before the
// target names it to the process itself. Without messages, a process still learns from
// the target's responses to its own requests.
//
// The package is independent of the transport. Times are offsets on the process's
// monotonic clock.
package targetlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// minShare is the smallest share of a holder in requests per second, unless the
	// whole limit is smaller.
	minShare = 1.0
	// minLimit is the rate in requests per second that is assumed for lower limits. A
	// target that gets no requests can't say that its limit has ended.
	minLimit = 0.1
	// pauseAfterNaming is the time for which a target gets no requests after it has
	// named a limit, and during which no share accumulates. It makes up for the requests
	// just before, which count too. longPauseAfterNaming applies if the target has been
	// getting more than longPauseFactor times the limit.
	pauseAfterNaming     = time.Second
	longPauseAfterNaming = 2 * time.Second
	longPauseFactor      = 2.0
	// refreshInterval is the time without an observation after which a holder prefers
	// the target, in order to learn whether it still names a limit.
	refreshInterval = 3 * time.Second
)

// Allowance tells whether a target may get a request from this process.
type Allowance struct {
	// Limited is set while the target names a limit.
	Limited bool
	// Ready reports whether the share of this process allows a request now.
	Ready bool
	// Due is set if the target should get the next request, since its latest
	// observation is old.
	Due bool
	// Wait is the time until a request may be allowed, at this process or another one.
	Wait time.Duration
}

// state is what is known of a run of a target.
type state struct {
	newest Observation
	// observedAt is the time of the newest observation.
	observedAt time.Duration
	// seen holds the number of the latest observation of each observer. An observation is
	// considered once: on its way over other processes its age is estimated too low, and
	// one that comes back would look newer than it is.
	seen map[uint64]uint64
	// share is this process's part of the limit, in requests per second; 0 if it is no
	// holder. tokens is the number of requests that it allowed at tokensAt, which is
	// the end of a pause while that lasts.
	share    float64
	tokens   float64
	tokensAt time.Duration
}

// Table holds the limits of all targets. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	self     string
	observer uint64
	sequence uint64
	// members holds the processes among which limits are divided, with this one. It is
	// empty until the list of members is known, and after Leave.
	members []string
	left    bool
	states  map[fleet.Boot]*state
	// sent holds this process's latest requests to each target.
	sent map[fleet.Boot]*sendCount
}

// New returns the table of the process self. observer identifies its run.
func New(self string, observer uint64) *Table {
	return &Table{self: self, observer: observer, states: map[fleet.Boot]*state{}, sent: map[fleet.Boot]*sendCount{}}
}

// SetMembers sets the processes of the fleet, with or without this one.
func (t *Table) SetMembers(now time.Duration, members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left {
		return
	}
	t.members = slices.Clone(members)
	if !slices.Contains(t.members, t.self) {
		t.members = append(t.members, t.self)
	}
	t.divide(now)
}

// Leave ends the use of this process's shares, since its peers will divide them among
// themselves.
func (t *Table) Leave(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = true
	t.members = nil
	t.divide(now)
}

// divide derives this process's shares. The caller must hold t.mu.
func (t *Table) divide(now time.Duration) {
	for target, s := range t.states {
		t.setShare(now, target, s)
	}
}

func (t *Table) setShare(now time.Duration, target fleet.Boot, s *state) {
	s.refill(now)
	wasHolder := s.share > 0
	s.share = t.shareOf(target, s)
	if !wasHolder {
		// The previous holder may have used its share just now.
		s.tokens = 0
	}
}

// shareOf returns this process's share of a target's limit.
func (t *Table) shareOf(target fleet.Boot, s *state) float64 {
	if !s.newest.Named || len(t.members) == 0 {
		return 0
	}
	limit := max(minLimit, s.newest.PerSecond)
	holders := int(min(float64(len(t.members)), max(1, limit/minShare)))
	if t.rank(target) >= holders {
		return 0
	}
	return limit / float64(holders)
}

// rank returns the number of members that are holders of a target's limit before this
// process, by rendezvous hashing.
func (t *Table) rank(target fleet.Boot) int {
	own := rendezvous(target, t.self)
	rank := 0
	for _, member := range t.members {
		if compareHolders(rendezvous(target, member), member, own, t.self) < 0 {
			rank++
		}
	}
	return rank
}

func compareHolders(weightA uint64, a string, weightB uint64, b string) int {
	return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a, b))
}

func rendezvous(target fleet.Boot, member string) uint64 {
	return xxhash.Sum64String(target.ID + "\x00" + member)
}

// refill adds the requests that the share has allowed since the last call.
func (s *state) refill(now time.Duration) {
	if now <= s.tokensAt {
		return
	}
	s.tokens = min(s.capacity(), s.tokens+s.share*(now-s.tokensAt).Seconds())
	s.tokensAt = now
}

// capacity returns the number of requests that may be sent at the same time.
func (s *state) capacity() float64 {
	const burst = 100 * time.Millisecond
	return max(1, s.share*burst.Seconds())
}

// pause returns the pause after a limit was named. The rate of all processes is estimated
// from this one's. The caller must hold t.mu.
func (t *Table) pause(now time.Duration, o *Observation) time.Duration {
	sent, ok := t.sent[o.Target]
	if !ok {
		return pauseAfterNaming
	}
	rate := float64(sent.sum(now)) * float64(max(1, len(t.members))) / sendCountPeriod.Seconds()
	if rate <= longPauseFactor*o.PerSecond {
		return pauseAfterNaming
	}
	return longPauseAfterNaming
}

// Any reports whether any target names a limit.
func (t *Table) Any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		if s.newest.Named {
			return true
		}
	}
	return false
}

// Allow tells whether a target may get a request from this process.
func (t *Table) Allow(now time.Duration, target fleet.Boot) Allowance {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.states[target]
	if !known || !s.newest.Named {
		return Allowance{Ready: true}
	}
	s.refill(now)
	a := Allowance{Limited: true, Ready: s.tokens >= 1}
	a.Due = a.Ready && now-s.observedAt >= refreshInterval
	if !a.Ready {
		a.Wait = s.wait()
	}
	return a
}

// wait returns the time until the limit allows a further request.
func (s *state) wait() time.Duration {
	rate, missing := s.share, max(0, 1-s.tokens)
	if rate == 0 {
		rate, missing = max(minLimit, s.newest.PerSecond), 1
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// Take counts a request that is about to be sent to a target.
func (t *Table) Take(now time.Duration, target fleet.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, ok := t.sent[target]
	if !ok {
		sent = &sendCount{}
		t.sent[target] = sent
	}
	sent.add(now)
	if s, known := t.states[target]; known && s.newest.Named {
		s.refill(now)
		s.tokens--
	}
}

// Prune forgets the targets that are no longer listed.
func (t *Table) Prune(listed func(target fleet.Boot) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.states {
		if !listed(target) {
			delete(t.states, target)
		}
	}
	for target := range t.sent {
		if !listed(target) {
			delete(t.sent, target)
		}
	}
}
