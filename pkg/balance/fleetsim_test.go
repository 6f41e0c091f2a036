package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Properties of the simulated engines. An engine works in steps: it admits requests while it has
// slots, processes a chunk of the oldest prompts and one token of each running request.
const (
	simChunkTokens   = 1024
	simPrefillRate   = 90.0
	simStepTime      = 3 * time.Millisecond
	simDecodeTime    = 60 * time.Microsecond
	simFirstDelay    = 15 * time.Millisecond
	simOutputTokens  = 40
	simGossipDelay   = 10 * time.Millisecond
	simCallerTimeout = 3 * time.Second
	simSlowness      = 2.5
	simSlowTime      = 600 * time.Millisecond
	simTransferTime  = 5 * time.Millisecond
	simDataCentres   = 3
)

// simRequest is one request in the simulation.
type simRequest struct {
	sentAt   time.Duration
	expected time.Duration
	tokens   float64
	left     float64
	output   int
	isEnded  bool
	tracked  *TrackedRequest
}

// simEngine is a target of the simulation.
type simEngine struct {
	target fleet.Target
	speed  float64
	slots  int
	isDark bool
	// slowUntil is the time until which work takes simSlowness times as long.
	slowUntil time.Duration
	received  int
	isBusy    bool
	queue     []*simRequest
	running   []*simRequest
}

// simResult is the outcome of one request.
type simResult struct {
	sentAt, expected, observed time.Duration
	target                     string
}

// simEvent is a function that the simulation calls at a time.
type simEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleetSim simulates processes that share engines and exchange their loads, in virtual time.
type fleetSim struct {
	now       time.Duration
	seq       int
	events    simEvents
	random    *rand.Rand
	processes []*Balancer
	engines   []*simEngine
	listed    []fleet.Target
	// results holds the requests that got a first byte, and timedOut counts the others.
	results  []simResult
	timedOut int
	// sendsPace is set if responses tell how long work takes on their engine.
	sendsPace bool
	// callerShare is the share of the requests that the processes of the first data centre
	// receive, if there are several.
	callerShare float64
	remote      int
}

// newFleetSim starts processes that exchange their loads at the given interval.
func newFleetSim(processes, engineCount int, interval time.Duration) *fleetSim {
	s := &fleetSim{random: rand.New(rand.NewPCG(7, 11)), now: time.Second}
	for i := range engineCount {
		target := fleet.Target{ID: "e" + strconv.Itoa(i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: "dc0", Slots: 64, Models: map[string]int64{model: 1}}
		s.engines = append(s.engines, &simEngine{target: target, speed: 1, slots: 64})
		s.listed = append(s.listed, target)
	}
	for i := range processes {
		b := New("vm"+strconv.Itoa(i), "dc0", deadline, rand.New(rand.NewPCG(uint64(i), 5)))
		s.processes = append(s.processes, b)
		s.after(time.Duration(s.random.Int64N(int64(interval))), func() { s.gossip(i, interval) })
	}
	return s
}

func (s *fleetSim) after(delay time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + delay, seq: s.seq, fn: fn})
}

// run simulates until the given time.
func (s *fleetSim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.fn()
	}
	s.now = until
}

func (s *fleetSim) gossip(sender int, interval time.Duration) {
	loads := s.processes[sender].LocalLoads(s.now)
	s.after(simGossipDelay, func() {
		for i, b := range s.processes {
			if i != sender {
				b.SetPeerLoads(s.now, "vm"+strconv.Itoa(sender), loads)
			}
		}
	})
	s.after(interval, func() { s.gossip(sender, interval) })
}

// offer sends requests at a rate per second until the given time.
func (s *fleetSim) offer(perSecond float64, until time.Duration, tokens func() int64) {
	if s.now >= until {
		return
	}
	s.send(tokens())
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() { s.offer(perSecond, until, tokens) })
}

func (s *fleetSim) send(tokens int64) {
	b := s.processes[s.sender()]
	req := newRequest("", 0, tokens)
	req.SharedParts = nil
	choice, refusal := b.Pick(s.now, req, s.listed)
	if refusal != nil {
		return
	}
	r := &simRequest{sentAt: s.now, expected: choice.ExpectedTTFB, tokens: float64(tokens), left: float64(tokens), tracked: b.Begin(s.now, req, &choice)}
	e := s.engine(choice.Target.ID)
	e.received++
	transfer := time.Millisecond
	if e.target.DataCentre != b.dataCentre {
		s.remote++
		transfer += simTransferTime
	}
	s.after(transfer, func() {
		e.queue = append(e.queue, r)
		s.wake(e)
	})
	s.after(simCallerTimeout, func() {
		if r.output == 0 && !r.isEnded {
			s.timedOut++
			r.isEnded = true
			r.tracked.End(s.now, Cancelled)
		}
	})
}

// sender returns the process that receives the next request.
func (s *fleetSim) sender() int {
	i := s.random.IntN(len(s.processes))
	if s.callerShare == 0 {
		return i
	}
	i -= i % simDataCentres
	if s.random.Float64() >= s.callerShare {
		i += 1 + s.random.IntN(simDataCentres-1)
	}
	return i % len(s.processes)
}

// setDataCentres spreads the engines and processes evenly over data centres. The given share
// of the requests comes from the first one.
func (s *fleetSim) setDataCentres(callerShare float64) {
	s.callerShare = callerShare
	for i, b := range s.processes {
		b.dataCentre = "dc" + strconv.Itoa(i%simDataCentres)
	}
	for i, e := range s.engines {
		e.target.DataCentre = "dc" + strconv.Itoa(i%simDataCentres)
		s.listed[i] = e.target
	}
}

func (s *fleetSim) engine(id string) *simEngine {
	i, _ := strconv.Atoi(id[1:])
	return s.engines[i]
}

func (s *fleetSim) wake(e *simEngine) {
	if !e.isBusy {
		e.isBusy = true
		s.step(e)
	}
}

// step runs one step of an engine and schedules its end.
func (s *fleetSim) step(e *simEngine) {
	for len(e.running) < e.slots && len(e.queue) > 0 {
		if !e.queue[0].isEnded {
			e.running = append(e.running, e.queue[0])
		}
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 || e.isDark {
		e.isBusy = false
		return
	}
	chunk, decoding := float64(simChunkTokens), 0
	for _, r := range e.running {
		if r.left == 0 {
			decoding++
			continue
		}
		processed := min(chunk, r.left)
		r.left -= processed
		chunk -= processed
	}
	took := simStepTime + time.Duration(decoding)*simDecodeTime + time.Duration((simChunkTokens-chunk)/simPrefillRate*float64(time.Millisecond))
	s.after(time.Duration(float64(took)*e.pace(s.now)/e.speed), func() { s.endStep(e) })
}

// pace returns by which factor the engine's work takes longer than usual.
func (e *simEngine) pace(now time.Duration) float64 {
	if now < e.slowUntil {
		return simSlowness
	}
	return 1
}

// slowDown slows random engines until the given time, so that a share of them is slow at a
// time.
func (s *fleetSim) slowDown(share float64, until time.Duration) {
	if s.now >= until {
		return
	}
	e := s.engines[s.random.IntN(len(s.engines))]
	e.slowUntil = max(e.slowUntil, s.now+simSlowTime)
	interval := time.Duration(float64(simSlowTime) / (share * float64(len(s.engines))))
	s.after(interval, func() { s.slowDown(share, until) })
}

// endStep delivers the tokens of a step.
func (s *fleetSim) endStep(e *simEngine) {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.left > 0 || r.isEnded {
			if !r.isEnded {
				kept = append(kept, r)
			}
			continue
		}
		r.output++
		if r.output == 1 {
			s.after(simFirstDelay, func() { s.firstByte(e, r) })
		} else if !e.isDark {
			r.tracked.RecordProgress(s.now)
		}
		if r.output < simOutputTokens {
			kept = append(kept, r)
			continue
		}
		s.after(simFirstDelay, func() { s.finish(e, r) })
	}
	e.running = kept
	s.step(e)
}

func (s *fleetSim) firstByte(e *simEngine, r *simRequest) {
	if r.isEnded || e.isDark {
		return
	}
	if s.sendsPace {
		r.tracked.balancer.RecordLoad(s.now, e.target.Boot(), call.Load{WorkPercent: 100 * e.pace(s.now)})
	}
	r.tracked.RecordFirstByte(s.now)
	s.results = append(s.results, simResult{sentAt: r.sentAt, expected: r.expected, observed: s.now - r.sentAt, target: e.target.ID})
}

func (s *fleetSim) finish(e *simEngine, r *simRequest) {
	if r.isEnded || e.isDark {
		return
	}
	r.isEnded = true
	r.tracked.End(s.now, Succeeded)
}
