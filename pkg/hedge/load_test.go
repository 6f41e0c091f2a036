package hedge

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	simTargets   = 40
	simProcesses = 24
	simSlots     = 4
	simTime      = 100 * time.Millisecond
	simStart     = 10 * time.Second
	simEnd       = 30 * time.Second
	simSilence   = 3 * testObjective
	simDetection = time.Second
)

// simulation is a model of processes and targets in virtual time. Each process chooses the target
// with the shorter queue of two random ones, by the state of up to 0.2 s ago.
type simulation struct {
	now                               time.Duration
	events                            eventHeap
	random                            *rand.Rand
	targets                           [simTargets]simTarget
	seen                              [simTargets]int
	policies                          [simProcesses]*Policy
	requests, hedges, won, hedgesLate int
	times                             []time.Duration
	// refused counts the hedges that were not sent, by reason.
	refused map[string]int
	// slowness multiplies the times of a target, and is 0 for one that doesn't respond.
	slowness func(now time.Duration, target int) float64
}

type simTarget struct {
	running int
	waiting []*simAttempt
}

type simAttempt struct {
	request                 *simRequest
	target                  int
	begunAt, expected       time.Duration
	started, ended, isHedge bool
}

type simRequest struct {
	process  int
	begunAt  time.Duration
	done     bool
	attempts []*simAttempt
}

type simEvent struct {
	at time.Duration
	fn func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(event any)    { *h = append(*h, event.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) after(delay time.Duration, fn func()) {
	heap.Push(&s.events, simEvent{s.now + delay, fn})
}

// runSimulation offers load, as a share of the targets' capacity, and returns the times of the
// requests that began after simStart.
func runSimulation(share float64, load func(now time.Duration) float64, slowness func(now time.Duration, target int) float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), slowness: slowness, refused: map[string]int{}}
	for i := range s.policies {
		s.policies[i] = New(share)
	}
	arrivals := rand.New(rand.NewPCG(3, 4))
	var arrive, look func()
	arrive = func() {
		s.begin(&simRequest{process: arrivals.IntN(simProcesses), begunAt: s.now})
		rate := load(s.now) * simTargets * simSlots / simTime.Seconds()
		s.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	look = func() {
		for i := range s.targets {
			s.seen[i] = s.targets[i].running + len(s.targets[i].waiting)
		}
		s.after(200*time.Millisecond, look)
	}
	look()
	arrive()
	for s.now < simEnd {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.fn()
	}
	slices.Sort(s.times)
	return s
}

func (s *simulation) begin(r *simRequest) {
	s.requests++
	policy := s.policies[r.process]
	policy.RecordRequest(s.now, "s", simProcesses)
	first := s.send(r, s.choose(-1), false)
	s.after(simSilence, func() {
		if !r.done && len(r.attempts) == 1 {
			s.send(r, s.choose(first.target), false)
		}
	})
	timing, ok := policy.Timing(s.now, "r", testObjective, first.expected)
	if !ok || timing.Delay >= simSilence {
		return
	}
	s.after(timing.Delay, func() { s.hedge(r, &timing, false) })
}

// hedge sends a copy of a late request if the policy allows it, or tries again once.
func (s *simulation) hedge(r *simRequest, timing *Timing, isLast bool) {
	if r.done || len(r.attempts) > 1 {
		return
	}
	policy, target := s.policies[r.process], s.choose(r.attempts[0].target)
	refusal := timing.Refusal(&Copy{Waited: s.now - r.begunAt, Remaining: time.Minute, Expected: s.expected(target)})
	switch {
	case policy.IsOverloaded(s.now, "s"):
		refusal = ReasonOverload
	case refusal == "":
		refusal = policy.Take(s.now, "r", "s", isLast, alwaysRetry)
	}
	if MayComeLater(refusal) && !isLast {
		s.after(timing.LastDelay-timing.Delay, func() { s.hedge(r, timing, true) })
		return
	}
	if refusal != "" {
		s.refused[refusal]++
		return
	}
	s.hedges++
	if s.now >= simStart+simDetection {
		s.hedgesLate++
	}
	s.send(r, target, true)
}

// choose returns the target with the shorter known queue of two random ones. Targets that have not
// responded for simDetection are known to be dead.
func (s *simulation) choose(excluded int) int {
	draw := func() int {
		for {
			i := s.random.IntN(simTargets)
			isDead := s.slowness(s.now-simDetection, i) == 0
			if i != excluded && !isDead {
				return i
			}
		}
	}
	a, b := draw(), draw()
	if s.seen[b] < s.seen[a] {
		return b
	}
	return a
}

func (s *simulation) expected(target int) time.Duration {
	return scaled(simTime, max(1, float64(s.seen[target]+1)/simSlots))
}

func (s *simulation) send(r *simRequest, target int, isHedge bool) *simAttempt {
	a := &simAttempt{request: r, target: target, begunAt: s.now, expected: s.expected(target), isHedge: isHedge}
	r.attempts = append(r.attempts, a)
	s.seen[target]++
	s.targets[target].waiting = append(s.targets[target].waiting, a)
	s.start(target)
	return a
}

func (s *simulation) start(target int) {
	t := &s.targets[target]
	for t.running < simSlots && len(t.waiting) > 0 {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		if a.ended {
			continue
		}
		a.started = true
		t.running++
		slowness := s.slowness(s.now, target)
		if slowness > 0 {
			s.after(scaled(simTime, slowness*math.Exp(0.3*s.random.NormFloat64())), func() { s.end(a) })
		}
	}
}

// end handles a response, and cancels the other attempts.
func (s *simulation) end(a *simAttempt) {
	r := a.request
	if a.ended || r.done {
		return
	}
	r.done = true
	policy, first := s.policies[r.process], r.attempts[0]
	t := &s.targets[a.target]
	policy.RecordReport(s.now, "s", Report{Queued: len(t.waiting) > 0})
	if a == first {
		policy.RecordTime(s.now, "r", s.now-a.begunAt, a.expected)
	} else {
		policy.RecordAtLeast(s.now, "r", s.now-first.begunAt, first.expected)
	}
	for _, attempt := range r.attempts {
		if attempt.isHedge {
			policy.RecordEnd(s.now, "r", attempt == a)
		}
	}
	if a.isHedge {
		s.won++
	}
	if r.begunAt >= simStart {
		s.times = append(s.times, s.now-r.begunAt)
	}
	for _, other := range r.attempts {
		other.ended = true
		if other.started {
			s.targets[other.target].running--
			s.start(other.target)
		}
	}
}

func (s *simulation) quantile(q float64) time.Duration {
	return s.times[int(q*float64(len(s.times)-1))]
}

// late returns the share of requests that took longer than the objective.
func (s *simulation) late() float64 {
	index, _ := slices.BinarySearch(s.times, testObjective)
	return 1 - float64(index)/float64(len(s.times))
}

func (s *simulation) String() string {
	return fmt.Sprintf("requests %d, hedges %d (won %d), late %.4f, p50 %v, p99 %v, p99.9 %v, refused %v", s.requests, s.hedges, s.won, s.late(), s.quantile(0.5), s.quantile(0.99), s.quantile(0.999), s.refused)
}

// TestHedgesUnderLoad guards against hedges that don't help where one target is slow, and against
// those that add load or spend more than the operator's share where all targets are.
func TestHedgesUnderLoad(t *testing.T) {
	const share = 0.05
	half := func(time.Duration) float64 { return 0.5 }
	normal := func(time.Duration, int) float64 { return 1 }
	cases := []struct {
		name     string
		load     func(now time.Duration) float64
		slowness func(now time.Duration, target int) float64
		// improves is set if hedges have to halve the slowest requests, and those over the objective. Otherwise they must
		// not make requests slower.
		improves bool
		// maxLateShare bounds the share of hedges in the requests after simStart.
		maxLateShare float64
	}{
		{"one target of 40 is slow", half, func(now time.Duration, target int) float64 {
			if target == 0 && now >= simStart {
				return 8
			}
			return 1
		}, true, share},
		{"all targets are slow", func(time.Duration) float64 { return 0.3 }, func(now time.Duration, _ int) float64 {
			if now >= simStart {
				return 2.5
			}
			return 1
		}, false, share},
		{"a burst exceeds the capacity", func(now time.Duration) float64 {
			if now >= simStart && now < simStart+5*time.Second {
				return 1.25
			}
			return 0.5
		}, normal, false, 0.01},
		{"half of the targets are dead", func(time.Duration) float64 { return 0.4 }, func(now time.Duration, target int) float64 {
			if now >= simStart && target%2 == 0 {
				return 0
			}
			return 1
		}, false, share},
	}
	for _, c := range cases {
		Convey("If "+c.name, t, func() {
			without, with := runSimulation(0, c.load, c.slowness), runSimulation(share, c.load, c.slowness)
			t.Logf("%s: without hedges: %v; with hedges: %v", c.name, without, with)
			So(without.hedges, ShouldEqual, 0)
			So(float64(with.hedges), ShouldBeLessThanOrEqualTo, share*float64(with.requests))
			So(float64(with.hedgesLate), ShouldBeLessThanOrEqualTo, c.maxLateShare*float64(len(with.times)))
			So(with.quantile(0.5), ShouldBeLessThan, without.quantile(0.5)*105/100)
			if c.improves {
				// The cancelled attempts make the slow target look idle to the processes of this
				// model, so that it gets more requests and only the slowest ones are faster.
				So(with.late(), ShouldBeLessThan, without.late()/2)
				So(with.quantile(0.999), ShouldBeLessThan, without.quantile(0.999)/2)
			} else {
				So(with.quantile(0.99), ShouldBeLessThan, without.quantile(0.99)*105/100)
			}
		})
	}
}
