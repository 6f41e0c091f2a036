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

// RoutingOptions are those of Routing beyond the common ones.
type RoutingOptions struct {
	Options
	// Fault strikes in the middle of the measured time.
	Fault RoutingFault
	// Rate is the arrivals a second for each engine in model time; 0 for the
	// deployment's own, at which least_loaded is just below saturation.
	Rate float64
	// Policy runs one policy at the first load; empty for all at both.
	Policy string
	// PlotFile takes the curves of time to first token as SVG or PNG; empty for none.
	PlotFile string
}

// PolicyFigures are what one policy did with the workload. Times are measured
// wall-clock times; in model time they are RoutingFigures.TimeScale times as long.
type PolicyFigures struct {
	Requests         int     `json:"requests"`
	Complete         int     `json:"complete"`
	Unfinished       int     `json:"unfinished"`
	HitRate          float64 `json:"hit_rate"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	TTFTP50MS        float64 `json:"ttft_p50_ms"`
	TTFTP95MS        float64 `json:"ttft_p95_ms"`
	TTFTP99MS        float64 `json:"ttft_p99_ms"`
	// Accounts that keep to their rate; the flooding one stands apart.
	WorstAccount            string  `json:"worst_account"`
	WorstAccountTTFTP99MS   float64 `json:"worst_account_ttft_p99_ms"`
	WorstAccountShare       float64 `json:"worst_account_share"`
	MedianAccountTTFTP99MS  float64 `json:"median_account_ttft_p99_ms"`
	FloodAccountTTFTP99MS   float64 `json:"flood_account_ttft_p99_ms"`
	RefusedWithinRate       int     `json:"refused_within_rate"`
	RefusedBeyondRate       int     `json:"refused_beyond_rate"`
	ImportedBlocks          int     `json:"imported_blocks"`
	CPUCores                float64 `json:"cpu_cores"`
	SchedulingDelayP99MS    float64 `json:"scheduling_delay_p99_ms"`
	SchedulingDelayWorstMS  float64 `json:"scheduling_delay_worst_ms"`
	ElapsedSeconds          float64 `json:"elapsed_seconds"`
	firstTokens             []time.Duration
	completeWithinRateByAcc map[string]int
}

// BoundFigures are those of one LRU cache with the memory of all engines.
type BoundFigures struct {
	HitRate float64 `json:"hit_rate"`
}

// LoadFigures are those of all policies at one load.
type LoadFigures struct {
	RequestsPerSecond float64                   `json:"requests_per_second"`
	Policies          map[string]*PolicyFigures `json:"policies"`
	Bound             BoundFigures              `json:"bound"`
}

// RoutingFigures are the result of Routing.
type RoutingFigures struct {
	Seed       uint64       `json:"seed"`
	Deployment string       `json:"deployment"`
	Fault      RoutingFault `json:"fault"`
	// TimeScale is how much faster than the model's engines the fakes run.
	TimeScale       float64 `json:"time_scale"`
	Engines         int     `json:"engines"`
	BlocksPerEngine int     `json:"blocks_per_engine"`
	Documents       int     `json:"documents"`
	LoadFigures
	// Overload is the same at overloadFactor times the arrivals.
	Overload *LoadFigures `json:"overload,omitempty"`
}

// overloadFactor is the second load against the first.
const overloadFactor = 1.3

// policyNames are in the order in which they run.
var policyNames = []string{"random", "least_loaded", "prefix_hash", "all_probed", "baobab"}

// Routing measures the routing policies side by side, each on a fleet of its
// own with the same workload, one after the other.
func Routing(ctx context.Context, o RoutingOptions) error {
	setup, err := newRoutingSetup(o)
	if err != nil {
		return errors.Trace(err)
	}
	figures := RoutingFigures{
		Seed: o.Seed, Deployment: setup.deployment.Name, Fault: o.Fault, TimeScale: timeScale,
		Engines: setup.engines(), BlocksPerEngine: setup.blocks, Documents: setup.documents,
	}
	if figures.LoadFigures, err = setup.runAll(ctx, o, 1); err != nil {
		return errors.Trace(err)
	}
	if o.Policy == "" && o.Fault == FaultNone {
		overload, err := setup.runAll(ctx, o, overloadFactor)
		if err != nil {
			return errors.Trace(err)
		}
		figures.Overload = &overload
	}
	if o.PlotFile != "" {
		if err := plotFirstTokens(o.PlotFile, figures.Policies); err != nil {
			return errors.Trace(err)
		}
	}
	return o.print(figures)
}

// runAll runs the policies at a multiple of the set rate.
func (s *routingSetup) runAll(ctx context.Context, o RoutingOptions, factor float64) (LoadFigures, error) {
	load := s.load(factor)
	figures := LoadFigures{
		RequestsPerSecond: load.requestsPerSecond,
		Policies:          map[string]*PolicyFigures{},
		Bound:             BoundFigures{HitRate: s.bound(load)},
	}
	o.progress("%.0f requests a second, bound %.3f", load.requestsPerSecond, figures.Bound.HitRate)
	for _, name := range policyNames {
		if o.Policy != "" && o.Policy != name {
			continue
		}
		policy, err := s.runPolicy(ctx, o, name, load)
		if err != nil {
			return figures, errors.Annotate(err, name)
		}
		figures.Policies[name] = policy
		o.progress("%-13s hit rate %.3f, first token p50 %.0f p95 %.0f p99 %.0f ms, worst account %.0f, median %.0f, refused %d, CPU %.1f",
			name, policy.HitRate, policy.TTFTP50MS, policy.TTFTP95MS, policy.TTFTP99MS,
			policy.WorstAccountTTFTP99MS, policy.MedianAccountTTFTP99MS, policy.RefusedWithinRate, policy.CPUCores)
	}
	return figures, nil
}

const (
	// routingRouters is the number of routers that share the callers.
	routingRouters = 3
	// startLimit and drainLimit bound a part's time around its load.
	startLimit = 10 * time.Second
	drainLimit = 2 * time.Second
)

// policyOf returns the policy's constructor; nil for the project's own.
func policyOf(name string) func(*schedule.Scheduler) schedule.Policy {
	if name == "baobab" {
		return nil
	}
	return func(scheduler *schedule.Scheduler) schedule.Policy {
		return schedule.NewBaseline(schedule.BaselineKind(name), scheduler)
	}
}

// runPolicy sends the load to a fleet that routes by one policy.
func (s *routingSetup) runPolicy(ctx context.Context, o RoutingOptions, name string, load routingLoad) (*PolicyFigures, error) {
	started := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Config{
		Deployment: s.deployment, RouterCount: routingRouters, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: s.engine(o.Fault), Policy: policyOf(name),
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
	loadCtx, stop := context.WithTimeout(ctx, load.length+drainLimit)
	defer stop()
	go strike(loadCtx, o.Fault, fleet, load.warmUp+(load.length-load.warmUp)/2)
	usage := startUsage()
	results := loadclient.Run(loadCtx, clients, load.requests)
	figures := &PolicyFigures{}
	usage.into(figures)
	load.figure(figures, results)
	for _, target := range fleet.Targets {
		if target.Engine != nil {
			counted := target.Engine.Stats()
			figures.RecomputedTokens += counted.RecomputedTokens
			figures.ImportedBlocks += counted.ImportedBlocks
		}
	}
	figures.ElapsedSeconds = time.Since(started).Seconds()
	return figures, nil
}

// engine returns the pattern of the engines: a model engine that takes 0.1 s to
// prefill a cache block, in steps of a quarter block, timeScale times faster.
func (s *routingSetup) engine(fault RoutingFault) enginefake.Config {
	const (
		modelBlockTime  = 100 * time.Millisecond
		modelDecodeStep = 20 * time.Millisecond
		// modelImportTime copies a block over a fast link.
		modelImportTime = 10 * time.Millisecond
	)
	blockSeconds := modelBlockTime.Seconds() / timeScale
	engine := enginefake.Config{
		BlockTokens:            routingBlockTokens,
		TotalBlocks:            s.blocks,
		StepTokens:             routingBlockTokens / 4,
		PrefillTokensPerSecond: routingBlockTokens / blockSeconds,
		DecodeStep:             modelDecodeStep / timeScale,
		ImportTimePerBlock:     modelImportTime / timeScale,
		ChunkTokens:            routingAnswerTokens / 2,
	}
	if fault == FaultEventsLost {
		engine.EventLoss = 0.05
		engine.LoadLag = time.Second
	}
	return engine
}
