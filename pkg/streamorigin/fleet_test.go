package streamorigin

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	// testHold is the longest time for which a caller holds a stream.
	testHold = 24 * time.Second
	// testStale is the longest time for which a process that is out of touch uses what it
	// knows, and testRetention the retention that follows.
	testStale     = 30 * time.Second
	testRetention = testHold + testStale
)

// testStream is a stream that a caller may resume.
type testStream struct {
	key     Key
	version string
	begunAt time.Duration
	// told holds the processes that have been told of it and have run since.
	told map[string]bool
}

// testProcess is a process with its view of the store, the registry and the other processes.
type testProcess struct {
	name string
	// boot tells the runs of a process apart.
	boot     string
	table    *Table
	versions *Versions
	members  []string
	// cut is set while it doesn't reach the store, and alone while it exchanges no messages.
	// A paused process is both.
	cut, alone bool
	// witnessed is set once it has told the witnesses of all streams.
	witnessed bool
	// freshAt is the time at which it last read the record and the registry.
	freshAt time.Duration
}

// testStore is the store with the record and the registry.
type testStore struct {
	record   *Record
	revision uint64
	era      uint64
	listed   map[Software]bool
}

// testMessage tells a process of a stream.
type testMessage struct {
	to     string
	stream *testStream
}

// testFleet is a fleet of processes that restart, are cut off, and know a part of what happens.
type testFleet struct {
	now       time.Duration
	store     testStore
	copies    []testStore
	processes map[string]*testProcess
	streams   []*testStream
	inFlight  []testMessage
	started   int
}

const testService = "s"

func testSoftware(version string) Software { return Software{Service: testService, Version: version} }

func (f *testFleet) names() []string { return slices.Sorted(maps.Keys(f.processes)) }

func (f *testFleet) draw(t *rapid.T) *testProcess {
	if len(f.processes) == 0 {
		t.Skip("no process")
	}
	return f.processes[rapid.SampledFrom(f.names()).Draw(t, "process")]
}

// start starts a process, which reads the record and the registry before it is ready.
func (f *testFleet) start(firstStart bool) {
	f.startAs(fmt.Sprint("vm-", f.started+1), firstStart)
}

// startAs starts a process with a name.
func (f *testFleet) startAs(name string, firstStart bool) {
	f.started++
	p := &testProcess{name: name, boot: fmt.Sprint("boot-", f.started), table: New(), versions: NewVersions(f.now, firstStart)}
	p.table.SetHoldTime(testHold)
	f.processes[p.name] = p
	f.read(p)
	f.write(p)
}

// read makes a process read the store, unless it is cut off.
func (f *testFleet) read(p *testProcess) {
	if p.cut {
		return
	}
	p.freshAt = f.now
	p.members = f.names()
	f.sendTells(p, p.table.SetMembers(f.now, p.name, f.runs(p.name)))
	p.versions.SetListed(f.now, maps.Clone(f.store.listed))
	p.versions.SetStored(f.now, f.store.record, f.store.revision, f.store.era)
	f.tellUntold(p)
}

// tellUntold sends messages about the streams whose witnesses have to know them now.
func (f *testFleet) tellUntold(p *testProcess) {
	needed := p.versions.NeedsWitnesses(testService)
	if needed && !p.witnessed {
		for _, origin := range p.table.TakeUntold(f.now, testService) {
			f.tell(p, f.stream(origin.Key))
		}
	}
	p.witnessed = needed
}

func (f *testFleet) stream(key Key) *testStream {
	return f.streams[slices.IndexFunc(f.streams, func(s *testStream) bool { return s.key == key })]
}

// runs returns the runs of all processes but one.
func (f *testFleet) runs(but string) map[string]string {
	runs := map[string]string{}
	for name, p := range f.processes {
		if name != but {
			runs[name] = p.boot
		}
	}
	return runs
}

// sendTells sends messages about streams.
func (f *testFleet) sendTells(p *testProcess, tells []Tell) {
	for _, tell := range tells {
		for _, origin := range tell.Origins {
			if !p.alone {
				f.inFlight = append(f.inFlight, testMessage{tell.Process, f.stream(origin.Key)})
			}
		}
	}
}

func (f *testFleet) tell(p *testProcess, s *testStream) {
	others := slices.DeleteFunc(slices.Clone(p.members), func(name string) bool { return name == p.name })
	for _, witness := range Witnesses(s.key, others) {
		if !p.alone {
			f.inFlight = append(f.inFlight, testMessage{witness, s})
		}
	}
}

// write makes a process write the record that should be there.
func (f *testFleet) write(p *testProcess) {
	next, differs := p.versions.Next(f.now, testRetention)
	_, revision := p.versions.Stored()
	if !differs || p.cut || p.versions.era != f.store.era || revision != f.store.revision {
		return
	}
	f.store.record, f.store.revision = &next, f.store.revision+1
	p.versions.SetStored(f.now, &next, f.store.revision, f.store.era)
	f.tellUntold(p)
}

// begin begins a stream at a version that a process may use. Targets that have left the registry
// still serve for some time.
func (f *testFleet) begin(t *rapid.T) {
	p := f.draw(t)
	active := p.versions.Active(testService)
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(active)), func(version string) bool { return !p.versions.listed[testSoftware(version)] })
	if len(candidates) == 0 || f.now-p.freshAt > testStale {
		t.Skip("no version may begin a stream")
	}
	stream := &testStream{
		key: NewKey("a", testService, fmt.Sprint(len(f.streams))), begunAt: f.now, told: map[string]bool{},
		version: rapid.SampledFrom(candidates).Draw(t, "version"),
	}
	f.streams = append(f.streams, stream)
	f.know(p, stream)
}

// know records a stream at the process that has begun or resumed it.
func (f *testFleet) know(p *testProcess, s *testStream) {
	p.table.Begin(f.now, s.key, testSoftware(s.version))
	p.versions.RecordUse(f.now, testSoftware(s.version))
	s.told[p.name] = true
	if p.versions.NeedsWitnesses(testService) && p.table.SetTold(f.now, s.key) {
		f.tell(p, s)
	}
}

// deliver delivers a message or loses it.
func (f *testFleet) deliver(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	m := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		f.receive(m)
	}
}

// receive lets a process receive a message, if it runs and is reached.
func (f *testFleet) receive(m testMessage) {
	p, runs := f.processes[m.to]
	if !runs || p.alone {
		return
	}
	p.table.Record(f.now, Origin{Key: m.stream.key, Version: m.stream.version, Age: f.now - m.stream.begunAt})
	m.stream.told[p.name] = true
}

// resume resumes a stream at a process, and compares what it finds with the truth.
func (f *testFleet) resume(t *rapid.T) {
	if len(f.streams) == 0 {
		t.Skip("no stream")
	}
	p, s := f.draw(t), rapid.SampledFrom(f.streams).Draw(t, "stream")
	if f.now-s.begunAt > testHold {
		return
	}
	could := f.couldFind(p, s)
	version, known := f.find(p, s)
	if known && version != s.version {
		t.Fatalf("%s goes on with %q of a stream that %q began", p.name, version, s.version)
	}
	if !known && could {
		t.Fatalf("%s refuses a stream that %v know; record %+v", p.name, s.told, f.store.record)
	}
	if known {
		f.know(p, s)
	}
}

// find finds the version that began a stream as a process does.
func (f *testFleet) find(p *testProcess, s *testStream) (version string, known bool) {
	if version, known := p.table.Version(f.now, s.key); known {
		return version, true
	}
	asked := f.asked(p, s)
	for _, other := range asked {
		if version, known := other.table.Version(f.now, s.key); known {
			return version, true
		}
	}
	for _, reader := range append([]*testProcess{p}, asked...) {
		if !reader.cut && f.store.record != nil {
			f.read(reader)
			return f.store.record.OnlyVersion(f.store.era, testService)
		}
	}
	return "", false
}

// asked returns the processes that a process asks about a stream, and that answer.
func (f *testFleet) asked(p *testProcess, s *testStream) []*testProcess {
	var asked []*testProcess
	for _, name := range Candidates(s.key, p.members) {
		if other, runs := f.processes[name]; runs && other != p && !other.alone && !p.alone {
			asked = append(asked, other)
		}
	}
	return asked
}

// couldFind reports whether a process in touch can know where a stream began: it lists all
// processes, and one of the witnesses among them knows it, or all versions ever recorded are one.
func (f *testFleet) couldFind(p *testProcess, s *testStream) bool {
	if p.cut || p.alone {
		return false
	}
	if !slices.Equal(p.members, f.names()) {
		return false
	}
	for _, witness := range Candidates(s.key, f.names()) {
		if s.told[witness] && !f.processes[witness].alone {
			return true
		}
	}
	record := f.store.record
	return record != nil && record.IsComplete(f.store.era) && len(record.Services[testService]) == 1
}

// kill ends a process; what it knew is gone.
func (f *testFleet) kill(name string) {
	delete(f.processes, name)
	for _, stream := range f.streams {
		delete(stream.told, name)
	}
}

// stop ends a process as planned, which hands over what it knows.
func (f *testFleet) stop(name string) {
	p := f.processes[name]
	f.sendTells(p, p.table.HandOver(f.now))
	f.kill(name)
}

// restore takes the store back to an older copy. Targets write their entries again.
func (f *testFleet) restore(t *rapid.T) {
	if len(f.copies) == 0 {
		t.Skip("no copy")
	}
	old := rapid.SampledFrom(f.copies).Draw(t, "copy")
	listed := f.store.listed
	f.store = testStore{record: old.record, revision: old.revision, era: f.store.era + 1, listed: listed}
}

// TestOriginsOverFleet checks that no process continues a stream at another software version than
// the one that began it, and continues it where a process in touch can know that version, while
// processes start, are killed, also all together, and are cut off from the store, from each other
// or from both, silently; while versions come, go and come back, messages are lost and late, and the
// store goes back to an older copy. A process that is cut off uses what it knows for testStale.
func TestOriginsOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{processes: map[string]*testProcess{}, store: testStore{revision: 0, era: 1, listed: map[Software]bool{testSoftware("v1"): true}}}
		for range rapid.SampledFrom([]int{1, 2, 4, 24, 103}).Draw(t, "processes") {
			f.start(true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":   f.begin,
			"begin 2": f.begin,
			"resume":  f.resume,
			"deliver": f.deliver,
			"read":    func(t *rapid.T) { f.read(f.draw(t)) },
			"write":   func(t *rapid.T) { f.write(f.draw(t)) },
			"all read and write": func(*rapid.T) {
				for _, name := range f.names() {
					f.read(f.processes[name])
					f.write(f.processes[name])
				}
			},
			"start": func(*rapid.T) { f.start(false) },
			"kill":  func(t *rapid.T) { f.kill(f.draw(t).name) },
			"stop":  func(t *rapid.T) { f.stop(f.draw(t).name) },
			"restart": func(t *rapid.T) {
				name := f.draw(t).name
				f.kill(name)
				f.startAs(name, false)
			},
			"repeat":     func(t *rapid.T) { p := f.draw(t); f.sendTells(p, p.table.Repeat(f.now)) },
			"kill all":   func(*rapid.T) { f.killAll() },
			"cut":        func(t *rapid.T) { p := f.draw(t); p.cut = !p.cut },
			"alone":      func(t *rapid.T) { p := f.draw(t); p.alone = !p.alone },
			"pause":      func(t *rapid.T) { p := f.draw(t); p.cut, p.alone = true, true },
			"appear":     func(t *rapid.T) { f.store.listed[f.drawSoftware(t)] = true },
			"leave":      func(t *rapid.T) { delete(f.store.listed, f.drawSoftware(t)) },
			"copy":       func(*rapid.T) { f.copies = append(f.copies, f.store) },
			"restore":    f.restore,
			"wait":       func(*rapid.T) { f.now += time.Second },
			"wait long":  func(*rapid.T) { f.now += testHold / 2 },
			"wait a lot": func(*rapid.T) { f.now += testRetention },
		})
	})
}

func (f *testFleet) drawSoftware(t *rapid.T) Software {
	return testSoftware(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
}

func (f *testFleet) killAll() {
	count := len(f.processes)
	for _, name := range f.names() {
		f.kill(name)
	}
	for range count {
		f.start(false)
	}
}
func TestWitnesses(t *testing.T) {
	Convey("Given the members of a large fleet", t, func() {
		var members []string
		for n := range 103 {
			members = append(members, fmt.Sprint("vm-", n))
		}
		counts := map[string]int{}
		moved := 0
		const streams = 3000
		for n := range streams {
			key := NewKey("a", "s", fmt.Sprint(n))
			witnesses := Witnesses(key, members)
			So(witnesses, ShouldHaveLength, witnessCount)
			for _, witness := range witnesses {
				counts[witness]++
			}
			if !slices.Equal(witnesses, Witnesses(key, members[1:])) {
				moved++
			}
		}
		Convey("each has its share of the streams", func() {
			for _, count := range counts {
				So(count, ShouldBeBetween, streams*witnessCount/len(members)/2, streams*witnessCount/len(members)*2)
			}
		})
		Convey("a member that is gone changes only the witnesses of its own streams", func() {
			So(moved, ShouldEqual, counts[members[0]])
		})
		Convey("their order doesn't matter", func() {
			slices.Reverse(members)
			So(Witnesses(NewKey("a", "s", "1"), members), ShouldResemble, Witnesses(NewKey("a", "s", "1"), sorted(members)))
		})
	})
}

func sorted(list []string) []string { return slices.Sorted(slices.Values(list)) }

// settle lets all processes read the lists of the store, and receive all messages.
func (f *testFleet) settle() {
	for _, name := range f.names() {
		f.read(f.processes[name])
		f.write(f.processes[name])
	}
	for len(f.inFlight) > 0 {
		messages := f.inFlight
		f.inFlight = nil
		for _, m := range messages {
			f.receive(m)
		}
	}
}

// checkAllFound checks that each process goes on with each stream that callers may hold.
func (f *testFleet) checkAllFound(t *rapid.T) {
	for _, s := range f.streams {
		if f.now-s.begunAt > testHold {
			continue
		}
		for _, name := range f.names() {
			if version, known := f.find(f.processes[name], s); !known || version != s.version {
				t.Fatalf("%s finds %q, %t of a stream that %s began %v ago; %v know it", name, version, known, s.version, f.now-s.begunAt, s.told)
			}
		}
	}
}

// TestOriginsOverCalmRestarts checks that all processes know where streams began, or can ask for it, after
// any series of starts, stops, kills and restarts of single processes, each of which all others notice
// before the next one, and after which no message is lost.
func TestOriginsOverCalmRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{processes: map[string]*testProcess{}, store: testStore{era: 1, listed: map[Software]bool{testSoftware("v1"): true, testSoftware("v2"): true}}}
		for range rapid.SampledFrom([]int{1, 2, 3, 5, 24, 103}).Draw(t, "processes") {
			f.start(true)
		}
		f.settle()
		f.settle()
		ending := func(end func(name string)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(f.processes) < 2 {
					t.Skip("the only process")
				}
				end(f.draw(t).name)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": f.begin,
			"start": func(*rapid.T) { f.start(false) },
			"stop":  ending(f.stop),
			"kill":  ending(f.kill),
			"restart": ending(func(name string) {
				f.kill(name)
				f.startAs(name, false)
			}),
			"wait":      func(*rapid.T) { f.now += time.Second },
			"wait long": func(*rapid.T) { f.now += testHold / 2 },
			"": func(t *rapid.T) {
				f.settle()
				f.checkAllFound(t)
			},
		})
	})
}
