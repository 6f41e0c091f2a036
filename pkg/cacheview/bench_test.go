package cacheview

import (
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// benchBlocks is the expected number of cache blocks of one engine at full scale.
const benchBlocks = 72000

func benchHash(i int) uint64 {
	return xxhash.Sum64([]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
}

// fullView returns a view that holds benchBlocks blocks, one per event.
func fullView(now time.Time) *View {
	v := New(DefaultConfig(), now)
	v.ApplyReport(engine.LoadReport{BootID: 1, TotalBlocks: benchBlocks})
	for i := range benchBlocks {
		v.ApplyEvent(now, engine.CacheEvent{BootID: 1, Seq: uint64(i) + 1, WeightsVersion: "v1", Stored: []uint64{benchHash(i)}})
	}
	return v
}

// BenchmarkApply measures events that each evict one block and store one, with
// one event in twenty lost.
func BenchmarkApply(b *testing.B) {
	now := time.Unix(1000, 0)
	v := fullView(now)
	next := benchBlocks
	seq := uint64(benchBlocks)
	stored, evicted := make([]uint64, 1), make([]uint64, 1)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		next++
		if next%20 == 0 {
			continue
		}
		stored[0], evicted[0] = benchHash(next), benchHash(next-benchBlocks)
		v.ApplyEvent(now, engine.CacheEvent{BootID: 1, Seq: seq, WeightsVersion: "v1", Stored: stored, Evicted: evicted})
		now = now.Add(7 * time.Millisecond)
	}
}

// BenchmarkMatched measures the lookup of a prefix of 9 blocks.
func BenchmarkMatched(b *testing.B) {
	v := fullView(time.Unix(1000, 0))
	prefix := make([]uint64, 9)
	for i := range prefix {
		prefix[i] = benchHash(i * 1000)
	}
	b.ReportAllocs()
	for b.Loop() {
		if v.CachedPrefix(prefix, "v1") != len(prefix) {
			b.Fatal("a stored block was not matched")
		}
	}
}

// BenchmarkMemory measures the heap bytes per block.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := fullView(time.Unix(1000, 0))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(v.Counts().Blocks), "bytes/block")
		runtime.KeepAlive(v)
	}
}
