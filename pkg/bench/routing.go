package bench

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// RoutingOptions extends Options with the settings of Routing.
type RoutingOptions struct {
	Options
	// Fault is injected in the middle of the measured time.
	Fault RoutingFault
	// Rate is the number of arrivals per second and engine, in model time. 0
	// selects the deployment's default rate, at which least_loaded is just
	// below saturation.
	Rate float64
	// Policy limits the run to one policy at the base load; empty runs all
	// policies at both loads.
	Policy string
	// PlotFile is the SVG or PNG file for the distributions of the time to
	// first token; empty for none.
	PlotFile string
}

// PolicyResult is the result of one policy. Times are wall-clock times;
// multiplied by RoutingResult.TimeScale they are model times.
type PolicyResult struct {
	Requests         int     `json:"requests"`
	Complete         int     `json:"complete"`
	Unfinished       int     `json:"unfinished"`
	HitRate          float64 `json:"hit_rate"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	TTFTP50MS        float64 `json:"ttft_p50_ms"`
	TTFTP95MS        float64 `json:"ttft_p95_ms"`
	TTFTP99MS        float64 `json:"ttft_p99_ms"`
	// The worst and the median account are taken from those that keep to their
	// rate. The flooding account is reported separately.
	WorstAccount                string  `json:"worst_account"`
	WorstAccountTTFTP99MS       float64 `json:"worst_account_ttft_p99_ms"`
	WorstAccountShare           float64 `json:"worst_account_share"`
	MedianAccountTTFTP99MS      float64 `json:"median_account_ttft_p99_ms"`
	FloodAccountTTFTP99MS       float64 `json:"flood_account_ttft_p99_ms"`
	RefusedWithinRate           int     `json:"refused_within_rate"`
	RefusedBeyondRate           int     `json:"refused_beyond_rate"`
	ImportedBlocks              int     `json:"imported_blocks"`
	CPUCores                    float64 `json:"cpu_cores"`
	SchedulingDelayP99MS        float64 `json:"scheduling_delay_p99_ms"`
	SchedulingDelayWorstMS      float64 `json:"scheduling_delay_worst_ms"`
	ElapsedSeconds              float64 `json:"elapsed_seconds"`
	firstTokenTimes             []time.Duration
	completeWithinRateByAccount map[string]int
}

// HitRateBound is the hit rate of a single LRU cache as large as the caches of
// all engines together.
type HitRateBound struct {
	HitRate float64 `json:"hit_rate"`
}

// LoadResult holds the results of all policies at one load.
type LoadResult struct {
	RequestsPerSecond float64                  `json:"requests_per_second"`
	Policies          map[string]*PolicyResult `json:"policies"`
	Bound             HitRateBound             `json:"bound"`
}

// RoutingResult is the result of Routing.
type RoutingResult struct {
	Seed       uint64       `json:"seed"`
	Deployment string       `json:"deployment"`
	Fault      RoutingFault `json:"fault"`
	// TimeScale is the factor by which the fake engines run faster than the
	// modelled ones.
	TimeScale       float64 `json:"time_scale"`
	Engines         int     `json:"engines"`
	BlocksPerEngine int     `json:"blocks_per_engine"`
	Documents       int     `json:"documents"`
	LoadResult
	// Overload holds the results at overloadFactor times the arrival rate.
	Overload *LoadResult `json:"overload,omitempty"`
}

// overloadFactor is the ratio of the second load to the base load.
const overloadFactor = 1.3

// policyNames lists the policies in the order in which they run.
var policyNames = []string{"random", "least_loaded", "prefix_hash", "all_probed", "baobab"}

// Routing compares the routing policies. They run one after another, each on
// its own fleet with the same workload.
func Routing(ctx context.Context, o RoutingOptions) error {
	setup, err := newRoutingSetup(o)
	if err != nil {
		return errors.Trace(err)
	}
	result := RoutingResult{
		Seed: o.Seed, Deployment: setup.deployment.Name, Fault: o.Fault, TimeScale: timeScale,
		Engines: setup.engines(), BlocksPerEngine: setup.blocksPerEngine, Documents: setup.documents,
	}
	if result.LoadResult, err = setup.runPolicies(ctx, o, 1); err != nil {
		return errors.Trace(err)
	}
	if o.Policy == "" && o.Fault == FaultNone {
		overload, err := setup.runPolicies(ctx, o, overloadFactor)
		if err != nil {
			return errors.Trace(err)
		}
		result.Overload = &overload
	}
	if o.PlotFile != "" {
		if err := plotFirstTokens(o.PlotFile, result.Policies); err != nil {
			return errors.Trace(err)
		}
	}
	return o.printJSON(result)
}

// runPolicies runs the selected policies at a multiple of the configured rate.
func (s *routingSetup) runPolicies(ctx context.Context, o RoutingOptions, factor float64) (LoadResult, error) {
	load := s.generateLoad(factor)
	result := LoadResult{
		RequestsPerSecond: load.requestsPerSecond,
		Policies:          map[string]*PolicyResult{},
		Bound:             HitRateBound{HitRate: s.lruHitRate(load)},
	}
	o.progress("%.0f requests a second, bound %.3f", load.requestsPerSecond, result.Bound.HitRate)
	for _, name := range policyNames {
		if o.Policy != "" && o.Policy != name {
			continue
		}
		policy, err := s.runPolicy(ctx, o, name, load)
		if err != nil {
			return result, errors.Annotate(err, name)
		}
		result.Policies[name] = policy
		o.progress("%-13s hit rate %.3f, first token p50 %.0f p95 %.0f p99 %.0f ms, worst account %.0f, median %.0f, refused %d, CPU %.1f",
			name, policy.HitRate, policy.TTFTP50MS, policy.TTFTP95MS, policy.TTFTP99MS,
			policy.WorstAccountTTFTP99MS, policy.MedianAccountTTFTP99MS, policy.RefusedWithinRate, policy.CPUCores)
	}
	return result, nil
}

const (
	// routingRouters is the number of routers that share the load.
	routingRouters = 3
	// routingStartTimeout bounds the start of a fleet, and routingDrainTimeout
	// the wait for answers after the load.
	routingStartTimeout = 10 * time.Second
	routingDrainTimeout = 2 * time.Second
)

// policyConstructor returns the constructor of a baseline policy, or nil for
// the router's own policy.
func policyConstructor(name string) func(*schedule.Scheduler) schedule.Policy {
	if name == "baobab" {
		return nil
	}
	return func(scheduler *schedule.Scheduler) schedule.Policy {
		return schedule.NewBaseline(schedule.BaselineKind(name), scheduler)
	}
}

// runPolicy sends the load to a fleet that uses the given policy.
func (s *routingSetup) runPolicy(ctx context.Context, o RoutingOptions, name string, load routingLoad) (*PolicyResult, error) {
	started := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, routingStartTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Config{
		Deployment: s.deployment, RouterCount: routingRouters, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: s.engineConfig(o.Fault), Policy: policyConstructor(name),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer fleet.Close()
	var clients []*loadclient.Client
	for _, router := range fleet.Routers {
		client := loadclient.New(router.Daemon.Address())
		defer client.Close()
		clients = append(clients, client)
	}
	loadCtx, stop := context.WithTimeout(ctx, load.duration+routingDrainTimeout)
	defer stop()
	go injectRoutingFault(loadCtx, o.Fault, fleet, load.warmUp+(load.duration-load.warmUp)/2)
	usage := startResourceUsage()
	results := loadclient.Run(loadCtx, clients, load.requests)
	result := &PolicyResult{}
	usage.stopAndRecord(result)
	load.summarize(result, results)
	for _, target := range fleet.Targets {
		if target.Engine != nil {
			engineStats := target.Engine.Stats()
			result.RecomputedTokens += engineStats.RecomputedTokens
			result.ImportedBlocks += engineStats.ImportedBlocks
		}
	}
	result.ElapsedSeconds = time.Since(started).Seconds()
	return result, nil
}

// engineConfig returns the configuration of the fake engines: a modelled engine
// that prefills a cache block in 0.1 s, in steps of a quarter block, sped up by
// timeScale.
func (s *routingSetup) engineConfig(fault RoutingFault) enginefake.Config {
	const (
		modelBlockTime  = 100 * time.Millisecond
		modelDecodeStep = 20 * time.Millisecond
		// modelImportTime is the time to copy a block over a fast link.
		modelImportTime = 10 * time.Millisecond
	)
	blockSeconds := modelBlockTime.Seconds() / timeScale
	engine := enginefake.Config{
		BlockTokens:            routingBlockTokens,
		TotalBlocks:            s.blocksPerEngine,
		StepTokenBudget:        routingBlockTokens / 4,
		PrefillTokensPerSecond: routingBlockTokens / blockSeconds,
		MinStepDuration:        modelDecodeStep / timeScale,
		ImportTimePerBlock:     modelImportTime / timeScale,
		ChunkTokens:            routingAnswerTokens / 2,
	}
	if fault == FaultEventLoss {
		engine.EventLoss = 0.05
		engine.LoadReportDelay = time.Second
	}
	return engine
}
