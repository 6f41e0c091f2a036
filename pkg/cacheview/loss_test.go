package cacheview

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// lossRun is a workload of three-block prefixes with Zipf-distributed popularity
// on an engine of a thousand blocks, whose events arrive late and with losses.
type lossRun struct {
	rng     *rand.Rand
	oracle  *oracleEngine
	view    *View
	now     time.Time
	pending []engine.CacheEvent
	// delay is the number of requests between an event and its delivery; sent
	// is the number of requests so far.
	delay, sent int
	deliverAt   []int
	loss        float64

	cachedBlocks, missedBlocks, reportedBlocks, wrongBlocks int
}

// request sends one request, compares the view with the engine's cache, and
// delivers the events that are due.
func (r *lossRun) request(zipf *rand.Zipf) {
	prefix := zipf.Uint64()
	hashes := []uint64{3*prefix + 1, 3*prefix + 2, 3*prefix + 3}
	cached := 0
	present := map[uint64]bool{}
	for _, key := range r.oracle.cache {
		present[key.hash] = true
	}
	for cached < len(hashes) && present[hashes[cached]] {
		cached++
	}
	reported := r.view.CachedPrefix(hashes, "v1")
	r.cachedBlocks += cached
	r.reportedBlocks += reported
	r.missedBlocks += max(cached-reported, 0)
	r.wrongBlocks += max(reported-cached, 0)

	dispatch := r.view.RecordDispatch(r.now, hashes, "v1")
	before := len(r.oracle.log[r.oracle.boot])
	for _, hash := range hashes {
		r.oracle.use(oracleKey{"v1", hash})
	}
	r.oracle.cacheAfter[r.oracle.boot] = nil
	r.view.RecordCompletion(r.now, dispatch, hashes, "v1")
	for _, event := range r.oracle.log[r.oracle.boot][before:] {
		r.pending = append(r.pending, event)
		r.deliverAt = append(r.deliverAt, r.sent+r.delay)
	}
	for len(r.deliverAt) > 0 && r.deliverAt[0] <= r.sent {
		if r.rng.Float64() >= r.loss {
			r.view.ApplyEvent(r.now, r.pending[0])
		}
		r.pending, r.deliverAt = r.pending[1:], r.deliverAt[1:]
	}
	r.sent++
	r.now = r.now.Add(20 * time.Millisecond)
}

// BenchmarkLoss compares values of Config.MinSurvivalProbability under event
// loss. With 1, no block is reported as cached once an event was lost after its
// confirmation; 0.5 is the default; with 0, every confirmed block that was used
// more recently than the blocks that the engine currently evicts is reported.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		for _, survival := range []float64{1, 0.9, 0.5, 0} {
			b.Run(fmt.Sprintf("loss=%v/survival=%v", loss, survival), func(b *testing.B) {
				now := time.Unix(1000, 0)
				cfg := DefaultConfig()
				cfg.MinSurvivalProbability = survival
				rng := rand.New(rand.NewPCG(1, 2))
				r := &lossRun{rng: rng, oracle: newOracle(1000), view: New(cfg, now), now: now, delay: 20, loss: loss}
				r.view.ApplyReport(engine.LoadReport{BootID: 1, TotalBlocks: 1000})
				zipf := rand.NewZipf(rng, 1.1, 20, 5000)
				for b.Loop() {
					r.request(zipf)
				}
				b.ReportMetric(100*float64(r.missedBlocks)/float64(max(r.cachedBlocks, 1)), "%missed")
				b.ReportMetric(100*float64(r.wrongBlocks)/float64(max(r.reportedBlocks, 1)), "%wrong")
			})
		}
	}
}
