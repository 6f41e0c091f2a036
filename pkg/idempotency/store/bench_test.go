package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
)

// BenchmarkExecute sends calls with exponentially distributed intervals to one
// slot. The key-value service has a latency of 2 ms, and the target answers
// immediately with 300 bytes.
func BenchmarkExecute(b *testing.B) {
	for _, rate := range []int{1, 10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("calls_per_s=%d", rate), func(b *testing.B) { benchExecute(b, rate) })
	}
}

func benchExecute(b *testing.B, rate int) {
	kvStore := newMemKV()
	kvStore.latency = 2 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	slot, log, err := OpenSlot(ctx, kvStore, fixedEpoch(1), idempotency.DefaultLimits(), testOptions(1))
	if err != nil {
		b.Fatal(err)
	}
	var writer, pendingCalls sync.WaitGroup
	writer.Go(func() { _ = log.Run(ctx) })
	var mu sync.Mutex
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	refused := 0
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	next := start
	b.ResetTimer()
	for i := range b.N {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		time.Sleep(time.Until(next))
		pendingCalls.Go(func() {
			callStart := time.Now()
			reply := slot.Execute(ctx, testCall(i, 24*time.Hour), answerWith(300))
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(time.Since(callStart).Microseconds())
			if reply.Refusal != nil {
				refused++
			}
		})
	}
	pendingCalls.Wait()
	elapsed := time.Since(start).Seconds()
	time.Sleep(20 * time.Millisecond)
	cancel()
	writer.Wait()
	_, valueBytes := kvStore.usage()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(b.N)/elapsed, "calls/s")
	b.ReportMetric(float64(kvStore.writes)/elapsed, "writes/s")
	b.ReportMetric(float64(kvStore.writeBytes)/float64(kvStore.writes), "B/write")
	b.ReportMetric(float64(valueBytes)/float64(b.N), "B/record")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50_us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99_us")
	b.ReportMetric(float64(refused), "refused")
}

// BenchmarkOpen opens a slot that holds the records of one day at 0.53 calls per
// second. Each call's intent and its outcome of 300 bytes were written in
// separate batches.
func BenchmarkOpen(b *testing.B) {
	const records = 46_000
	kvStore := newMemKV()
	log, _, err := Open(context.Background(), kvStore, testOptions(1))
	if err != nil {
		b.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	batch := make([]idempotency.Record, 1)
	for range records {
		key := idempotency.KeyHash("a", "r", fmt.Sprint(random.Uint64()))
		batch[0] = idempotency.Record{KeyHash: key, RequestHash: key, State: idempotency.StateDone, Attempt: random.Uint64(), Epoch: 1,
			Expires: time.Now().Add(24 * time.Hour), Answer: idempotency.Answer{Status: 200, Body: make([]byte, 300)}}
		intent := batch[0]
		intent.State, intent.Answer = idempotency.StateIntent, idempotency.Answer{}
		for _, record := range []idempotency.Record{intent, batch[0]} {
			batch[0] = record
			if err := log.writeBatch(context.Background(), batch, 0); err != nil {
				b.Fatal(err)
			}
		}
	}
	keys, valueBytes := kvStore.usage()
	writes := kvStore.writes
	writeBytes := kvStore.writeBytes
	kvStore.latency = 2 * time.Millisecond
	epoch := uint64(2)
	for b.Loop() {
		if _, _, err := Open(context.Background(), kvStore, testOptions(epoch)); err != nil {
			b.Fatal(err)
		}
		epoch++
	}
	before := liveHeapBytes()
	log, loaded, err := Open(context.Background(), kvStore, testOptions(epoch))
	if err != nil {
		b.Fatal(err)
	}
	machine := idempotency.NewStateMachine(idempotency.DefaultLimits(), epoch, loaded, time.Now())
	b.ReportMetric(float64(liveHeapBytes()-before)/records, "heapB/record")
	runtime.KeepAlive(log)
	runtime.KeepAlive(machine)
	b.ReportMetric(float64(keys), "keys")
	b.ReportMetric(float64(valueBytes)/records, "B/record")
	b.ReportMetric(float64(writes)/records, "writes/record")
	b.ReportMetric(float64(writeBytes)/records, "writeB/record")
}

// liveHeapBytes returns the heap size after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
