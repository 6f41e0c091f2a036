package loadshed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simTick    = 5 * time.Millisecond
	simEngines = 45
	// simWork is the mean work of a request; 45 engines serve 450 such requests a second.
	simWork   = 100 * time.Millisecond
	simLength = 12 * time.Second
	// simWarmUp is the time before the requests that are counted.
	simWarmUp     = 2 * time.Second
	historyLength = 64
	// simChoices is the number of engines that a process compares.
	simChoices = 3
)

// simLoad is the load of one kind of request of one account.
type simLoad struct {
	account   string
	class     Class
	perSecond float64
}

// simJob is a request in the model.
type simJob struct {
	ticket    Ticket
	load      *simLoad
	work      time.Duration
	arrivedAt time.Duration
	deadline  time.Duration
	retried   bool
	process   *simProcess
	sentAt    time.Duration
	relaxed   bool
}

// simEngine serves one request after the other, the most urgent first, and drops those whose
// deadline has passed. It gives no sign of its queue but the work in it, which processes learn late.
type simEngine struct {
	queue   []*simJob
	history [historyLength]time.Duration
	gone    bool
	// left is the remaining work of the first request.
	left time.Duration
}

// simProcess is a process with its queue and its view of the engines.
type simProcess struct {
	queue *Queue
	age   time.Duration
	// sent holds the work that the process has sent to each engine since the state that it knows.
	sent    [simEngines][]simSent
	waiting map[*Waiter]*simJob
	factor  float64
}

type simSent struct {
	at   time.Duration
	work time.Duration
}

type simReturn struct {
	at  time.Duration
	job *simJob
}

// simFleet is a deployment in virtual time: processes that see the engines' queues as they were 0.1
// to 0.3 s ago, and callers that come back once.
type simFleet struct {
	now       time.Duration
	random    *rand.Rand
	processes []*simProcess
	engines   []*simEngine
	loads     []simLoad
	classes   []Class
	returns   []simReturn
	// estimate is the ratio of the expected waits to the known ones.
	estimate float64
	// controlled is unset for a fleet that sends while the deadline allows it.
	controlled bool
	result     simResult
}

// simCounts holds what has become of the requests of one account and class.
type simCounts struct{ asked, served, inObjective, refused, dropped int }

type simResult map[string]map[int]*simCounts

func (r simResult) of(account string, priority int) *simCounts {
	if r[account] == nil {
		r[account] = map[int]*simCounts{}
	}
	if r[account][priority] == nil {
		r[account][priority] = &simCounts{}
	}
	return r[account][priority]
}

// total sums the counts of a class, or of all classes if priority is negative.
func (r simResult) total(priority int) simCounts {
	var sum simCounts
	for _, classes := range r {
		for p, c := range classes {
			if priority < 0 || p == priority {
				sum.asked += c.asked
				sum.served += c.served
				sum.inObjective += c.inObjective
				sum.refused += c.refused
				sum.dropped += c.dropped
			}
		}
	}
	return sum
}

func newSimFleet(processes int, loads []simLoad, seed uint64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), loads: loads, controlled: true, estimate: 1, result: simResult{}}
	for range processes {
		f.processes = append(f.processes, &simProcess{
			queue: NewQueue(512, f.random), age: 100*time.Millisecond + time.Duration(f.random.Int64N(int64(200*time.Millisecond))),
			waiting: map[*Waiter]*simJob{}, factor: 0.85 + 0.15*f.random.Float64(),
		})
	}
	for range simEngines {
		f.engines = append(f.engines, &simEngine{})
	}
	for i := range loads {
		f.classes = append(f.classes, loads[i].class)
	}
	return f
}

// run runs the fleet and calls event, if not nil, at each tick.
func (f *simFleet) run(event func(now time.Duration)) simResult {
	for ; f.now < simLength; f.now += simTick {
		if event != nil {
			event(f.now)
		}
		for i := range f.loads {
			for range f.poisson(f.loads[i].perSecond * simTick.Seconds()) {
				f.arrive(&f.loads[i])
			}
		}
		f.returnCallers()
		for _, p := range f.processes {
			f.release(p)
		}
		for _, e := range f.engines {
			f.work(e)
		}
	}
	return f.result
}

func (f *simFleet) poisson(mean float64) int {
	count := 0
	for sum := f.random.ExpFloat64(); sum < mean; sum += f.random.ExpFloat64() {
		count++
	}
	return count
}

func (f *simFleet) arrive(load *simLoad) {
	work := time.Duration((0.2 + 1.6*f.random.Float64()) * float64(simWork))
	job := &simJob{load: load, work: work, arrivedAt: f.now, deadline: f.now + load.class.Timeout}
	f.counts(job).asked++
	f.ask(job)
}

// counts returns the counts of a request; those of the warm-up are not kept.
func (f *simFleet) counts(job *simJob) *simCounts {
	if job.arrivedAt < simWarmUp || job.arrivedAt > simLength-job.load.class.Timeout {
		return &simCounts{}
	}
	return f.result.of(job.load.account, job.load.class.Priority)
}

// ask hands a request to a process, as the relay does.
func (f *simFleet) ask(job *simJob) {
	p := f.processes[f.random.IntN(len(f.processes))]
	lead := QueueTarget(job.load.class, f.classes) + job.work
	job.ticket = Ticket{
		Priority: job.load.class.Priority, Account: job.load.account, AccountWeight: 1, Tokens: 1000 * job.work.Seconds(), Deadline: job.deadline, Objective: job.load.class.Objective,
		Lead: min(lead, (job.deadline-f.now)/2),
	}
	if !f.controlled || !p.queue.MustWait(f.now, job.ticket.Priority, job.ticket.Account) {
		if f.trySend(p, job, f.limit(p, job, false, 1)) {
			p.queue.RecordSent(f.now, &job.ticket)
			return
		}
	}
	if !f.controlled {
		f.refuse(job, 300*time.Millisecond)
		return
	}
	w, refusal := p.queue.Enqueue(f.now, job.ticket)
	if refusal != nil {
		f.refuse(job, refusal.RetryAfter)
		return
	}
	p.waiting[w] = job
}

// limit returns the longest expected time to the first byte at which a request is sent.
func (f *simFleet) limit(p *simProcess, job *simJob, relaxed bool, fraction float64) time.Duration {
	limit := Limits(job.load.class, f.classes)
	if limit == 0 && f.controlled && p.queue.IsExcessive(f.now, job.ticket.Priority, job.ticket.Account) {
		limit = SoftLimit(job.load.class)
	}
	if limit == 0 || relaxed || !f.controlled {
		return job.deadline - f.now
	}
	return min(job.deadline-f.now, time.Duration(fraction*p.factor*float64(limit))+job.work)
}

func (f *simFleet) refuse(job *simJob, retryAfter time.Duration) {
	if !job.retried && retryAfter <= (job.deadline-f.now)/3 {
		job.retried = true
		f.returns = append(f.returns, simReturn{f.now + retryAfter, job})
		return
	}
	f.counts(job).refused++
}

func (f *simFleet) returnCallers() {
	f.returns = slices.DeleteFunc(f.returns, func(r simReturn) bool {
		if r.at > f.now {
			return false
		}
		f.ask(r.job)
		return true
	})
}

func (f *simFleet) release(p *simProcess) {
	for _, expired := range p.queue.Expire(f.now) {
		f.refuse(p.waiting[expired.Waiter], expired.Refusal.RetryAfter)
		delete(p.waiting, expired.Waiter)
	}
	for _, w := range p.queue.Release(f.now, func(w *Waiter) bool {
		p.waiting[w].relaxed = w.ByMinShare
		return f.trySend(p, p.waiting[w], f.limit(p, p.waiting[w], w.ByMinShare, 0.85))
	}) {
		delete(p.waiting, w)
	}
}

// trySend sends a request to the engine with the shortest known queue of some, if that is within the
// limit. Choosing among all of them would send all processes to the same engines.
func (f *simFleet) trySend(p *simProcess, job *simJob, limit time.Duration) bool {
	best, shortest := -1, time.Duration(0)
	for range simChoices {
		i := f.random.IntN(simEngines)
		if f.engines[i].gone {
			continue
		}
		if expected := time.Duration(f.estimate * float64(f.known(p, i))); best < 0 || expected < shortest {
			best, shortest = i, expected
		}
	}
	if best < 0 || shortest+job.work > limit {
		return false
	}
	job.process, job.sentAt = p, f.now
	p.queue.RecordExpected(f.now, job.ticket.Priority, shortest, QueueTarget(job.load.class, f.classes))
	p.sent[best] = append(p.sent[best], simSent{f.now, job.work})
	e := f.engines[best]
	at, _ := slices.BinarySearchFunc(e.queue, job, func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(a.ticket.Priority, b.ticket.Priority), -1)
	})
	if at == 0 && e.left > 0 {
		at = 1
	}
	e.queue = slices.Insert(e.queue, min(at, len(e.queue)), job)
	return true
}

// known returns the work queued at an engine as far as the process knows.
func (f *simFleet) known(p *simProcess, i int) time.Duration {
	since := max(0, f.now-p.age)
	work := f.engines[i].history[int(since/simTick)%historyLength]
	sent := p.sent[i]
	for len(sent) > 0 && sent[0].at < since {
		sent = sent[1:]
	}
	p.sent[i] = sent
	for _, s := range sent {
		work += s.work
	}
	return work
}

// work lets an engine work for a tick.
func (f *simFleet) work(e *simEngine) {
	for budget := simTick; budget > 0 && len(e.queue) > 0; {
		job := e.queue[0]
		if e.left == 0 && f.now > job.deadline {
			f.counts(job).dropped++
			job.process.queue.RecordNoRoom(f.now, job.sentAt, job.ticket.Priority)
			e.queue = e.queue[1:]
			continue
		}
		if e.left == 0 {
			e.left = job.work
		}
		done := min(budget, e.left)
		budget -= done
		e.left -= done
		if e.left == 0 {
			e.queue = e.queue[1:]
			f.finish(job)
		}
	}
	total := time.Duration(0)
	for i, job := range e.queue {
		if i == 0 && e.left > 0 {
			total += e.left
		} else {
			total += job.work
		}
	}
	e.history[int(f.now/simTick)%historyLength] = total
}

// observe tells the process that sent a request how long it took to its first byte.
func (f *simFleet) observe(job *simJob) {
	if !job.relaxed {
		job.process.queue.RecordFirstByte(f.now, job.sentAt, job.ticket.Priority, f.now-job.sentAt-job.work, QueueTarget(job.load.class, f.classes))
	}
}

func (f *simFleet) finish(job *simJob) {
	f.observe(job)
	counts := f.counts(job)
	switch {
	case f.now > job.deadline:
		counts.dropped++
	case f.now-job.arrivedAt <= job.load.class.Objective:
		counts.inObjective++
		counts.served++
	default:
		counts.served++
	}
}
