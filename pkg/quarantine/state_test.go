package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// fact is that a run of a target crashed under a part.
type fact struct {
	part   string
	target fleet.Boot
}

// knowledge is the oracle's state of a process: each known fact, and whether it is
// cleared. It has no bounds.
type knowledge struct {
	facts  map[fact]bool
	proven map[string]bool
}

func newKnowledge() *knowledge {
	return &knowledge{facts: map[fact]bool{}, proven: map[string]bool{}}
}

func (k *knowledge) learn(f fact, cleared bool) {
	k.facts[f] = k.facts[f] || cleared || (!k.has(f) && k.proven[f.part])
}

func (k *knowledge) has(f fact) bool {
	_, ok := k.facts[f]
	return ok
}

func (k *knowledge) merge(facts map[fact]bool) {
	for f, cleared := range facts {
		k.learn(f, cleared)
	}
}

// open returns the targets that crashed under a part, without the cleared crashes.
func (k *knowledge) open(part string) map[fleet.Boot]bool {
	targets := map[fleet.Boot]bool{}
	for f, cleared := range k.facts {
		if f.part == part && !cleared {
			targets[f.target] = true
		}
	}
	return targets
}

// refuses applies the definition to a request: one of its parts has enough crashes, and
// each other part with enough crashes that explains them is in the request too.
func (k *knowledge) refuses(request []string) bool {
	return slices.ContainsFunc(request, func(part string) bool {
		crashes := k.open(part)
		if len(crashes) < minCrashes {
			return false
		}
		return !slices.ContainsFunc(allParts, func(other string) bool {
			others := k.open(other)
			if other == part || len(others) < minCrashes || slices.Contains(request, other) {
				return false
			}
			alone := 0
			for target := range crashes {
				if !others[target] {
					alone++
				}
			}
			return alone < minSeparateCrashes
		})
	})
}

const (
	crashingTestPart = "bad"
	// maxCrashesAfterReunion is the number of crashes after which no request with the
	// crashing part may reach a target, once all processes are in contact.
	maxCrashesAfterReunion = 5
)

var allParts = []string{crashingTestPart, "common", "rare-1", "rare-2", "rare-3"}

// testProcess is a process with its table and what the oracle says that it knows.
type testProcess struct {
	table  *Table
	oracle *knowledge
	cutOff bool
}

// storeCopy is the content of the store.
type storeCopy struct {
	records []Record
	facts   map[fact]bool
}

// world is a fleet of processes that run requests, exchange states and use a store.
type world struct {
	now       time.Time
	processes []*testProcess
	store     storeCopy
	copies    []storeCopy
	crashes   int
}

func (w *world) draw(t *rapid.T) *testProcess {
	return rapid.SampledFrom(w.processes).Draw(t, "process")
}

// drawRequest returns a request's parts, in a random order.
func drawRequest(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(allParts), 1, 3, rapid.ID).Draw(t, "parts")
}

// send runs a request at a process, unless it is refused: a target crashes on the
// crashing part, and beside it another process may have a request at the same target.
func (w *world) send(t *rapid.T) {
	process := w.draw(t)
	request := drawRequest(t)
	if process.table.Check(request) != "" {
		return
	}
	if !slices.Contains(request, crashingTestPart) {
		w.complete(process, request)
		return
	}
	target := run(w.crashes)
	w.crashes++
	w.crash(process, target, request)
	if rapid.Bool().Draw(t, "beside") {
		w.crash(w.draw(t), target, drawRequest(t))
	}
}

func (w *world) crash(p *testProcess, target fleet.Boot, request []string) {
	p.table.RecordCrash(w.now, target, request)
	for _, part := range request {
		if !p.oracle.proven[part] {
			p.oracle.learn(fact{part, target}, false)
		}
	}
}

func (w *world) complete(p *testProcess, request []string) {
	p.table.RecordCompleted(w.now, request)
	for _, part := range request {
		p.oracle.proven[part] = true
		for f := range p.oracle.facts {
			if f.part == part {
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
	to.oracle.merge(from.oracle.facts)
}

func (w *world) write(p *testProcess) {
	w.read(p)
	if !p.table.Missing(w.store.records) {
		return
	}
	w.copies = append(w.copies, w.store)
	w.store = storeCopy{records: p.table.Snapshot(), facts: map[fact]bool{}}
	for f, cleared := range p.oracle.facts {
		w.store.facts[f] = cleared
	}
}

func (w *world) read(p *testProcess) {
	p.table.Merge(w.now, w.store.records)
	p.oracle.merge(w.store.facts)
}

// restart replaces a process by one that knows only what is in the store.
func (w *world) restart(p *testProcess) {
	p.table, p.oracle = New(), newKnowledge()
	w.read(p)
}

// TestTableAgainstOracle compares the tables of a fleet with a simple model while its
// processes crash targets, exchange states, are cut off and restart, and the store is
// restored from older copies.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: testStart, store: storeCopy{facts: map[fact]bool{}}}
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
			"restore": func(t *rapid.T) {
				if len(w.copies) > 0 {
					w.store = rapid.SampledFrom(w.copies).Draw(t, "copy")
				}
			},
			"": w.check,
		})
		w.checkAfterReunion(t)
	})
}

// check compares the verdicts of all processes with those of the oracle.
func (w *world) check(t *rapid.T) {
	request := drawRequest(t)
	for i, p := range w.processes {
		if got, want := p.table.Check(request) != "", p.oracle.refuses(request); got != want {
			t.Fatalf("process %d refuses %v: %t, the oracle: %t, with %v", i, request, got, want, p.oracle.facts)
		}
	}
}

// crashingRequests returns requests with the crashing part, alone and beside parts that are
// seldom used.
func crashingRequests() [][]string {
	return [][]string{
		{"common", "rare-2", crashingTestPart}, {"common", "rare-3", crashingTestPart}, {"common", "other", crashingTestPart}, {crashingTestPart},
	}
}

// checkAfterReunion checks what callers see once all processes are in contact: no part
// that has been in a completed response since is refused alone, and five crashes suffice
// for all processes to refuse all requests with the crashing part. Those that are not
// refused yet come in turn.
func (w *world) checkAfterReunion(t *rapid.T) {
	all := w.processes[0]
	for _, p := range w.processes {
		p.cutOff = false
		all.table.Merge(w.now, p.table.Snapshot())
		all.oracle.merge(p.oracle.facts)
	}
	w.complete(all, []string{"common", "rare-1"})
	crashing := crashingRequests()
	for crashes, n := 0, 0; crashes < maxCrashesAfterReunion && n < maxCrashesAfterReunion*len(crashing); n++ {
		request := crashing[n%len(crashing)]
		if all.table.Check(request) != "" {
			continue
		}
		w.crash(all, run(w.crashes), request)
		w.crashes++
		crashes++
	}
	for i, p := range w.processes {
		w.exchange(all, p)
		if p.table.Check([]string{"common", "rare-1"}) != "" {
			t.Fatalf("process %d refuses sound parts", i)
		}
		for _, request := range crashing {
			if p.table.Check(request) == "" {
				t.Fatalf("process %d does not refuse %v after %d crashes", i, request, w.crashes)
			}
		}
	}
}
