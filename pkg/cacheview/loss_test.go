package cacheview

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// lossRun is a workload of chains of three blocks, popular ones first, over an
// engine of a thousand blocks whose events come late and with losses.
type lossRun struct {
	rng     *rand.Rand
	o       *oracleEngine
	view    *View
	now     time.Time
	pending []engine.CacheEvent
	// delay is the number of requests between an event and its delivery.
	delay, sent int
	due         []int
	loss        float64

	cached, missed, claimed, wrong int
}

// request sends one request, compares the claim with the truth, and delivers
// what is due.
func (r *lossRun) request(zipf *rand.Zipf) {
	chain := zipf.Uint64()
	hashes := []uint64{3*chain + 1, 3*chain + 2, 3*chain + 3}
	truth := 0
	present := map[uint64]bool{}
	for _, key := range r.o.cache {
		present[key.hash] = true
	}
	for truth < len(hashes) && present[hashes[truth]] {
		truth++
	}
	claim := r.view.CachedPrefix(hashes, "v1")
	r.cached += truth
	r.claimed += claim
	r.missed += max(truth-claim, 0)
	r.wrong += max(claim-truth, 0)

	mark := r.view.RecordDispatch(r.now, hashes, "v1")
	before := len(r.o.log[r.o.boot])
	for _, hash := range hashes {
		r.o.use(oracleKey{"v1", hash})
	}
	r.o.states[r.o.boot] = nil
	r.view.RecordCompletion(r.now, mark, hashes, "v1")
	for _, event := range r.o.log[r.o.boot][before:] {
		r.pending = append(r.pending, event)
		r.due = append(r.due, r.sent+r.delay)
	}
	for len(r.due) > 0 && r.due[0] <= r.sent {
		if r.rng.Float64() >= r.loss {
			r.view.ApplyEvent(r.now, r.pending[0])
		}
		r.pending, r.due = r.pending[1:], r.due[1:]
	}
	r.sent++
	r.now = r.now.Add(20 * time.Millisecond)
}

// BenchmarkLoss compares ways to treat doubt: none claimed (a survival of 1),
// the default, and every one claimed that was used after the last eviction
// seen (0).
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		for _, survival := range []float64{1, 0.9, 0.5, 0} {
			b.Run(fmt.Sprintf("loss=%v/survival=%v", loss, survival), func(b *testing.B) {
				now := time.Unix(1000, 0)
				cfg := DefaultConfig()
				cfg.MinSurvival = survival
				rng := rand.New(rand.NewPCG(1, 2))
				r := &lossRun{rng: rng, o: newOracle(1000), view: New(cfg, now), now: now, delay: 20, loss: loss}
				r.view.ApplyReport(engine.LoadReport{Boot: 1, TotalBlocks: 1000})
				zipf := rand.NewZipf(rng, 1.1, 20, 5000)
				for b.Loop() {
					r.request(zipf)
				}
				b.ReportMetric(100*float64(r.missed)/float64(max(r.cached, 1)), "%missed")
				b.ReportMetric(100*float64(r.wrong)/float64(max(r.claimed, 1)), "%wrong")
			})
		}
	}
}
