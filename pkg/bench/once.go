package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// AtMostOnceResult compares the outcomes that callers of at-most-once calls
// received with the executions counted at the services.
type AtMostOnceResult struct {
	Seed  uint64 `json:"seed"`
	Keys  int    `json:"keys"`
	Calls int    `json:"calls"`
	// ExecutionsMaxPerKey is the highest number of executions of one key,
	// counted at the services.
	ExecutionsMaxPerKey int `json:"executions_max_per_key"`
	// NotRunAnswers counts answers with the outcome "not run". FalseNotRun
	// counts those whose request was executed, plus the keys that were executed
	// although every call was answered "not run".
	NotRunAnswers int `json:"not_run_answers"`
	FalseNotRun   int `json:"false_not_run"`
	// WrongAnswers counts answers that belong to another request, and keys that
	// were answered without having been executed.
	WrongAnswers int `json:"wrong_answers"`
	// UnknownShare and RefusedShare are shares of the keys, by the outcome of
	// the last call.
	UnknownShare float64 `json:"unknown_share"`
	RefusedShare float64 `json:"refused_share"`
	// UnknownFirstShare and RefusedFirstShare are shares of the keys, by the
	// outcome of the first call.
	UnknownFirstShare float64 `json:"unknown_first_share"`
	RefusedFirstShare float64 `json:"refused_first_share"`
	// The fault-free phase compares at-most-once calls with the same calls on
	// an idempotent route. The added latency is the difference.
	FaultFreeUnknown int            `json:"calm_unknown"`
	FaultFreeRefused int            `json:"calm_refused"`
	IdempotentP50MS  float64        `json:"idempotent_p50_ms"`
	IdempotentP99MS  float64        `json:"idempotent_p99_ms"`
	OnceP50MS        float64        `json:"once_p50_ms"`
	OnceP99MS        float64        `json:"once_p99_ms"`
	AddedP50MS       float64        `json:"added_p50_ms"`
	AddedP99MS       float64        `json:"added_p99_ms"`
	KVWritesPerS     float64        `json:"kv_writes_per_s"`
	CallsPerS        float64        `json:"calls_per_s"`
	Restarts         int            `json:"restarts"`
	Faults           map[string]int `json:"faults"`
	UnknownByFault   map[string]int `json:"unknown_by_fault"`
	RefusedByFault   map[string]int `json:"refused_by_fault"`
	Codes            map[string]int `json:"codes"`
	DurationSeconds  float64        `json:"duration_s"`
}

const (
	onceEngines     = 6
	onceRouters     = 3
	onceCallers     = 24
	onceBlockTokens = 500
	// onceFaultFreeDuration and onceFaultsDuration are the default lengths of
	// the two phases.
	onceFaultFreeDuration = 8 * time.Second
	onceFaultsDuration    = 22 * time.Second
	// onceCallsPerSecond is the rate of new keys over all callers.
	onceCallsPerSecond = 60
	// onceMaxAttempts bounds the number of calls with one key.
	onceMaxAttempts = 6
	// onceDrainTime is the wait for calls in flight before executions are
	// counted.
	onceDrainTime = 3 * time.Second
)

// AtMostOnce measures at-most-once calls, first without faults and then under
// seeded faults. Callers retry with the same idempotency key, as real callers
// do, and the services count the executions.
func AtMostOnce(ctx context.Context, o Options) error {
	deployment := localfleet.BeaulieuDeployment()
	deployment.Pools[0].TargetCount = onceEngines
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: onceRouters, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{BlockTokens: onceBlockTokens},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	run := newOnceRun(fleet, o)
	run.resetKVFaults()
	if err := run.waitUntilServing(ctx); err != nil {
		return errors.Trace(err)
	}
	run.progress("without faults")
	run.runFaultFree(ctx)
	run.progress("with faults")
	run.setServiceLatency()
	run.runWithFaults(ctx)
	result := run.result(ctx)
	if err := o.printJSON(result); err != nil {
		return err
	}
	if result.ExecutionsMaxPerKey > 1 || result.FalseNotRun > 0 || result.WrongAnswers > 0 {
		return errors.New("an at-most-once call ran twice, was called not run, or was answered wrongly")
	}
	return nil
}

// onceRun holds the state of one run of AtMostOnce.
type onceRun struct {
	Options
	fleet   *localfleet.Fleet
	client  *http.Client
	random  *rand.Rand
	started time.Time

	mu    sync.Mutex
	keys  []onceKeyResult
	calls int
	codes map[string]int
	// notRunRequestIDs are the requests that were answered "not run".
	notRunRequestIDs []string
	// abortCalls makes callers disconnect after callerAbortTimeout.
	abortCalls atomic.Bool
	// activeFault names the active faults, or, prefixed with "after", those
	// cleared last. It is empty before the first fault.
	activeFault string
	faultCounts map[string]int
	// restarts counts crashes and planned stops of agents.
	restarts                               int
	idempotentTimes, onceTimes, addedTimes stats.DurationHistogram
	faultFreeKeys                          int
	faultFreeKVWrites                      uint64
	faultFreeDuration                      time.Duration
}

// onceKeyResult holds the outcomes of the calls with one key.
type onceKeyResult struct {
	businessKey string
	fault       string
	first       onceAnswer
	last        onceAnswer
	// alwaysNotRun reports whether every call with the key was answered "not
	// run".
	alwaysNotRun bool
}

func newOnceRun(fleet *localfleet.Fleet, o Options) *onceRun {
	return &onceRun{
		Options: o, fleet: fleet, started: time.Now(),
		client: &http.Client{
			Timeout:   onceCallerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: onceCallers},
		},
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		codes:  map[string]int{}, faultCounts: map[string]int{},
	}
}

func (r *onceRun) phaseDuration(defaultDuration time.Duration) time.Duration {
	if r.Duration > 0 {
		return r.Duration
	}
	return defaultDuration
}

// waitUntilServing sends rounds of at-most-once calls until all calls of a
// round are served.
func (r *onceRun) waitUntilServing(ctx context.Context) error {
	for i := 0; ; i++ {
		served := 0
		for k := range 2 * onceCallers {
			answer := r.call(ctx, k, fmt.Sprintf("first-%d-%d", i, k), "/redemptions")
			if answer.served() {
				served++
			}
		}
		if served == 2*onceCallers {
			return nil
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return errors.Annotate(ctx.Err(), "no slot owners")
		}
	}
}

// runFaultFree measures the cost of the idempotency record: each caller sends
// the same call first on the idempotent route and then on the at-most-once
// route.
func (r *onceRun) runFaultFree(ctx context.Context) {
	writesBefore := r.fleet.KVServer.Counters().Writes
	startedAt := time.Now()
	r.sendLoad(ctx, r.phaseDuration(onceFaultFreeDuration), "calm", func(index int, businessKey string) {
		sentAt := time.Now()
		idempotent := r.call(ctx, index, businessKey+"-plain", "/lookups")
		idempotentTime := time.Since(sentAt)
		sentAt = time.Now()
		key := onceKeyResult{businessKey: businessKey, fault: "calm"}
		key.first = r.call(ctx, index, businessKey, "/redemptions")
		onceTime := time.Since(sentAt)
		key.last = key.first
		key.alwaysNotRun = key.first.notRun()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys = append(r.keys, key)
		if idempotent.served() && key.first.served() {
			r.idempotentTimes.Record(idempotentTime)
			r.onceTimes.Record(onceTime)
			r.addedTimes.Record(max(onceTime-idempotentTime, 0))
		}
	})
	r.faultFreeDuration = time.Since(startedAt)
	r.faultFreeKVWrites = r.fleet.KVServer.Counters().Writes - writesBefore
	r.faultFreeKeys = len(r.keys)
}

// runWithFaults sends calls while faults are injected. A caller retries a call
// with the same key until the outcome is final.
func (r *onceRun) runWithFaults(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	faultCtx, stopFaults := context.WithTimeout(ctx, r.phaseDuration(onceFaultsDuration))
	go func() {
		defer close(faultsDone)
		r.injectFaults(faultCtx)
	}()
	r.sendLoad(ctx, r.phaseDuration(onceFaultsDuration), "fault", func(index int, businessKey string) {
		key := onceKeyResult{businessKey: businessKey, fault: r.currentFault()}
		for attempt := range onceMaxAttempts {
			key.last = r.call(ctx, index+attempt, businessKey, "/redemptions")
			if attempt == 0 {
				key.first = key.last
			}
			key.alwaysNotRun = key.last.notRun() && (attempt == 0 || key.alwaysNotRun)
			if key.last.final() || !clock.Sleep(ctx, key.last.retryDelay()) {
				break
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys = append(r.keys, key)
	})
	stopFaults()
	<-faultsDone
	cancel()
}

// sendLoad invokes call at the run's rate, with a bounded number of calls in
// flight.
func (r *onceRun) sendLoad(ctx context.Context, duration time.Duration, name string, call func(index int, businessKey string)) {
	semaphore := make(chan struct{}, onceCallers*4)
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / onceCallsPerSecond)
	defer ticker.Stop()
	deadline := time.Now().Add(duration)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		<-ticker.C
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			call(i, fmt.Sprintf("%s-%d", name, i))
		})
	}
	calls.Wait()
}

// progress prints a human-readable progress line unless JSON is set.
func (r *onceRun) progress(format string, args ...any) {
	r.Options.progress(format, args...)
}
