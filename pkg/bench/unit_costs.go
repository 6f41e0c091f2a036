package bench

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// UnitCosts are the costs that docs/CAPACITY.md multiplies by the object counts
// of a large fleet. Memory is live heap in bytes, and time is CPU time.
type UnitCosts struct {
	CacheBlockBytes      float64 `json:"cache_block_bytes"`
	CacheEventNS         float64 `json:"cache_event_ns"`
	CacheMatchNS         float64 `json:"cache_match_9_blocks_ns"`
	AccountIndexBytes    float64 `json:"account_index_bytes"`
	KeyIndexBytes        float64 `json:"key_index_bytes"`
	AccountLedgerBytes   float64 `json:"account_ledger_bytes"`
	DirectoryTargetBytes float64 `json:"peer_bytes"`
	CandidatesNS         float64 `json:"candidates_of_670_ns"`
	BundleFullBytes      float64 `json:"bundle_whole_bytes"`
	BundleDiffBytes      float64 `json:"bundle_change_bytes"`
	BundleDiffNS         float64 `json:"bundle_change_ns"`
	WireCosts
	ProcessCosts
}

// Sizes of the planned fleet at which the costs are measured.
const (
	plannedBlocks         = 72_000
	plannedAccounts       = 1_200
	plannedKeysPerAccount = 2
	plannedTargets        = 670
	plannedChainLength    = 9
)

// MeasureUnitCosts measures all unit costs in one run.
func MeasureUnitCosts(ctx context.Context, o Options) error {
	var costs UnitCosts
	measureCacheView(&costs)
	o.progress("cache view: %.1f bytes a block, %.0f ns an event", costs.CacheBlockBytes, costs.CacheEventNS)
	if err := measureBundle(&costs); err != nil {
		return errors.Trace(err)
	}
	measureDirectory(&costs)
	o.progress("bundle: %.0f bytes whole, %.0f bytes a change", costs.BundleFullBytes, costs.BundleDiffBytes)
	if err := measureWire(ctx, o, &costs.WireCosts); err != nil {
		return errors.Trace(err)
	}
	o.progress("wire: %.0f bytes a probe, %.0f µs CPU a probe", costs.ProbeWireBytes, costs.ProbeCPUMicros)
	if err := measureProcesses(ctx, o, &costs.ProcessCosts); err != nil {
		return errors.Trace(err)
	}
	return o.printJSON(costs)
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// Getrusage fails only for invalid arguments.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuTimePerItem runs work and returns its CPU time in nanoseconds, divided by
// n.
func cpuTimePerItem(n int, work func()) float64 {
	before := cpuTime()
	work()
	return float64(cpuTime()-before) / float64(n)
}

func measureCacheView(costs *UnitCosts) {
	const version = "v1"
	random := rand.New(rand.NewPCG(1, 2))
	hashes := make([]uint64, plannedBlocks)
	for i := range hashes {
		hashes[i] = random.Uint64()
	}
	before := liveHeap()
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	view.ApplyReport(engine.LoadReport{BootID: 1, TotalBlocks: plannedBlocks})
	costs.CacheEventNS = cpuTimePerItem(plannedBlocks, func() {
		for i, hash := range hashes {
			view.ApplyEvent(now, engine.CacheEvent{BootID: 1, Seq: uint64(i + 1), WeightsVersion: version, Stored: []uint64{hash}})
		}
	})
	costs.CacheBlockBytes = (liveHeap() - before) / plannedBlocks
	const matches = 200_000
	costs.CacheMatchNS = cpuTimePerItem(matches, func() {
		for i := range matches {
			start := (i * plannedChainLength) % (plannedBlocks - plannedChainLength)
			view.CachedPrefix(hashes[start:start+plannedChainLength], version)
		}
	})
	runtime.KeepAlive(view)
}

// plannedBundle returns a bundle with the given numbers of accounts and of keys
// for each account.
func plannedBundle(accounts, keys int) bundle.Bundle {
	b := localfleet.CooperativaDeployment().Bundle(2000)
	b.Accounts = nil
	for i := range accounts {
		account := bundle.ClientAccount{
			Name: fmt.Sprintf("account-%04d", i), RateTokensPerSecond: 100_000, BurstTokens: 400_000, Weight: 1,
		}
		for k := range keys {
			hash, err := bundle.HashKey(b.KeySalt, fmt.Sprintf("key-%d-%d", i, k))
			if err != nil {
				// HashKey cannot fail with the salt of the local fleet's
				// bundle.
				panic(err)
			}
			account.Keys = append(account.Keys, bundle.Key{ID: fmt.Sprintf("key-%04d-%d", i, k), Hash: hash})
		}
		b.Accounts = append(b.Accounts, account)
	}
	return b
}

func measureBundle(costs *UnitCosts) error {
	withoutKeys := indexBytes(plannedBundle(plannedAccounts, 0))
	withKeys := indexBytes(plannedBundle(plannedAccounts, plannedKeysPerAccount))
	costs.AccountIndexBytes = withoutKeys / plannedAccounts
	costs.KeyIndexBytes = (withKeys - withoutKeys) / (plannedAccounts * plannedKeysPerAccount)
	costs.AccountLedgerBytes = ledgerBytes() / plannedAccounts
	return measureBundleDiffs(costs)
}

func indexBytes(b bundle.Bundle) float64 {
	before := liveHeap()
	index, err := bundle.NewIndex(b)
	if err != nil {
		panic(err)
	}
	bytes := liveHeap() - before
	runtime.KeepAlive(index)
	return bytes
}

func ledgerBytes() float64 {
	limits := make(map[string]ratelimit.Limit, plannedAccounts)
	for i := range plannedAccounts {
		limits[fmt.Sprintf("account-%04d", i)] = ratelimit.Limit{RateTokensPerSecond: 100_000, BurstTokens: 400_000}
	}
	before := liveHeap()
	ledger := ratelimit.NewLedger(ratelimit.PartPosition{Index: 0, Parts: 3}, ratelimit.InitialState{FirstEpoch: true})
	ledger.SetLimits(0, limits)
	bytes := liveHeap() - before
	runtime.KeepAlive(ledger)
	return bytes
}

// measureBundleDiffs applies signed differences that each withdraw one key.
func measureBundleDiffs(costs *UnitCosts) error {
	const diffs = 20
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Trace(err)
	}
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "slopes", PublicKey: public}}, 0)
	if err != nil {
		return errors.Trace(err)
	}
	store := bundle.NewStore(trust, eventlog.Discard())
	before := plannedBundle(plannedAccounts, plannedKeysPerAccount)
	full, err := bundle.Sign(before, "slopes", private)
	if err != nil {
		return errors.Trace(err)
	}
	costs.BundleFullBytes = float64(len(full.Bundle))
	if result := store.Offer(full); result.Outcome != bundle.OutcomeAccepted {
		return errors.Errorf("bundle %s: %s", result.Outcome, bundle.FormatProblems(result.Problems))
	}
	var used time.Duration
	total := 0
	for i := range diffs {
		encoded, next, err := nextSignedDiff(before, i, private)
		if err != nil {
			return errors.Trace(err)
		}
		total += len(encoded)
		start := cpuTime()
		result := store.OfferDifferenceBytes(encoded)
		used += cpuTime() - start
		if result.Outcome != bundle.OutcomeAccepted {
			return errors.Errorf("difference %s: %s", result.Outcome, bundle.FormatProblems(result.Problems))
		}
		before = next
	}
	costs.BundleDiffBytes = float64(total) / diffs
	costs.BundleDiffNS = float64(used) / diffs
	return nil
}

// nextSignedDiff withdraws one key of account i and returns the encoded
// difference and the resulting bundle.
func nextSignedDiff(before bundle.Bundle, i int, key ed25519.PrivateKey) ([]byte, bundle.Bundle, error) {
	next := before
	next.Version++
	next.Accounts = append([]bundle.ClientAccount(nil), before.Accounts...)
	next.Accounts[i].Keys = next.Accounts[i].Keys[:1]
	signed, err := bundle.Sign(next, "slopes", key)
	if err != nil {
		return nil, next, errors.Trace(err)
	}
	difference, err := bundle.Diff(before, next)
	if err != nil {
		return nil, next, errors.Trace(err)
	}
	encoded, err := bundle.SignedDifference{
		Difference: difference, KeyID: signed.KeyID, Signature: signed.Signature, Approvals: []bundle.Approval{},
	}.Encode()
	return encoded, next, errors.Trace(err)
}

func measureDirectory(costs *UnitCosts) {
	targets := make([]schedule.Target, plannedTargets)
	for i := range targets {
		targets[i] = schedule.Target{
			VMID: fmt.Sprintf("target-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%6), Region: "region", Pool: "engines",
		}
	}
	before := liveHeap()
	directory := schedule.NewDirectory(time.Minute)
	directory.ApplyList(targets, time.Now())
	costs.DirectoryTargetBytes = (liveHeap() - before) / plannedTargets
	random := rand.New(rand.NewPCG(1, 2))
	scheduler := schedule.New(schedule.DefaultSettings(), schedule.Location{DataCentre: "dc-0", Region: "region"}, directory, random)
	const queries = 2000
	costs.CandidatesNS = cpuTimePerItem(queries, func() {
		for range queries {
			chain := make([]uint64, plannedChainLength)
			for i := range chain {
				chain[i] = random.Uint64()
			}
			scheduler.Candidates(&schedule.Query{Pool: "engines", Chain: chain, BlockTokens: 2000}, time.Now())
		}
	})
	runtime.KeepAlive(directory)
}
