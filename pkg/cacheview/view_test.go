package cacheview

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

type oracleKey struct {
	version string
	hash    uint64
}

// oracleEngine is the true cache of an engine: least recently used first. It
// keeps its state after each event of each boot.
type oracleEngine struct {
	boot   uint64
	total  int
	cache  []oracleKey
	log    map[uint64][]engine.CacheEvent
	states map[uint64][][]oracleKey
}

func newOracle(total int) *oracleEngine {
	o := &oracleEngine{total: total, log: map[uint64][]engine.CacheEvent{}, states: map[uint64][][]oracleKey{}}
	o.crash()
	return o
}

func (o *oracleEngine) crash() {
	o.boot++
	o.cache = nil
	o.states[o.boot] = [][]oracleKey{nil}
}

// use makes a block the most recently used one, stored if need be.
func (o *oracleEngine) use(key oracleKey) {
	if at := slices.Index(o.cache, key); at >= 0 {
		o.cache = append(slices.Delete(slices.Clone(o.cache), at, at+1), key)
		return
	}
	event := engine.CacheEvent{WeightsVersion: key.version, Stored: []uint64{key.hash}}
	cache := slices.Clone(o.cache)
	if len(cache) == o.total {
		oldest := cache[0]
		cache = cache[1:]
		if oldest.version == key.version {
			event.Evicted = []uint64{oldest.hash}
		} else {
			o.append(cache, engine.CacheEvent{WeightsVersion: oldest.version, Evicted: []uint64{oldest.hash}})
		}
	}
	o.append(append(cache, key), event)
}

func (o *oracleEngine) append(cache []oracleKey, event engine.CacheEvent) {
	event.Boot, event.Seq = o.boot, uint64(len(o.log[o.boot]))+1
	o.log[o.boot] = append(o.log[o.boot], event)
	o.cache = cache
	o.states[o.boot] = append(o.states[o.boot], cache)
}

// request is one dispatch with what is left to do of it.
type request struct {
	version string
	hashes  []uint64
	boot    uint64
	mark    Dispatch
	ran     bool
}

// machine drives a view and the oracle with the same inputs.
type machine struct {
	t        *rapid.T
	o        *oracleEngine
	v        *View
	now      time.Time
	requests []*request
	// completed are the requests whose answers came whole.
	completed []*request
	// cursor is the next event to deliver of each boot; lost the lost ones.
	cursor  map[uint64]int
	lost    map[uint64]map[uint64]bool
	reports []engine.LoadReport
	roomy   bool
}

func (m *machine) anyIndex(n int) int {
	if n == 0 {
		m.t.Skip("nothing there")
	}
	return rapid.IntRange(0, n-1).Draw(m.t, "index")
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"dispatch": func(t *rapid.T) {
			m.t = t
			r := &request{
				version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				hashes:  rapid.SliceOfNDistinct(rapid.Uint64Range(1, 7), 1, 3, rapid.ID).Draw(t, "hashes"),
				boot:    m.o.boot,
			}
			r.mark = m.v.RecordDispatch(m.now, r.hashes, r.version)
			m.requests = append(m.requests, r)
		},
		"run": func(t *rapid.T) {
			m.t = t
			r := m.requests[m.anyIndex(len(m.requests))]
			if r.boot != m.o.boot || r.ran {
				t.Skip("can't run")
			}
			for _, hash := range r.hashes {
				m.o.use(oracleKey{r.version, hash})
			}
			r.ran = true
		},
		"complete": func(t *rapid.T) {
			m.t = t
			at := m.anyIndex(len(m.requests))
			r := m.requests[at]
			if !r.ran {
				t.Skip("has not run")
			}
			m.v.RecordCompletion(m.now, r.mark, r.hashes, r.version)
			m.requests = slices.Delete(m.requests, at, at+1)
			m.completed = append(m.completed, r)
		},
		"deliver": func(t *rapid.T) { m.t = t; m.deliver(m.o.boot, false) },
		"lose":    func(t *rapid.T) { m.t = t; m.deliver(m.o.boot, true) },
		"deliver late": func(t *rapid.T) {
			m.t = t
			m.deliver(rapid.Uint64Range(1, m.o.boot).Draw(t, "boot"), false)
		},
		// A repeated event may be one that seemed lost and was only late.
		"repeat": func(t *rapid.T) {
			m.t = t
			passed := m.cursor[m.o.boot]
			event := m.o.log[m.o.boot][m.anyIndex(passed)]
			if m.v.ApplyEvent(m.now, event) != Ignored {
				delete(m.lost[m.o.boot], event.Seq)
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
				t.Skip("not now")
			}
			m.o.crash()
		},
		"note report": func(*rapid.T) {
			report := engine.LoadReport{Boot: m.o.boot, TotalBlocks: m.o.total}
			if m.roomy {
				report.TotalBlocks = 1000
			}
			m.reports = append(m.reports, report)
		},
		"report": func(t *rapid.T) { m.t = t; m.v.ApplyReport(m.reports[m.anyIndex(len(m.reports))]) },
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"": m.check,
	}
}

// deliver hands the next event of a boot to the view, or loses it.
func (m *machine) deliver(boot uint64, lose bool) {
	at := m.cursor[boot]
	if at == len(m.o.log[boot]) {
		m.t.Skip("nothing to deliver")
	}
	m.cursor[boot]++
	event := m.o.log[boot][at]
	if !lose {
		m.v.ApplyEvent(m.now, event)
		return
	}
	if m.lost[boot] == nil {
		m.lost[boot] = map[uint64]bool{}
	}
	m.lost[boot][event.Seq] = true
}

// check holds the view's property: a claimed block was in the true cache of
// the view's boot and weights version at some point of the log, every later
// event up to the view's position that evicted it is lost, and the block's
// doubt is at least the number of lost events after that point. Only a
// completed answer may have proved a block of a newer boot; none is of an older.
func (m *machine) check(t *rapid.T) {
	boot, position := m.v.Position()
	for _, version := range []string{"v1", "v2", "v3"} {
		for hash := uint64(1); hash <= 7; hash++ {
			claimed := m.v.CachedPrefix([]uint64{hash}, version) == 1
			key := oracleKey{version, hash}
			if claimed && !m.justified(boot, position, key) && !m.answeredSince(boot, key) {
				t.Fatalf("claims %v at %d/%d without ground", key, boot, position)
			}
			current := boot == m.o.boot && len(m.lost[boot]) == 0 && int(position) == len(m.o.log[boot])
			if m.roomy && current && !claimed && slices.Contains(m.o.cache, key) {
				t.Fatalf("knows every event and doesn't claim %v", key)
			}
		}
	}
}

func (m *machine) justified(boot, position uint64, key oracleKey) bool {
	doubt, ok := m.v.Doubt(key.hash, key.version)
	states := m.o.states[boot]
	lost := 0
	for p := len(states) - 1; ok && p >= 0; p-- {
		if p < int(position) && m.lost[boot][uint64(p)+1] {
			lost++
		}
		if lost > doubt {
			return false
		}
		if slices.Contains(states[p], key) {
			return true
		}
		evicts := p < len(m.o.log[boot]) && m.o.log[boot][p].WeightsVersion == key.version &&
			slices.Contains(m.o.log[boot][p].Evicted, key.hash)
		if evicts && p < int(position) && !m.lost[boot][uint64(p)+1] {
			return false
		}
	}
	return false
}

// answeredSince says whether a completed request of a newer boot used a block.
func (m *machine) answeredSince(boot uint64, key oracleKey) bool {
	return slices.ContainsFunc(m.completed, func(r *request) bool {
		return r.boot > boot && r.mark.boot == boot && r.version == key.version && slices.Contains(r.hashes, key.hash)
	})
}

func TestViewAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		cfg := DefaultConfig()
		cfg.MinSurvival = rapid.SampledFrom([]float64{0.01, 0.5, 0.9}).Draw(t, "survival")
		m := &machine{
			t: t, now: now, o: newOracle(rapid.IntRange(3, 6).Draw(t, "total")), v: New(cfg, now),
			cursor: map[uint64]int{}, lost: map[uint64]map[uint64]bool{},
			roomy: rapid.Bool().Draw(t, "roomy"),
		}
		t.Repeat(m.actions())
	})
}

func TestView(t *testing.T) {
	now := time.Unix(1000, 0)
	stored := func(boot, seq uint64, hashes ...uint64) engine.CacheEvent {
		return engine.CacheEvent{Boot: boot, Seq: seq, WeightsVersion: "v1", Stored: hashes}
	}
	Convey("Given a view of four blocks", t, func() {
		cfg := DefaultConfig()
		cfg.MinSurvival = 0.9
		v := New(cfg, now)
		So(v.ApplyEvent(now, stored(5, 1, 1, 2, 3, 4)), ShouldEqual, Emptied)
		chain := []uint64{1, 2, 3, 4, 5}
		So(v.CachedPrefix(chain, "v1"), ShouldEqual, 4)
		So(v.CachedPrefix(chain, "v2"), ShouldEqual, 0)
		Convey("Nothing is claimed while suspended, until the same boot is heard of", func() {
			v.Suspend()
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, engine.CacheEvent{Boot: 5}), ShouldEqual, Heartbeat)
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 4)
		})
		Convey("A report or heartbeat of a new boot empties it; an old boot's event changes nothing", func() {
			v.ApplyReport(engine.LoadReport{Boot: 6, TotalBlocks: 10})
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, stored(5, 2, 1)), ShouldEqual, Ignored)
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, engine.CacheEvent{Boot: 7}), ShouldEqual, Emptied)
		})
		Convey("Dispatched blocks are expected, not claimed, and forgotten in time", func() {
			v.RecordDispatch(now, chain, "v1")
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 4)
			So(v.ExpectedPrefix(now, chain, "v1"), ShouldEqual, 5)
			So(v.ExpectedPrefix(now.Add(time.Minute), chain, "v1"), ShouldEqual, 4)
		})
		Convey("A completed answer proves its blocks, also those whose Stored event was lost", func() {
			mark := v.RecordDispatch(now, chain, "v1")
			So(v.ApplyEvent(now, stored(5, 3, 9)), ShouldEqual, AfterGap)
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 0)
			v.RecordCompletion(now, mark, chain, "v1")
			doubt, ok := v.Doubt(5, "v1")
			So(ok, ShouldBeTrue)
			So(doubt, ShouldEqual, 1)
			mark = v.RecordDispatch(now, chain, "v1")
			v.RecordCompletion(now, mark, chain, "v1")
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 5)
		})
		Convey("A late completion doesn't take back a block that was evicted and dispatched again", func() {
			mark := v.RecordDispatch(now, chain, "v1")
			v.ApplyEvent(now, stored(5, 2, 5))
			v.ApplyEvent(now, engine.CacheEvent{Boot: 5, Seq: 3, WeightsVersion: "v1", Evicted: []uint64{5}})
			v.RecordCompletion(now, mark, chain, "v1")
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 4)
			v.RecordDispatch(now, chain, "v1")
			v.RecordCompletion(now, mark, chain, "v1")
			So(v.CachedPrefix(chain, "v1"), ShouldEqual, 4)
		})
		Convey("The size stays within the engine's", func() {
			v.ApplyReport(engine.LoadReport{Boot: 5, TotalBlocks: 100})
			for i := range uint64(1000) {
				v.ApplyEvent(now.Add(time.Duration(i)*time.Second), stored(5, 2+2*i, 100+i))
			}
			So(v.Counts().Blocks, ShouldBeLessThanOrEqualTo, 106)
			So(v.CachedPrefix([]uint64{1099}, "v1"), ShouldEqual, 1)
		})
	})
	Convey("One lost event in a large cache keeps blocks used after the last eviction seen, and drops older ones", t, func() {
		v := New(DefaultConfig(), now)
		old, recent := []uint64{1, 2, 3}, make([]uint64, 0, 1000)
		for i := range uint64(1000) {
			recent = append(recent, 100+i)
		}
		v.ApplyEvent(now, stored(5, 1, old...))
		v.ApplyEvent(now.Add(time.Second), stored(5, 2, recent...))
		v.ApplyEvent(now.Add(2*time.Second), engine.CacheEvent{Boot: 5, Seq: 4, WeightsVersion: "v1", Evicted: []uint64{1}})
		So(v.CachedPrefix([]uint64{2}, "v1"), ShouldEqual, 0)
		So(v.CachedPrefix(recent, "v1"), ShouldEqual, 1000)
	})
	Convey("The eviction rate decays", t, func() {
		v := New(DefaultConfig(), now)
		for i := range uint64(200) {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond * 5)
			v.ApplyEvent(at, engine.CacheEvent{Boot: 1, Seq: i + 1, Evicted: []uint64{i, 1000 + i}})
		}
		end := now.Add(100 * time.Second)
		So(v.EvictionRate(end), ShouldBeBetween, 3, 5)
		So(v.EvictionRate(end.Add(time.Minute)), ShouldBeLessThan, 0.1)
	})
}
