package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Bounds of the requests to a target that names a limit: within each window, factor
// times what the limit allows and slack more, from settleTime after it first named it.
const (
	window     = 4 * time.Second
	factor     = 1.5
	slack      = 5
	settleTime = 3 * time.Second
	// toldMargin is the time after which requests of a process count that the target
	// has told of its limit.
	toldMargin = 500 * time.Millisecond
)

const (
	tick              = 20 * time.Millisecond
	messageInterval   = 100 * time.Millisecond
	maxMessageDelay   = 150 * time.Millisecond
	maxResponseDelay  = 250 * time.Millisecond
	maxMemberListLag  = time.Second
	leaseTTL          = 3 * time.Second
	simulatedTime     = 24 * time.Second
	messageLoss       = 0.1
	never             = 1000 * time.Hour
	disturbedInterval = window + settleTime
)

type simProcess struct {
	name  string
	table *Table
	// told is the time at which the target first told the process of its limit in this
	// phase. excusedUntil is the end of the time for which its requests don't count,
	// after a restart or a cut.
	told         time.Duration
	excusedUntil time.Duration
	// cutUntil is the time until which no messages arrive or leave, and the process is
	// no member after leaseTTL.
	cutUntil time.Duration
}

type arrival struct {
	at      time.Duration
	process *simProcess
}

// failer is the part of a test that the simulation uses.
type failer interface {
	Fatalf(format string, args ...any)
}

// scenario holds the parameters of a simulation.
type scenario struct {
	limit, demand float64
	seed          uint64
	processes     int
	disturbances  int
}

// simulation is a fleet whose processes send a target as much as they are allowed.
type simulation struct {
	t      failer
	random *rand.Rand
	now    time.Duration
	limit  float64
	// demand is the number of requests per second that would be sent to the target
	// without a limit, evenly spaced, and demanded the part of it that is not sent yet.
	demand    float64
	demanded  float64
	processes []*simProcess
	events    map[time.Duration][]func()
	arrivals  []arrival
	// named is set while the target names its limit, since namedAt.
	named   bool
	namedAt time.Duration
	boots   uint64
}

func (s *simulation) after(delay time.Duration, fn func()) {
	at := (s.now + delay).Truncate(tick) + tick
	s.events[at] = append(s.events[at], fn)
}

func (s *simulation) delay(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

func (s *simulation) memberNames() []string {
	var names []string
	for _, p := range s.processes {
		if s.now < p.cutUntil-leaseTTL {
			continue
		}
		names = append(names, p.name)
	}
	return names
}

// publishMembers tells all processes of the members, each after a lag of its own.
func (s *simulation) publishMembers() {
	names := s.memberNames()
	for _, p := range s.processes {
		s.after(s.delay(maxMemberListLag), func() {
			if s.now >= p.cutUntil {
				p.table.SetMembers(s.now, names)
			}
		})
	}
}

func (s *simulation) start(p *simProcess) {
	s.boots++
	p.table, p.told = New(p.name, s.boots), never
	s.publishMembers()
}

func (s *simulation) restart(p *simProcess) {
	s.start(p)
	p.excusedUntil = max(p.excusedUntil, s.now+disturbedInterval)
}

// cut cuts a process off from its peers and the store for a time.
func (s *simulation) cut(p *simProcess, duration time.Duration) {
	p.cutUntil = s.now + duration
	p.excusedUntil = max(p.excusedUntil, p.cutUntil+disturbedInterval)
	s.after(leaseTTL, s.publishMembers)
	s.after(duration, s.publishMembers)
}

func (s *simulation) sendMessages(p *simProcess) {
	observations := p.table.Newest(s.now)
	if len(observations) == 0 || s.now < p.cutUntil {
		return
	}
	for _, peer := range s.processes {
		if peer == p || s.random.Float64() < messageLoss {
			continue
		}
		s.after(s.delay(maxMessageDelay), func() {
			if s.now >= peer.cutUntil {
				peer.table.Merge(s.now, observations)
			}
		})
	}
}

// request sends the target a request if the process is allowed to. wanted is set if the
// process would send one without a limit; with one, it sends what it can.
func (s *simulation) request(p *simProcess, wanted bool) {
	allowance := p.table.Allow(s.now, target)
	if !allowance.Ready || (!allowance.Limited && !wanted) {
		return
	}
	p.table.Take(s.now, target)
	s.arrivals = append(s.arrivals, arrival{s.now, p})
	sentAt, table := s.now, p.table
	s.after(s.delay(maxResponseDelay), func() { s.respond(p, table, sentAt) })
}

func (s *simulation) respond(p *simProcess, table *Table, sentAt time.Duration) {
	if p.table != table {
		return
	}
	if s.named {
		p.told = min(p.told, s.now)
	}
	if _, changed := table.RecordResponse(s.now, target, sentAt, s.named, s.limit); changed {
		s.sendMessages(p)
	}
}

// check counts the requests of the latest window.
func (s *simulation) check() {
	if !s.named || s.now < s.namedAt+settleTime {
		return
	}
	count := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].at > s.now-window; i-- {
		p := s.arrivals[i].process
		if p.told <= s.now-toldMargin && s.now >= p.excusedUntil {
			count++
		}
	}
	if allowed := factor*s.limit*window.Seconds() + slack; float64(count) > allowed {
		s.t.Fatalf("at %v, %d requests in %v at a limit of %v a second named at %v; allowed %v", s.now, count, window, s.limit, s.namedAt, allowed)
	}
}

func (s *simulation) step() {
	s.now += tick
	for _, fn := range s.events[s.now] {
		fn()
	}
	delete(s.events, s.now)
	s.demanded += s.demand * tick.Seconds()
	for _, i := range s.random.Perm(len(s.processes)) {
		p := s.processes[i]
		if (s.now+time.Duration(i)*tick)%messageInterval == 0 {
			s.sendMessages(p)
		}
		wanted := s.demanded >= 1
		if wanted {
			s.demanded--
		}
		s.request(p, wanted)
	}
	s.check()
}

// disturb restarts or cuts off a process now and then.
func (s *simulation) disturb() {
	p := s.processes[s.random.IntN(len(s.processes))]
	if s.random.IntN(2) == 0 {
		s.restart(p)
		return
	}
	s.cut(p, time.Second+s.delay(6*time.Second))
}

// TestLimitOverFleet checks the number of requests to a target that names a limit while
// processes restart, are cut off and come back, and the limit ends and is named again. It
// also checks that the target gets requests meanwhile.
func TestLimitOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.5, 40).Draw(t, "limit")
		scenario{
			limit: limit, demand: rapid.Float64Range(limit, 2*limit+3).Draw(t, "demand"), seed: rapid.Uint64().Draw(t, "seed"),
			processes:    rapid.SampledFrom([]int{1, 2, 4, 24, 103}).Draw(t, "processes"),
			disturbances: rapid.IntRange(0, 4).Draw(t, "disturbances"),
		}.run(t)
	})
}

// TestLimitNamedAgain guards against a limit that the fleet doesn't learn again after it has
// ended: observations of the end by two processes kept each other young on their way from
// process to process, and each was taken for newer than the limit that was named again.
func TestLimitNamedAgain(t *testing.T) {
	scenario{limit: 2.6875, demand: 8.2109375, seed: 0x37, processes: 103, disturbances: 2}.run(t)
}

// run simulates a fleet whose target names its limit twice.
func (c scenario) run(t failer) {
	s := &simulation{
		t: t, limit: c.limit, demand: c.demand, random: rand.New(rand.NewPCG(c.seed, 1)), events: map[time.Duration][]func(){},
	}
	for i := range c.processes {
		s.processes = append(s.processes, &simProcess{name: fmt.Sprint("vm-", i)})
	}
	for _, p := range s.processes {
		s.start(p)
	}
	for range c.disturbances {
		s.after(s.delay(simulatedTime), s.disturb)
	}
	s.runPhase(2*time.Second, false)
	s.runPhase(simulatedTime/2, true)
	served := 0
	for _, a := range s.arrivals {
		if a.at > s.now-window {
			served++
		}
	}
	if c.disturbances == 0 && float64(served) < c.limit*window.Seconds()/2-1 {
		t.Fatalf("%d requests in %v at a limit of %v", served, window, c.limit)
	}
	s.runPhase(4*time.Second, false)
	s.runPhase(simulatedTime/4, true)
}

// runPhase runs for a time in which the target names its limit or doesn't.
func (s *simulation) runPhase(duration time.Duration, named bool) {
	s.named, s.namedAt = named, s.now
	for _, p := range s.processes {
		p.told = never
	}
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}
