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

// RecoveryFigures are what became of answers under seeded faults.
type RecoveryFigures struct {
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
	// and engine, that went on over a new connection.
	ResumedStreams int `json:"resumed_streams"`
	// DetectionMS are the times from a silent link to the first stream on it
	// that is taken up elsewhere or anew.
	Detections     int     `json:"detections"`
	DetectionP50MS float64 `json:"detection_ms_p50"`
	DetectionMaxMS float64 `json:"detection_ms_max"`
	// FirstToken compares times to first token without and with faults.
	FirstTokenSteadyP50MS float64 `json:"ttft_steady_p50_ms"`
	FirstTokenSteadyMaxMS float64 `json:"ttft_steady_max_ms"`
	FirstTokenFaultsP50MS float64 `json:"ttft_faults_p50_ms"`
	FirstTokenFaultsMaxMS float64 `json:"ttft_faults_max_ms"`
	// PlannedStops counts restarts of routers and agents; CutByPlannedStop the
	// requests of that part that were not answered whole; it must be 0.
	PlannedStops     int `json:"planned_stops"`
	PlannedRequests  int `json:"planned_requests"`
	CutByPlannedStop int `json:"cut_by_planned_stop"`
	// RestartToFirstServedMS is a router's start during an outage of the
	// key-value service to its first answer's first token.
	RestartToFirstServedMS float64 `json:"restart_to_first_served_ms"`
}

// Shape of the default run.
const (
	recoveryEngines      = 6
	recoveryRouters      = 2
	recoveryCallers      = 24
	recoveryBlockTokens  = 100
	recoveryEngineBlocks = 4096
	recoveryAnswerTokens = 64
	steadyTime           = 3 * time.Second
	faultsTime           = 20 * time.Second
	rollingTime          = 8 * time.Second
	// everyRestart is more than any run makes.
	everyRestart = 1 << 20
)

// Recovery sends requests while seeded faults hit the fleet, then while it is
// restarted process by process, and counts what callers saw. Options.Duration
// sets the length of the two parts with faults and with restarts.
func Recovery(ctx context.Context, o Options) error {
	f := newFaulty(o)
	defer f.close()
	if err := f.start(ctx); err != nil {
		return errors.Trace(err)
	}
	figures := RecoveryFigures{Seed: o.Seed, Faults: make(map[string]int)}
	b := newBalancer(o.Seed, f.fleet)
	pattern := workload.DefaultConfig(o.Seed, f.fleet.Config.Deployment.Accounts, f.fleet.Config.Deployment.Model,
		localfleet.BlockBytes(recoveryBlockTokens))
	pattern.MaxTokens = recoveryAnswerTokens
	l := startLoad(ctx, f.fleet, b, recoveryCallers, pattern)
	clock.Sleep(ctx, steadyTime)
	steady := l.turn()
	f.run(ctx, orDefault(o.Duration, faultsTime), rand.New(rand.NewPCG(o.Seed, 1)), figures.Faults)
	faulted := l.stop()
	o.progress("faults: %d requests, %d errors", faulted.requests, faulted.explicit)
	planned := startLoad(ctx, f.fleet, b, recoveryCallers, pattern)
	r := newRoller(f.fleet, b)
	err := r.roll(ctx, everyRestart, time.Now().Add(orDefault(o.Duration, rollingTime)))
	stops := planned.stop()
	if err != nil {
		return errors.Trace(err)
	}
	figures.fill(&steady, &faulted, f.log)
	figures.PlannedStops = r.routers + r.agents
	figures.PlannedRequests = stops.requests
	figures.CutByPlannedStop = stops.wrong + stops.incomplete + stops.explicit
	outage := kvfake.DefaultFaults()
	outage.Outage = true
	f.fleet.KVServer.SetFaults(outage)
	served, err := restartRouter(ctx, f.fleet, workload.New(pattern).Next())
	f.fleet.KVServer.SetFaults(kvfake.DefaultFaults())
	if err != nil {
		return errors.Trace(err)
	}
	figures.RestartToFirstServedMS = float64(served.Microseconds()) / 1000
	return o.print(figures)
}

func orDefault(duration, otherwise time.Duration) time.Duration {
	if duration > 0 {
		return duration
	}
	return otherwise
}

func (r *RecoveryFigures) fill(steady, faulted *verdicts, log *recoveryLog) {
	r.Requests = steady.requests + faulted.requests
	r.WrongAnswers = steady.wrong + faulted.wrong
	r.IncompleteStreams = steady.incomplete + faulted.incomplete
	r.ExplicitErrors = steady.explicit + faulted.explicit
	r.ErrorCodes = faulted.codes
	r.FirstTokenSteadyP50MS = steady.first.QuantileMS(0.5)
	r.FirstTokenSteadyMaxMS = steady.first.QuantileMS(1)
	r.FirstTokenFaultsP50MS = faulted.first.QuantileMS(0.5)
	r.FirstTokenFaultsMaxMS = faulted.first.QuantileMS(1)
	log.fill(r)
}

// recoveryEngine is the pattern of the run's engines.
func recoveryEngine() enginefake.Config {
	return enginefake.Config{
		BlockTokens: recoveryBlockTokens, TotalBlocks: recoveryEngineBlocks,
		DecodeStep: 5 * time.Millisecond, PrefillTokensPerSecond: 200000,
	}
}
