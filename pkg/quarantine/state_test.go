package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	crashingTestPart    = "bad"
	crashingTestRequest = "crashing"
	// maxCrashesAfterReunion is the number of crashes after which no request with the
	// crashing part may reach a target, once all processes are in contact, and
	// maxRepeatsAfterReunion that number for the crashing request.
	maxCrashesAfterReunion = 5
	maxRepeatsAfterReunion = 3
	// waitStep is the time that passes at once.
	waitStep = 8 * time.Second
)

var (
	allParts = []string{crashingTestPart, "common", "rare-1", "rare-2", "rare-3"}
	// repeatedRequests holds the repeated requests.
	repeatedRequests = []Request{
		{Fingerprint: crashingTestRequest, Parts: []string{"common", "rare-3"}},
		{Fingerprint: "sound-1", Parts: []string{"common", "rare-1"}},
		{Fingerprint: "sound-2"},
	}
)

// testProcess is a process with its table and what the oracle says that it knows.
type testProcess struct {
	table  *Table
	oracle *knowledge
	cutOff bool
	// readVersion is the version of the store's content that the process last read.
	readVersion int
}

// storeCopy is the content of the store.
type storeCopy struct {
	records []Record
	facts   map[fact]bool
	version int
}

// world is a fleet of processes that run requests, exchange states and use a store.
type world struct {
	now       time.Time
	processes []*testProcess
	store     storeCopy
	copies    []storeCopy
	crashes   int
	// version counts the writes to the store.
	version int
	// trials counts the trials of each suspect, and restored is set once the store has been
	// restored from an older copy, which may lack some.
	trials   map[Suspect]int
	restored bool
	// requests counts the requests that come only once.
	requests int
	// partCrashes and requestCrashes tell what crashes targets.
	partCrashes, requestCrashes bool
	// changed is set if a process may know what another one doesn't.
	changed bool
}

func (w *world) draw(t *rapid.T) *testProcess {
	return rapid.SampledFrom(w.processes).Draw(t, "process")
}

// drawRequest returns a repeated request, or one with parts in a random order that
// comes only once.
func (w *world) drawRequest(t *rapid.T) Request {
	if rapid.Bool().Draw(t, "repeated") {
		return rapid.SampledFrom(repeatedRequests).Draw(t, "request")
	}
	w.requests++
	return Request{
		Fingerprint: fmt.Sprint("once-", w.requests),
		Parts:       rapid.SliceOfNDistinct(rapid.SampledFrom(allParts), 0, 3, rapid.ID).Draw(t, "parts"),
	}
}

// doesCrash reports whether a request crashes its target.
func (w *world) doesCrash(request Request) bool {
	return (w.partCrashes && slices.Contains(request.Parts, crashingTestPart)) || (w.requestCrashes && request.Fingerprint == crashingTestRequest)
}

// send runs a request at a process, unless it is refused. When it crashes its target,
// another process may have a request at the same target.
func (w *world) send(t *rapid.T) {
	process := w.draw(t)
	request := w.drawRequest(t)
	if w.isRefused(process, request) {
		return
	}
	if !w.doesCrash(request) {
		w.complete(process, request)
		return
	}
	target := w.crash(process, request)
	if rapid.Bool().Draw(t, "beside") {
		w.recordCrash(w.draw(t), target, w.drawRequest(t))
	}
}

// isRefused reports whether a process refuses a request and has no trial for it.
func (w *world) isRefused(p *testProcess, request Request) bool {
	suspect, quarantined := p.table.Check(request)
	return quarantined && !p.table.TakeTrial(w.now, suspect, request)
}

// crash crashes the next target under a request.
func (w *world) crash(p *testProcess, request Request) fleet.Boot {
	target := run(w.crashes)
	w.crashes++
	w.recordCrash(p, target, request)
	return target
}

func (w *world) recordCrash(p *testProcess, target fleet.Boot, request Request) {
	w.changed = true
	p.table.RecordCrash(w.now, target, request)
	for _, suspect := range request.suspects() {
		if !p.oracle.isProven(w.now, suspect) {
			p.oracle.learn(w.now, fact{suspect, target}, false)
		}
	}
}

func (w *world) complete(p *testProcess, request Request) {
	w.changed = true
	p.table.RecordCompleted(w.now, request)
	for _, suspect := range request.suspects() {
		p.oracle.provenAt[suspect] = w.now
		for f := range p.oracle.facts {
			if f.suspect == suspect {
				p.oracle.facts[f] = true
			}
		}
	}
}

func (w *world) exchange(from, to *testProcess) {
	if from.cutOff || to.cutOff {
		return
	}
	// Messages and the store together pass on all facts.
	to.table.Merge(w.now, from.table.Snapshot())
	to.oracle.merge(w.now, from.oracle.facts)
}

func (w *world) write(p *testProcess) {
	w.read(p)
	if !p.table.Missing(w.store.records) {
		return
	}
	w.replaceStore(p, p.table.Snapshot())
}

// replaceStore writes records of a process, which hold all facts that it knows.
func (w *world) replaceStore(p *testProcess, records []Record) {
	w.version++
	w.copies = append(w.copies, w.store)
	w.store = storeCopy{records: records, facts: map[fact]bool{}, version: w.version}
	for f, cleared := range p.oracle.facts {
		w.store.facts[f] = cleared
	}
	p.readVersion = w.version
}

// try begins a trial for a refused request, which a later request uses. The write fails if
// the process doesn't know the store's content.
func (w *world) try(t *rapid.T) {
	process := w.draw(t)
	suspect, due := process.table.DueTrial(w.now, w.drawRequest(t))
	id := fmt.Sprint("trial-", w.version, "-", len(w.trials))
	trial, records, proposed := process.table.ProposeTrial(w.now, suspect, id)
	if !due || !proposed {
		return
	}
	if process.readVersion != w.store.version {
		w.read(process)
		return
	}
	w.replaceStore(process, records)
	process.table.AddTrial(suspect, trial)
	process.table.Grant(w.now, suspect)
	w.trials[suspect]++
	if limit := max(maxPartTrials, maxRequestTrials); !w.restored && w.trials[suspect] > limit {
		t.Fatalf("%d trials of %v", w.trials[suspect], suspect)
	}
	if suspect.Request != "" && !w.restored && w.trials[suspect] > maxRequestTrials {
		t.Fatalf("%d trials of a request", w.trials[suspect])
	}
}

func (w *world) read(p *testProcess) {
	w.changed = true
	p.readVersion = w.store.version
	p.table.Merge(w.now, w.store.records)
	p.oracle.merge(w.now, w.store.facts)
}

// restart replaces a process by one that knows only what is in the store.
func (w *world) restart(p *testProcess) {
	p.table, p.oracle = New(), newKnowledge()
	w.read(p)
}

// join adds a process that knows only what is in the store.
func (w *world) join() {
	p := &testProcess{}
	w.processes = append(w.processes, p)
	w.restart(p)
}

// TestTableAgainstOracle compares the tables of a fleet with a simple model while its
// processes crash targets, exchange states, are cut off, restart and join, and the store is
// restored from older copies.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now: testStart, store: storeCopy{facts: map[fact]bool{}}, trials: map[Suspect]int{},
			partCrashes: rapid.Bool().Draw(t, "part crashes"), requestCrashes: rapid.Bool().Draw(t, "request crashes"),
		}
		for range rapid.SampledFrom([]int{1, 2, 4, 9, 103}).Draw(t, "processes") {
			w.processes = append(w.processes, &testProcess{table: New(), oracle: newKnowledge()})
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":     w.send,
			"exchange": func(t *rapid.T) { w.exchange(w.draw(t), w.draw(t)) },
			"write":    func(t *rapid.T) { w.write(w.draw(t)) },
			"read":     func(t *rapid.T) { w.read(w.draw(t)) },
			"cut":      func(t *rapid.T) { p := w.draw(t); p.cutOff = !p.cutOff },
			"restart":  func(t *rapid.T) { w.restart(w.draw(t)) },
			"join":     func(*rapid.T) { w.join() },
			"wait":     func(*rapid.T) { w.now = w.now.Add(waitStep) },
			"try":      w.try,
			"restore": func(t *rapid.T) {
				if len(w.copies) > 0 {
					w.store = rapid.SampledFrom(w.copies).Draw(t, "copy")
					w.restored = true
				}
			},
			"": w.check,
		})
		w.checkAfterReunion(t)
	})
}

// check compares the verdicts of all processes with those of the oracle.
func (w *world) check(t *rapid.T) {
	request := w.drawRequest(t)
	for i, p := range w.processes {
		if _, got := p.table.Check(request); got != p.oracle.refuses(request) {
			t.Fatalf("process %d refuses %v: %t, the oracle: %t, with %v", i, request, got, !got, p.oracle.facts)
		}
	}
}

// crashingRequests returns the parts of requests with the crashing part, alone and beside
// parts that are seldom used.
func crashingRequests() [][]string {
	return [][]string{
		{"common", "rare-2", crashingTestPart}, {"common", "rare-3", crashingTestPart}, {"common", "other", crashingTestPart}, {crashingTestPart},
	}
}

// exchangeAll makes all processes know everything, if they don't. It returns the first one.
func (w *world) exchangeAll() *testProcess {
	all := w.processes[0]
	if !w.changed {
		return all
	}
	w.changed = false
	for range 2 {
		for _, p := range w.processes[1:] {
			w.exchange(all, p)
			w.exchange(p, all)
		}
	}
	return all
}

// crashUnlessRefused sends a request that crashes its target, and reports whether it was
// not refused.
func (w *world) crashUnlessRefused(request Request) bool {
	all := w.exchangeAll()
	if w.isRefused(all, request) {
		return false
	}
	w.crash(all, request)
	return true
}

// checkAfterReunion checks what callers see once all processes are in contact: nothing
// that has been in a completed response since is refused, and a few crashes suffice for all
// processes to refuse all requests that crash targets.
func (w *world) checkAfterReunion(t *rapid.T) {
	for _, p := range w.processes {
		p.cutOff = false
	}
	sound := Request{Fingerprint: "sound-1", Parts: []string{"common", "rare-1"}}
	w.complete(w.exchangeAll(), sound)
	w.crashUntilRefused(t)
	w.exchangeAll()
	for i, p := range w.processes {
		if _, refused := p.table.Check(sound); refused {
			t.Fatalf("process %d refuses a sound request", i)
		}
		w.checkRefusals(t, i, p)
	}
}

// checkRefusals checks that a process refuses all requests that crash targets.
func (w *world) checkRefusals(t *rapid.T, number int, p *testProcess) {
	if _, refused := p.table.Check(repeatedRequests[0]); w.requestCrashes && !refused {
		t.Fatalf("process %d does not refuse the crashing request", number)
	}
	for _, parts := range crashingRequests() {
		if _, refused := p.table.Check(prompt(parts...)); w.partCrashes && !refused {
			t.Fatalf("process %d does not refuse %v after %d crashes", number, parts, w.crashes)
		}
	}
}

// crashUntilRefused sends the crashing request and requests with the crashing part in turn,
// those that are not refused. Some of the latter are repeated.
func (w *world) crashUntilRefused(t *rapid.T) {
	crashing := crashingRequests()
	repeats, crashes := 0, 0
	for n := range 4 * maxCrashesAfterReunion * len(crashing) {
		if w.requestCrashes && repeats < maxRepeatsAfterReunion && w.crashUnlessRefused(repeatedRequests[0]) {
			repeats++
		}
		request := Request{Fingerprint: fmt.Sprint("again-", n), Parts: crashing[n%len(crashing)]}
		for w.partCrashes && crashes < maxCrashesAfterReunion && w.crashUnlessRefused(request) {
			crashes++
			if rapid.Bool().Draw(t, "last") {
				break
			}
		}
	}
}
