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

// oracleEngine models an engine's least-recently-used cache, oldest block first.
// It records the cache contents after each event of each boot.
type oracleEngine struct {
	boot       uint64
	capacity   int
	cache      []oracleKey
	log        map[uint64][]engine.CacheEvent
	cacheAfter map[uint64][][]oracleKey
}

func newOracle(capacity int) *oracleEngine {
	o := &oracleEngine{capacity: capacity, log: map[uint64][]engine.CacheEvent{}, cacheAfter: map[uint64][][]oracleKey{}}
	o.crash()
	return o
}

func (o *oracleEngine) crash() {
	o.boot++
	o.cache = nil
	o.cacheAfter[o.boot] = [][]oracleKey{nil}
}

// use makes a block the most recently used one and stores it if it isn't cached.
func (o *oracleEngine) use(key oracleKey) {
	if at := slices.Index(o.cache, key); at >= 0 {
		o.cache = append(slices.Delete(slices.Clone(o.cache), at, at+1), key)
		return
	}
	event := engine.CacheEvent{WeightsVersion: key.version, Stored: []uint64{key.hash}}
	cache := slices.Clone(o.cache)
	if len(cache) == o.capacity {
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
	event.BootID, event.Seq = o.boot, uint64(len(o.log[o.boot]))+1
	o.log[o.boot] = append(o.log[o.boot], event)
	o.cache = cache
	o.cacheAfter[o.boot] = append(o.cacheAfter[o.boot], cache)
}

// request is one dispatched request and its progress.
type request struct {
	version  string
	hashes   []uint64
	boot     uint64
	dispatch Dispatch
	executed bool
}

// viewMachine is a rapid state machine that drives a view and the oracle with the
// same inputs.
type viewMachine struct {
	t        *rapid.T
	oracle   *oracleEngine
	view     *View
	now      time.Time
	requests []*request
	// completed holds the requests whose answers were complete.
	completed []*request
	// cursor is the index of each boot's next event to deliver; lost holds the
	// sequence numbers of its lost events.
	cursor  map[uint64]int
	lost    map[uint64]map[uint64]bool
	reports []engine.LoadReport
	// oversizedReports makes the load reports state a cache so large that its size
	// does not limit the view.
	oversizedReports bool
}

func (m *viewMachine) drawIndex(n int) int {
	if n == 0 {
		m.t.Skip("no element to draw")
	}
	return rapid.IntRange(0, n-1).Draw(m.t, "index")
}

func (m *viewMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"dispatch": func(t *rapid.T) {
			m.t = t
			r := &request{
				version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				hashes:  rapid.SliceOfNDistinct(rapid.Uint64Range(1, 7), 1, 3, rapid.ID).Draw(t, "hashes"),
				boot:    m.oracle.boot,
			}
			r.dispatch = m.view.RecordDispatch(m.now, r.hashes, r.version)
			m.requests = append(m.requests, r)
		},
		"run": func(t *rapid.T) {
			m.t = t
			r := m.requests[m.drawIndex(len(m.requests))]
			if r.boot != m.oracle.boot || r.executed {
				t.Skip("the request has run or its engine has restarted")
			}
			for _, hash := range r.hashes {
				m.oracle.use(oracleKey{r.version, hash})
			}
			r.executed = true
		},
		"complete": func(t *rapid.T) {
			m.t = t
			at := m.drawIndex(len(m.requests))
			r := m.requests[at]
			if !r.executed {
				t.Skip("the request has not run")
			}
			m.view.RecordCompletion(m.now, r.dispatch, r.hashes, r.version)
			m.requests = slices.Delete(m.requests, at, at+1)
			m.completed = append(m.completed, r)
		},
		"deliver": func(t *rapid.T) { m.t = t; m.deliver(m.oracle.boot, false) },
		"lose":    func(t *rapid.T) { m.t = t; m.deliver(m.oracle.boot, true) },
		"deliver late": func(t *rapid.T) {
			m.t = t
			m.deliver(rapid.Uint64Range(1, m.oracle.boot).Draw(t, "boot"), false)
		},
		// A repeated event may have been counted as lost although it was only late.
		"repeat": func(t *rapid.T) {
			m.t = t
			delivered := m.cursor[m.oracle.boot]
			event := m.oracle.log[m.oracle.boot][m.drawIndex(delivered)]
			if m.view.ApplyEvent(m.now, event) != Ignored {
				delete(m.lost[m.oracle.boot], event.Seq)
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "one in six") > 0 {
				t.Skip("crashes are rare")
			}
			m.oracle.crash()
		},
		"queue report": func(*rapid.T) {
			report := engine.LoadReport{BootID: m.oracle.boot, TotalBlocks: m.oracle.capacity}
			if m.oversizedReports {
				report.TotalBlocks = 1000
			}
			m.reports = append(m.reports, report)
		},
		"report": func(t *rapid.T) { m.t = t; m.view.ApplyReport(m.reports[m.drawIndex(len(m.reports))]) },
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"": m.checkReportedBlocks,
	}
}

// deliver applies the next event of a boot to the view, or records it as lost.
func (m *viewMachine) deliver(boot uint64, lose bool) {
	at := m.cursor[boot]
	if at == len(m.oracle.log[boot]) {
		m.t.Skip("all events are delivered")
	}
	m.cursor[boot]++
	event := m.oracle.log[boot][at]
	if !lose {
		m.view.ApplyEvent(m.now, event)
		return
	}
	if m.lost[boot] == nil {
		m.lost[boot] = map[uint64]bool{}
	}
	m.lost[boot][event.Seq] = true
}

// checkReportedBlocks checks the view's invariant. A block that is reported as
// cached was in the oracle's cache for the view's boot and weights version at
// some point in the log; every later event up to the view's position that
// evicted it was lost; and LostSinceConfirmed is at least the number of events
// lost after that point. The only exception is a block that a completed request
// of a newer boot confirmed; no block of an older boot is reported. If the load
// reports are oversized and the view has seen every event, it reports every
// cached block.
func (m *viewMachine) checkReportedBlocks(t *rapid.T) {
	boot, position := m.view.Position()
	for _, version := range []string{"v1", "v2", "v3"} {
		for hash := uint64(1); hash <= 7; hash++ {
			reported := m.view.CachedPrefix([]uint64{hash}, version) == 1
			key := oracleKey{version, hash}
			if reported && !m.supportedByLog(boot, position, key) && !m.confirmedByNewerBoot(boot, key) {
				t.Fatalf("block %v is reported as cached at boot %d, event %d without a confirmation", key, boot, position)
			}
			current := boot == m.oracle.boot && len(m.lost[boot]) == 0 && int(position) == len(m.oracle.log[boot])
			if m.oversizedReports && current && !reported && slices.Contains(m.oracle.cache, key) {
				t.Fatalf("block %v is not reported as cached although no event is missing", key)
			}
		}
	}
}

// supportedByLog reports whether the oracle's log allows the view to report a
// block as cached.
func (m *viewMachine) supportedByLog(boot, position uint64, key oracleKey) bool {
	maxLost, ok := m.view.LostSinceConfirmed(key.hash, key.version)
	snapshots := m.oracle.cacheAfter[boot]
	lost := 0
	for p := len(snapshots) - 1; ok && p >= 0; p-- {
		if p < int(position) && m.lost[boot][uint64(p)+1] {
			lost++
		}
		if lost > maxLost {
			return false
		}
		if slices.Contains(snapshots[p], key) {
			return true
		}
		evicts := p < len(m.oracle.log[boot]) && m.oracle.log[boot][p].WeightsVersion == key.version &&
			slices.Contains(m.oracle.log[boot][p].Evicted, key.hash)
		if evicts && p < int(position) && !m.lost[boot][uint64(p)+1] {
			return false
		}
	}
	return false
}

// confirmedByNewerBoot reports whether a block was used by a completed request
// that was dispatched while the view was at this boot but ran on a newer one.
func (m *viewMachine) confirmedByNewerBoot(boot uint64, key oracleKey) bool {
	return slices.ContainsFunc(m.completed, func(r *request) bool {
		return r.boot > boot && r.dispatch.boot == boot && r.version == key.version && slices.Contains(r.hashes, key.hash)
	})
}

func TestViewAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		cfg := DefaultConfig()
		cfg.MinSurvivalProbability = rapid.SampledFrom([]float64{0.01, 0.5, 0.9}).Draw(t, "survival")
		m := &viewMachine{
			t: t, now: now, oracle: newOracle(rapid.IntRange(3, 6).Draw(t, "total")), view: New(cfg, now),
			cursor: map[uint64]int{}, lost: map[uint64]map[uint64]bool{},
			oversizedReports: rapid.Bool().Draw(t, "oversized reports"),
		}
		t.Repeat(m.actions())
	})
}

func TestView(t *testing.T) {
	now := time.Unix(1000, 0)
	stored := func(boot, seq uint64, hashes ...uint64) engine.CacheEvent {
		return engine.CacheEvent{BootID: boot, Seq: seq, WeightsVersion: "v1", Stored: hashes}
	}
	Convey("Given a view of four blocks", t, func() {
		cfg := DefaultConfig()
		cfg.MinSurvivalProbability = 0.9
		v := New(cfg, now)
		So(v.ApplyEvent(now, stored(5, 1, 1, 2, 3, 4)), ShouldEqual, Cleared)
		hashes := []uint64{1, 2, 3, 4, 5}
		So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 4)
		So(v.CachedPrefix(hashes, "v2"), ShouldEqual, 0)
		Convey("A suspended view reports nothing until a heartbeat of the same boot arrives", func() {
			v.Suspend()
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, engine.CacheEvent{BootID: 5}), ShouldEqual, Heartbeat)
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 4)
		})
		Convey("A report or heartbeat of a new boot clears the view; an event of an old boot is ignored", func() {
			v.ApplyReport(engine.LoadReport{BootID: 6, TotalBlocks: 10})
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, stored(5, 2, 1)), ShouldEqual, Ignored)
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			So(v.ApplyEvent(now, engine.CacheEvent{BootID: 7}), ShouldEqual, Cleared)
		})
		Convey("Dispatched blocks are expected but not reported as cached, and expire", func() {
			v.RecordDispatch(now, hashes, "v1")
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 4)
			So(v.ExpectedPrefix(now, hashes, "v1"), ShouldEqual, 5)
			So(v.ExpectedPrefix(now.Add(time.Minute), hashes, "v1"), ShouldEqual, 4)
		})
		Convey("A completed answer confirms its blocks, including those whose Stored event was lost", func() {
			dispatch := v.RecordDispatch(now, hashes, "v1")
			So(v.ApplyEvent(now, stored(5, 3, 9)), ShouldEqual, AppliedAfterGap)
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			v.RecordCompletion(now, dispatch, hashes, "v1")
			lost, ok := v.LostSinceConfirmed(5, "v1")
			So(ok, ShouldBeTrue)
			So(lost, ShouldEqual, 1)
			dispatch = v.RecordDispatch(now, hashes, "v1")
			v.RecordCompletion(now, dispatch, hashes, "v1")
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 5)
		})
		Convey("A late completion doesn't confirm a block that was evicted and dispatched again", func() {
			dispatch := v.RecordDispatch(now, hashes, "v1")
			v.ApplyEvent(now, stored(5, 2, 5))
			v.ApplyEvent(now, engine.CacheEvent{BootID: 5, Seq: 3, WeightsVersion: "v1", Evicted: []uint64{5}})
			v.RecordCompletion(now, dispatch, hashes, "v1")
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 4)
			v.RecordDispatch(now, hashes, "v1")
			v.RecordCompletion(now, dispatch, hashes, "v1")
			So(v.CachedPrefix(hashes, "v1"), ShouldEqual, 4)
		})
		Convey("The number of blocks stays within the engine's cache size plus the slack", func() {
			v.ApplyReport(engine.LoadReport{BootID: 5, TotalBlocks: 100})
			for i := range uint64(1000) {
				v.ApplyEvent(now.Add(time.Duration(i)*time.Second), stored(5, 2+2*i, 100+i))
			}
			So(v.Counts().Blocks, ShouldBeLessThanOrEqualTo, 106)
			So(v.CachedPrefix([]uint64{1099}, "v1"), ShouldEqual, 1)
		})
	})
	Convey("After a lost event, blocks used after the last seen eviction are still reported; older ones are not", t, func() {
		v := New(DefaultConfig(), now)
		old, recent := []uint64{1, 2, 3}, make([]uint64, 0, 1000)
		for i := range uint64(1000) {
			recent = append(recent, 100+i)
		}
		v.ApplyEvent(now, stored(5, 1, old...))
		v.ApplyEvent(now.Add(time.Second), stored(5, 2, recent...))
		v.ApplyEvent(now.Add(2*time.Second), engine.CacheEvent{BootID: 5, Seq: 4, WeightsVersion: "v1", Evicted: []uint64{1}})
		So(v.CachedPrefix([]uint64{2}, "v1"), ShouldEqual, 0)
		So(v.CachedPrefix(recent, "v1"), ShouldEqual, 1000)
	})
	Convey("The eviction rate decays", t, func() {
		v := New(DefaultConfig(), now)
		for i := range uint64(200) {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond * 5)
			v.ApplyEvent(at, engine.CacheEvent{BootID: 1, Seq: i + 1, Evicted: []uint64{i, 1000 + i}})
		}
		end := now.Add(100 * time.Second)
		So(v.EvictionRate(end), ShouldBeBetween, 3, 5)
		So(v.EvictionRate(end.Add(time.Minute)), ShouldBeLessThan, 0.1)
	})
}
