package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// RecoveryResult is the result of Recovery.
type RecoveryResult struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Faults   map[string]int `json:"faults"`
	// WrongAnswers and IncompleteStreams must be 0.
	WrongAnswers      int            `json:"wrong_answers"`
	IncompleteStreams int            `json:"incomplete_streams"`
	ExplicitErrors    int            `json:"explicit_errors"`
	ErrorCodes        map[string]int `json:"error_codes"`
	ContinuedAnswers  int            `json:"continued_answers"`
	// ResumedStreams counts streams between router and agent, and between agent
	// and engine, that were resumed over a new connection.
	ResumedStreams int `json:"resumed_streams"`
	// Detections counts the silent links that were detected. The detection time
	// runs from the start of the silence until a stream of that VM is first
	// resumed over a new connection.
	Detections     int     `json:"detections"`
	DetectionP50MS float64 `json:"detection_ms_p50"`
	DetectionMaxMS float64 `json:"detection_ms_max"`
	// The times to first token without faults (steady) and with faults.
	FirstTokenSteadyP50MS float64 `json:"ttft_steady_p50_ms"`
	FirstTokenSteadyMaxMS float64 `json:"ttft_steady_max_ms"`
	FirstTokenFaultsP50MS float64 `json:"ttft_faults_p50_ms"`
	FirstTokenFaultsMaxMS float64 `json:"ttft_faults_max_ms"`
	// PlannedStops counts the restarts of routers and agents, and
	// PlannedRequests the requests of that phase. CutByPlannedStop counts those
	// without a complete and correct answer; it must be 0.
	PlannedStops     int `json:"planned_stops"`
	PlannedRequests  int `json:"planned_requests"`
	CutByPlannedStop int `json:"cut_by_planned_stop"`
	// RestartToFirstServedMS is the time from a router's start during an outage
	// of the key-value service to the first token of its first answer.
	RestartToFirstServedMS float64 `json:"restart_to_first_served_ms"`
}

// Parameters of a run of Recovery; the durations are defaults.
const (
	recoveryEngines         = 6
	recoveryRouters         = 2
	recoveryCallers         = 24
	recoveryBlockTokens     = 100
	recoveryEngineBlocks    = 4096
	recoveryAnswerTokens    = 64
	recoverySteadyDuration  = 3 * time.Second
	recoveryFaultsDuration  = 20 * time.Second
	recoveryRollingDuration = 8 * time.Second
	// unlimitedRestarts exceeds the number of restarts of any run.
	unlimitedRestarts = 1 << 20
)

// Recovery sends requests while seeded faults are injected, then during a
// rolling restart of the fleet, and reports the outcomes that callers saw.
// Options.Duration sets the length of each of these two phases.
func Recovery(ctx context.Context, o Options) error {
	f := newFaultyFleet(o)
	defer f.close()
	if err := f.start(ctx); err != nil {
		return errors.Trace(err)
	}
	result := RecoveryResult{Seed: o.Seed, Faults: make(map[string]int)}
	routerBalancer := newBalancer(o.Seed, f.fleet)
	workloadConfig := workload.DefaultConfig(o.Seed, f.fleet.Config.Deployment.Accounts, f.fleet.Config.Deployment.Model,
		localfleet.BlockBytes(recoveryBlockTokens))
	workloadConfig.MaxTokens = recoveryAnswerTokens
	load := startLoad(ctx, f.fleet, routerBalancer, recoveryCallers, workloadConfig)
	clock.Sleep(ctx, recoverySteadyDuration)
	steady := load.takeCounts()
	f.injectFaults(ctx, orDefault(o.Duration, recoveryFaultsDuration), rand.New(rand.NewPCG(o.Seed, 1)), result.Faults)
	underFaults := load.stop()
	o.progress("faults: %d requests, %d errors", underFaults.requests, underFaults.explicitErrors)
	plannedLoad := startLoad(ctx, f.fleet, routerBalancer, recoveryCallers, workloadConfig)
	restarter := newRollingRestarter(f.fleet, routerBalancer)
	err := restarter.run(ctx, unlimitedRestarts, time.Now().Add(orDefault(o.Duration, recoveryRollingDuration)))
	planned := plannedLoad.stop()
	if err != nil {
		return errors.Trace(err)
	}
	result.addCounts(&steady, &underFaults, f.logParser)
	result.PlannedStops = restarter.routerRestarts + restarter.agentRestarts
	result.PlannedRequests = planned.requests
	result.CutByPlannedStop = planned.wrongAnswers + planned.incompleteStreams + planned.explicitErrors
	outage := kvfake.DefaultFaults()
	outage.Outage = true
	f.fleet.KVServer.SetFaults(outage)
	startToServed, err := measureRouterStart(ctx, f.fleet, workload.New(workloadConfig).Next())
	f.fleet.KVServer.SetFaults(kvfake.DefaultFaults())
	if err != nil {
		return errors.Trace(err)
	}
	result.RestartToFirstServedMS = float64(startToServed.Microseconds()) / 1000
	return o.printJSON(result)
}

func orDefault(duration, fallback time.Duration) time.Duration {
	if duration > 0 {
		return duration
	}
	return fallback
}

func (r *RecoveryResult) addCounts(steady, underFaults *responseCounts, parser *recoveryLogParser) {
	r.Requests = steady.requests + underFaults.requests
	r.WrongAnswers = steady.wrongAnswers + underFaults.wrongAnswers
	r.IncompleteStreams = steady.incompleteStreams + underFaults.incompleteStreams
	r.ExplicitErrors = steady.explicitErrors + underFaults.explicitErrors
	r.ErrorCodes = underFaults.errorCodes
	r.FirstTokenSteadyP50MS = steady.firstTokenTimes.QuantileMS(0.5)
	r.FirstTokenSteadyMaxMS = steady.firstTokenTimes.QuantileMS(1)
	r.FirstTokenFaultsP50MS = underFaults.firstTokenTimes.QuantileMS(0.5)
	r.FirstTokenFaultsMaxMS = underFaults.firstTokenTimes.QuantileMS(1)
	parser.fillResult(r)
}

// recoveryEngineConfig returns the configuration of the run's fake engines.
func recoveryEngineConfig() enginefake.Config {
	return enginefake.Config{
		BlockTokens: recoveryBlockTokens, TotalBlocks: recoveryEngineBlocks,
		MinStepDuration: 5 * time.Millisecond, PrefillTokensPerSecond: 200000,
	}
}
