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

// Slopes are the costs that docs/CAPACITY.md multiplies with the counts of a
// large fleet. Memory is live heap in bytes, time is CPU time.
type Slopes struct {
	CacheBlockBytes    float64 `json:"cache_block_bytes"`
	CacheEventNS       float64 `json:"cache_event_ns"`
	CacheMatchNS       float64 `json:"cache_match_9_blocks_ns"`
	AccountIndexBytes  float64 `json:"account_index_bytes"`
	KeyIndexBytes      float64 `json:"key_index_bytes"`
	AccountLedgerBytes float64 `json:"account_ledger_bytes"`
	PeerBytes          float64 `json:"peer_bytes"`
	CandidatesNS       float64 `json:"candidates_of_670_ns"`
	BundleWholeBytes   float64 `json:"bundle_whole_bytes"`
	BundleChangeBytes  float64 `json:"bundle_change_bytes"`
	BundleChangeNS     float64 `json:"bundle_change_ns"`
	WireSlopes
	FleetSlopes
}

// Sizes of the fleet to come that the slopes are taken at.
const (
	slopeBlocks   = 72_000
	slopeAccounts = 1_200
	slopeKeys     = 2
	slopeTargets  = 670
	slopeChain    = 9
)

// MeasureUnitCosts measures every slope in one run.
func MeasureUnitCosts(ctx context.Context, o Options) error {
	var slopes Slopes
	measureCacheView(&slopes)
	o.progress("cache view: %.1f bytes a block, %.0f ns an event", slopes.CacheBlockBytes, slopes.CacheEventNS)
	if err := measureBundle(&slopes); err != nil {
		return errors.Trace(err)
	}
	measureDirectory(&slopes)
	o.progress("bundle: %.0f bytes whole, %.0f bytes a change", slopes.BundleWholeBytes, slopes.BundleChangeBytes)
	if err := measureWire(ctx, o, &slopes.WireSlopes); err != nil {
		return errors.Trace(err)
	}
	o.progress("wire: %.0f bytes a probe, %.0f µs CPU a probe", slopes.ProbeWireBytes, slopes.ProbeCPUMicros)
	if err := measureFleet(ctx, o, &slopes.FleetSlopes); err != nil {
		return errors.Trace(err)
	}
	return o.print(slopes)
}

// liveHeap returns the bytes of reachable objects.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// Getrusage fails only on bad arguments.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perItem runs work and returns its CPU time for each of n items.
func perItem(n int, work func()) float64 {
	before := cpuTime()
	work()
	return float64(cpuTime()-before) / float64(n)
}

func measureCacheView(slopes *Slopes) {
	const version = "v1"
	random := rand.New(rand.NewPCG(1, 2))
	hashes := make([]uint64, slopeBlocks)
	for i := range hashes {
		hashes[i] = random.Uint64()
	}
	before := liveHeap()
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	view.ApplyReport(engine.LoadReport{BootID: 1, TotalBlocks: slopeBlocks})
	slopes.CacheEventNS = perItem(slopeBlocks, func() {
		for i, hash := range hashes {
			view.ApplyEvent(now, engine.CacheEvent{BootID: 1, Seq: uint64(i + 1), WeightsVersion: version, Stored: []uint64{hash}})
		}
	})
	slopes.CacheBlockBytes = (liveHeap() - before) / slopeBlocks
	const matches = 200_000
	slopes.CacheMatchNS = perItem(matches, func() {
		for i := range matches {
			at := (i * slopeChain) % (slopeBlocks - slopeChain)
			view.CachedPrefix(hashes[at:at+slopeChain], version)
		}
	})
	runtime.KeepAlive(view)
}

// slopeBundle returns a bundle of the size to come.
func slopeBundle(accounts, keys int) bundle.Bundle {
	b := localfleet.CooperativaDeployment().Bundle(2000)
	b.Accounts = nil
	for i := range accounts {
		account := bundle.ClientAccount{
			Name: fmt.Sprintf("account-%04d", i), RateTokensPerSecond: 100_000, BurstTokens: 400_000, Weight: 1,
		}
		for k := range keys {
			hash, err := bundle.HashKey(b.KeySalt, fmt.Sprintf("key-%d-%d", i, k))
			if err != nil {
				// The salt is that of the local fleet's own bundle.
				panic(err)
			}
			account.Keys = append(account.Keys, bundle.Key{ID: fmt.Sprintf("key-%04d-%d", i, k), Hash: hash})
		}
		b.Accounts = append(b.Accounts, account)
	}
	return b
}

func measureBundle(slopes *Slopes) error {
	none := indexBytes(slopeBundle(slopeAccounts, 0))
	withKeys := indexBytes(slopeBundle(slopeAccounts, slopeKeys))
	slopes.AccountIndexBytes = none / slopeAccounts
	slopes.KeyIndexBytes = (withKeys - none) / (slopeAccounts * slopeKeys)
	slopes.AccountLedgerBytes = ledgerBytes() / slopeAccounts
	return measureBundleChanges(slopes)
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
	limits := make(map[string]ratelimit.Limit, slopeAccounts)
	for i := range slopeAccounts {
		limits[fmt.Sprintf("account-%04d", i)] = ratelimit.Limit{RateTokensPerSecond: 100_000, BurstTokens: 400_000}
	}
	before := liveHeap()
	ledger := ratelimit.NewLedger(ratelimit.PartPosition{Index: 0, Parts: 3}, ratelimit.InitialState{FirstEpoch: true})
	ledger.SetLimits(0, limits)
	bytes := liveHeap() - before
	runtime.KeepAlive(ledger)
	return bytes
}

// measureBundleChanges applies signed differences of one withdrawn key each.
func measureBundleChanges(slopes *Slopes) error {
	const changes = 20
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Trace(err)
	}
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "slopes", PublicKey: public}}, 0)
	if err != nil {
		return errors.Trace(err)
	}
	store := bundle.NewStore(trust, eventlog.Discard())
	before := slopeBundle(slopeAccounts, slopeKeys)
	whole, err := bundle.Sign(before, "slopes", private)
	if err != nil {
		return errors.Trace(err)
	}
	slopes.BundleWholeBytes = float64(len(whole.Bundle))
	if result := store.Offer(whole); result.Outcome != bundle.OutcomeAccepted {
		return errors.Errorf("bundle %s: %s", result.Outcome, bundle.FormatProblems(result.Problems))
	}
	var used time.Duration
	total := 0
	for i := range changes {
		encoded, next, err := nextDifference(before, i, private)
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
	slopes.BundleChangeBytes = float64(total) / changes
	slopes.BundleChangeNS = float64(used) / changes
	return nil
}

// nextDifference withdraws one key of account i.
func nextDifference(before bundle.Bundle, i int, key ed25519.PrivateKey) ([]byte, bundle.Bundle, error) {
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

func measureDirectory(slopes *Slopes) {
	targets := make([]schedule.Target, slopeTargets)
	for i := range targets {
		targets[i] = schedule.Target{
			VMID: fmt.Sprintf("target-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%6), Region: "region", Pool: "engines",
		}
	}
	before := liveHeap()
	directory := schedule.NewDirectory(time.Minute)
	directory.ApplyList(targets, time.Now())
	slopes.PeerBytes = (liveHeap() - before) / slopeTargets
	random := rand.New(rand.NewPCG(1, 2))
	scheduler := schedule.New(schedule.DefaultSettings(), schedule.Location{DataCentre: "dc-0", Region: "region"}, directory, random)
	const queries = 2000
	slopes.CandidatesNS = perItem(queries, func() {
		for range queries {
			chain := make([]uint64, slopeChain)
			for i := range chain {
				chain[i] = random.Uint64()
			}
			scheduler.Candidates(&schedule.Query{Pool: "engines", Chain: chain, BlockTokens: 2000}, time.Now())
		}
	})
	runtime.KeepAlive(directory)
}
