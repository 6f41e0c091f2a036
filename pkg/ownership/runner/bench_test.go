package runner_test

import (
	"testing"
	"time"
)

// BenchmarkServiceCalls reports how many calls 21 processes with 8 slots and a
// lease TTL of 2 s make to the key-value service: totals during startup, then
// calls per second.
func BenchmarkServiceCalls(b *testing.B) {
	for range b.N {
		f := newFleet(b, 21)
		start := time.Now()
		for !f.allHeld() {
			time.Sleep(10 * time.Millisecond)
			if time.Since(start) > 30*time.Second {
				b.Fatal("some slots have no holder 30 s after the start")
			}
		}
		b.ReportMetric(time.Since(start).Seconds(), "start-s")
		atStart := f.service.Counters()
		b.ReportMetric(float64(atStart.Reads), "start-reads")
		b.ReportMetric(float64(atStart.Writes), "start-writes")
		time.Sleep(5 * time.Second)
		atEnd := f.service.Counters()
		b.ReportMetric(float64(atEnd.Reads-atStart.Reads)/5, "reads/s")
		b.ReportMetric(float64(atEnd.Writes-atStart.Writes)/5, "writes/s")
		b.ReportMetric(float64(atEnd.RateLimited), "limited")
	}
}
