package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestTable(t *testing.T) {
	Convey("Given a table that knows a stream", t, func() {
		table := New()
		key := NewKey("account", "service", "request")
		table.Record(time.Second, key, "v1")
		Convey("it knows its version for some time", func() {
			version, known := table.Version(time.Second+streamTTL, key)
			So(known, ShouldBeTrue)
			So(version, ShouldEqual, "v1")
			_, known = table.Version(time.Second+streamTTL+1, key)
			So(known, ShouldBeFalse)
		})
		Convey("a later record of the same stream changes nothing", func() {
			table.Record(2*time.Second, key, "v2")
			version, _ := table.Version(2*time.Second, key)
			So(version, ShouldEqual, "v1")
		})
		Convey("the same request ID of another account or service is another stream", func() {
			for _, other := range []Key{NewKey("other", "service", "request"), NewKey("account", "other", "request"), NewKey("accounts", "ervice", "request")} {
				_, known := table.Version(time.Second, other)
				So(known, ShouldBeFalse)
			}
		})
		Convey("it forgets the oldest of many streams", func() {
			for n := range maxStreams {
				table.Record(2*time.Second, NewKey("a", "s", fmt.Sprint(n)), "v1")
			}
			_, known := table.Version(2*time.Second, key)
			So(known, ShouldBeFalse)
			So(table.streams.Len(), ShouldEqual, maxStreams)
		})
	})
}

// testStream is a stream that a caller may resume.
type testStream struct {
	key     Key
	version string
	// told holds the processes that have been told of it and have run since.
	told map[string]bool
}

// testFleet is a fleet of processes, of which each knows a part of the others.
type testFleet struct {
	now     time.Duration
	members []string
	tables  map[string]*Table
	// lists holds what each process believes of the members, and cut those that exchange no
	// messages.
	lists   map[string][]string
	cut     map[string]bool
	streams []*testStream
	joined  int
}

func (f *testFleet) draw(t *rapid.T) string {
	return rapid.SampledFrom(f.members).Draw(t, "process")
}

// begin begins a stream at a process, which tells the witnesses.
func (f *testFleet) begin(t *rapid.T) {
	process := f.draw(t)
	stream := &testStream{
		key: NewKey("a", "s", fmt.Sprint(len(f.streams))), version: rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version"), told: map[string]bool{},
	}
	f.streams = append(f.streams, stream)
	f.tell(process, process, stream)
	for _, witness := range Witnesses(stream.key, f.lists[process]) {
		f.tell(process, witness, stream)
	}
}

func (f *testFleet) tell(from, to string, stream *testStream) {
	if table, runs := f.tables[to]; runs && (from == to || !f.cut[from] && !f.cut[to]) {
		table.Record(f.now, stream.key, stream.version)
		stream.told[to] = true
	}
}

// resume asks the witnesses of a stream, and compares the answer with the stream's version.
// If the witnesses that were told are among those that are asked, the version is found.
func (f *testFleet) resume(t *rapid.T) {
	if len(f.streams) == 0 {
		return
	}
	process, stream := f.draw(t), rapid.SampledFrom(f.streams).Draw(t, "stream")
	asked := append([]string{process}, Witnesses(stream.key, f.lists[process])...)
	canKnow := false
	for _, other := range asked {
		table, runs := f.tables[other]
		if !runs || (other != process && (f.cut[other] || f.cut[process])) {
			continue
		}
		version, known := table.Version(f.now, stream.key)
		if known && version != stream.version {
			t.Fatalf("%s names version %q of a stream of version %q", other, version, stream.version)
		}
		canKnow = canKnow || known
		if stream.told[other] && !known {
			t.Fatalf("%s has forgotten a stream", other)
		}
	}
	agrees := slices.Equal(sorted(f.lists[process]), sorted(f.members))
	if agrees && !f.cut[process] && f.hasWitness(stream) && !canKnow {
		t.Fatalf("no asked process knows a stream that %v were told of", stream.told)
	}
}

// hasWitness reports whether one of the stream's witnesses among all members knows it and
// exchanges messages.
func (f *testFleet) hasWitness(stream *testStream) bool {
	return slices.ContainsFunc(Witnesses(stream.key, f.members), func(member string) bool {
		return stream.told[member] && !f.cut[member]
	})
}

func sorted(list []string) []string { return slices.Sorted(slices.Values(list)) }

// restart replaces a process by one that knows nothing.
func (f *testFleet) restart(process string) {
	f.tables[process] = New()
	f.lists[process] = slices.Clone(f.members)
	for _, stream := range f.streams {
		delete(stream.told, process)
	}
}

func (f *testFleet) join() {
	f.joined++
	process := fmt.Sprint("joined-", f.joined)
	f.members = append(f.members, process)
	f.restart(process)
}

// TestOriginsOverFleet checks that a process never learns a wrong version of a stream, and
// learns the right one if a witness has it, while processes restart, join, are cut off and
// list different members.
func TestOriginsOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{tables: map[string]*Table{}, lists: map[string][]string{}, cut: map[string]bool{}}
		for n := range rapid.SampledFrom([]int{1, 2, 4, 24, 103}).Draw(t, "processes") {
			f.members = append(f.members, fmt.Sprint("vm-", n))
		}
		for _, member := range f.members {
			f.restart(member)
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":   f.begin,
			"resume":  f.resume,
			"restart": func(t *rapid.T) { f.restart(f.draw(t)) },
			"join":    func(*rapid.T) { f.join() },
			"cut":     func(t *rapid.T) { p := f.draw(t); f.cut[p] = !f.cut[p] },
			"list":    func(t *rapid.T) { f.lists[f.draw(t)] = slices.Clone(f.members) },
			"wait":    func(*rapid.T) { f.now += time.Second },
		})
	})
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
