package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step is the unit of virtual time of a testFleet.
const step = 50 * time.Millisecond

// contactTime is the time after which a process that hears its peers again counts as being in contact
// with them.
const contactTime = 500 * time.Millisecond

// testProcess is one entry process.
type testProcess struct {
	boot int
	// rollout is nil while the process doesn't run.
	rollout *Rollout
	// isCutOff is set while it hears no peer and not the store. contactSince is the time since
	// which it does.
	isCutOff     bool
	contactSince time.Duration
	// oldEnds holds the times at which its requests at the old version end.
	oldEnds []time.Duration
}

// testFleet is a deployment of processes with the store's record, in virtual time. The oracle is the
// list of requests that the versions got.
type testFleet struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	order     Order
	processes []*testProcess
	leader    int
	record    Record
	revision  uint64
	isStoreUp bool
	// leadsSince is the time since which the leader runs and reaches the store.
	leadsSince time.Duration
	// known holds the leader's view of the record, as long as it is valid.
	known       *Record
	perStep     float64
	fault       float64
	onset       time.Duration
	all         int
	exposed     int
	bad         int
	badAt       time.Duration
	completedAt time.Duration
	// hasSwitched is set once a process has sent all requests to the new version.
	hasSwitched bool
}

func newTestFleet(t *rapid.T) *testFleet {
	f := &testFleet{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), revision: 1, isStoreUp: true}
	f.order = Order{Service: "s", Target: "v2", Duration: time.Duration(rapid.IntRange(12, 25).Draw(t, "seconds")) * time.Second, Revision: 1}
	f.perStep = rapid.Float64Range(150, 550).Draw(t, "rate") * step.Seconds()
	f.fault = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "fault")
	f.onset = time.Duration(rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "onset") * float64(f.order.Duration))
	for range rapid.SampledFrom([]int{1, 2, 4, 24, 103}).Draw(t, "processes") {
		p := &testProcess{}
		f.processes = append(f.processes, p)
		f.start(p)
	}
	return f
}

func (f *testFleet) start(p *testProcess) {
	p.boot++
	p.rollout = New(f.now, 0, f.order, Bounds{Share: boundShare, Rollback: boundRollback}, f.random)
	p.contactSince, p.oldEnds = f.now, nil
	if p == f.processes[f.leader] {
		f.known, f.leadsSince = nil, f.now
	}
}

// isInContact reports whether a process has heard its peers for some time, and one of them the
// store.
func (f *testFleet) isInContact(p *testProcess) bool {
	return !p.isCutOff && f.now-p.contactSince >= contactTime && f.now-f.leadsSince >= contactTime
}

// advance lets time pass: requests, messages, judgement, and the leader's work.
func (f *testFleet) advance() {
	f.now += step
	for range int(f.perStep + f.random.Float64()) {
		if p := f.processes[f.random.IntN(len(f.processes))]; p.rollout != nil {
			f.request(p)
		}
	}
	f.exchange()
	for i, p := range f.processes {
		if p.rollout != nil && f.now%(4*step) == 0 {
			if f.hasAllReports(i) {
				p.rollout.Judge(f.now, i == f.leader && !p.isCutOff)
			}
			state, _ := p.rollout.State()
			f.hasSwitched = f.hasSwitched || state == Switching || state == Complete
		}
	}
	f.lead()
}

func (f *testFleet) request(p *testProcess) {
	decision := p.rollout.Next(f.now, false, len(f.processes) == 1)
	isNew := decision.Use.PrefersNew() || (decision.Use == OldVersionsFirst && f.completedAt > 0)
	if isNew && decision.Use == OldVersionsFirst {
		p.rollout.Return(decision)
		decision = Decision{}
	}
	p.rollout.Begin(decision, isNew)
	outcome := Outcome{Route: fmt.Sprint(f.random.IntN(3)), IsNew: isNew, SentAt: f.now, Result: Served, IsAnswered: true}
	if isNew && f.now >= f.onset && f.random.Float64() < f.fault {
		outcome.Result = Failed
	}
	f.checkRequest(p, isNew)
	if f.now <= f.order.Duration {
		f.all++
		if isNew {
			f.exposed++
		}
	}
	if isNew && outcome.Result == Failed {
		f.bad++
		if f.bad == boundBadAnswers {
			f.badAt = f.now
		}
	}
	if !isNew {
		p.oldEnds = append(p.oldEnds, f.now+time.Duration(f.random.ExpFloat64()*float64(100*time.Millisecond)))
	}
	p.rollout.End(outcome)
}

// checkRequest checks what must hold for each request.
func (f *testFleet) checkRequest(p *testProcess, isNew bool) {
	inContact := f.isInContact(p)
	if isNew && inContact && f.completedAt == 0 && f.bad >= boundBadAnswers && f.now > f.badAt+boundRollback {
		f.t.Fatalf("%s: a request to a bad version %s after its %dth bad answer", f.now, f.now-f.badAt, boundBadAnswers)
	}
	if isNew && inContact && f.record.State == Reverted && f.now > f.order.Duration+boundRollback {
		f.t.Fatalf("%s: a request to a version that was rolled back", f.now)
	}
	if !isNew && inContact && f.completedAt > 0 && f.now > f.completedAt+contactTime {
		f.t.Fatalf("%s: a request to the old version, which has stopped", f.now)
	}
}

func (f *testFleet) oldInFlight(p *testProcess) int {
	count := 0
	for _, end := range p.oldEnds {
		if end > f.now {
			count++
		}
	}
	return count
}

// hasAllReports reports whether a process gets the reports of all others, and judges. In a large fleet
// a few of them suffice.
func (f *testFleet) hasAllReports(index int) bool { return index == f.leader || index < 4 }

// exchange passes messages between the processes that are not cut off. A third of them are lost.
func (f *testFleet) exchange() {
	for i, from := range f.processes {
		if from.rollout == nil || from.isCutOff || (f.now/step+time.Duration(i))%4 != 0 {
			continue
		}
		news := from.rollout.News(f.now)
		news.Report = from.rollout.OwnReport(f.oldInFlight(from))
		for j, to := range f.processes {
			if i == j || to.rollout == nil || to.isCutOff || f.random.IntN(3) == 0 {
				continue
			}
			to.rollout.Learn(f.now, &news)
			if f.hasAllReports(j) {
				to.rollout.RecordReport(f.now, fmt.Sprint(i), fmt.Sprint(from.boot), &news.Report)
			}
		}
	}
}

// lead does the leader's work.
func (f *testFleet) lead() {
	p := f.processes[f.leader]
	if p.rollout == nil || p.isCutOff || !f.isStoreUp {
		f.known, f.leadsSince = nil, f.now
		return
	}
	if f.known == nil {
		record := f.record
		f.known = &record
		p.rollout.Adopt(&record)
		return
	}
	state, ok := p.rollout.Due(f.now, f.known, f.oldInFlight(p), len(f.processes))
	if !ok {
		return
	}
	if f.known.Revision != f.record.Revision {
		f.known = nil
		return
	}
	if f.record.State.IsFinal() {
		f.t.Fatalf("%s: %s is written over %s", f.now, state, f.record.State)
	}
	if state == Complete && f.now < f.order.completeBy() {
		f.checkDrained()
	}
	f.revision++
	f.record = Record{State: state, Target: f.order.Target, Revision: f.revision}
	if f.random.IntN(4) == 0 {
		// The response is lost.
		f.known = nil
	} else {
		*f.known = f.record
	}
	if state == Complete {
		f.completedAt = f.now
		if f.known != nil {
			p.rollout.Raise(Complete, "")
		}
	}
}

// checkDrained checks that no process uses the old version when the rollout is complete early.
func (f *testFleet) checkDrained() {
	for _, p := range f.processes {
		// A process can't be asked within the interval of messages, and needs reports of all.
		if p.rollout == nil {
			continue
		}
		if state, _ := p.rollout.State(); state < Switching {
			f.t.Fatalf("%s: complete while a process has not switched", f.now)
		}
	}
}

func (f *testFleet) any() *testProcess {
	return f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(f.t, "process")]
}

// actions returns the actions of the state machine.
func (f *testFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				f.advance()
			}
		},
		"kill": func(*rapid.T) { f.any().rollout = nil },
		"start": func(*rapid.T) {
			if p := f.any(); p.rollout == nil {
				f.start(p)
			}
		},
		"kill all": func(*rapid.T) {
			for _, p := range f.processes {
				f.start(p)
			}
			f.known = nil
		},
		"cut off": func(*rapid.T) { f.any().isCutOff = true },
		"connect": func(*rapid.T) {
			p := f.any()
			p.isCutOff, p.contactSince = false, f.now
		},
		"elect": func(t *rapid.T) {
			f.leader, f.known, f.leadsSince = rapid.IntRange(0, len(f.processes)-1).Draw(t, "leader"), nil, f.now
		},
		"store": func(*rapid.T) { f.isStoreUp = !f.isStoreUp },
		"":      f.check,
	}
}

// check checks the bound of the exposure. Before the switch it holds whatever the evidence shows, so
// also for versions that are not bad.
func (f *testFleet) check(t *rapid.T) {
	if (f.fault > 0 || !f.hasSwitched) && float64(f.exposed) > boundShare*float64(f.all)+boundSlack {
		t.Fatalf("%s: %d of %d requests went to a bad version", f.now, f.exposed, f.all)
	}
}

// TestFleet guards against a bad version that gets too many requests, or any after the time to roll
// it back, against requests to a version that has stopped, and against an end that is written twice,
// whatever fails.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t)
		t.Repeat(f.actions())
		f.finish()
	})
}

// finish lets everything work again and checks that the rollout ends.
func (f *testFleet) finish() {
	f.isStoreUp = true
	for _, p := range f.processes {
		if p.isCutOff {
			p.isCutOff, p.contactSince = false, f.now
		}
		if p.rollout == nil {
			f.start(p)
		}
	}
	for end := f.now + f.order.Duration + boundRollback; f.now < end; {
		f.advance()
		f.check(f.t)
	}
	if !f.record.State.IsFinal() {
		f.t.Fatalf("%s: the rollout is still %s", f.now, f.record.State)
	}
	if f.fault > 0 && f.onset == 0 && f.record.State != Reverted {
		f.t.Fatalf("a bad version is %s", f.record.State)
	}
}
