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

// OnceFigures are what callers and services saw of at-most-once calls.
type OnceFigures struct {
	Seed  uint64 `json:"seed"`
	Keys  int    `json:"keys"`
	Calls int    `json:"calls"`
	// ExecutionsMaxPerKey is counted at the services.
	ExecutionsMaxPerKey int `json:"executions_max_per_key"`
	// NotRunAnswers are the answers that said "not run"; FalseNotRun counts
	// those whose request ran, and keys told nothing else that ran.
	NotRunAnswers int `json:"not_run_answers"`
	FalseNotRun   int `json:"false_not_run"`
	// WrongAnswers counts answers of another request, and keys that were
	// answered and did not run.
	WrongAnswers int `json:"wrong_answers"`
	// UnknownShare and RefusedShare are of the keys, by their last outcome.
	UnknownShare float64 `json:"unknown_share"`
	RefusedShare float64 `json:"refused_share"`
	// UnknownFirstShare is of the keys, by the outcome of the first call.
	UnknownFirstShare float64 `json:"unknown_first_share"`
	RefusedFirstShare float64 `json:"refused_first_share"`
	// Calm is the part without faults; the added latency is that of a once
	// call against the same call on an idempotent route.
	CalmUnknown    int            `json:"calm_unknown"`
	CalmRefused    int            `json:"calm_refused"`
	IdempotentP50  float64        `json:"idempotent_p50_ms"`
	IdempotentP99  float64        `json:"idempotent_p99_ms"`
	OnceP50        float64        `json:"once_p50_ms"`
	OnceP99        float64        `json:"once_p99_ms"`
	AddedP50       float64        `json:"added_p50_ms"`
	AddedP99       float64        `json:"added_p99_ms"`
	KVWritesPerS   float64        `json:"kv_writes_per_s"`
	CallsPerS      float64        `json:"calls_per_s"`
	Restarts       int            `json:"restarts"`
	Faults         map[string]int `json:"faults"`
	UnknownByFault map[string]int `json:"unknown_by_fault"`
	RefusedByFault map[string]int `json:"refused_by_fault"`
	Codes          map[string]int `json:"codes"`
	Duration       float64        `json:"duration_s"`
}

const (
	onceEngines     = 6
	onceRouters     = 3
	onceCallers     = 24
	onceBlockTokens = 500
	// onceCalm and onceFaults are the default times of the two parts.
	onceCalm   = 8 * time.Second
	onceFaults = 22 * time.Second
	// onceCallRate is the rate of new keys a second over all callers.
	onceCallRate = 60
	// onceMaxTries bounds the calls with one key.
	onceMaxTries = 6
	// onceLingering is the wait for calls under way before the count.
	onceLingering = 3 * time.Second
)

// AtMostOnce measures at-most-once calls: first without faults, then under seeded
// ones. Callers repeat with the same key as real ones do. The services count.
func AtMostOnce(ctx context.Context, o Options) error {
	deployment := localfleet.BeaulieuDeployment()
	deployment.Pools[0].TargetCount = onceEngines
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: onceRouters, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: enginefake.Config{BlockTokens: onceBlockTokens},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	run := newOnceRun(fleet, o)
	run.calmKV()
	if err := run.awaitServed(ctx); err != nil {
		return errors.Trace(err)
	}
	run.progress("without faults")
	run.calm(ctx)
	run.progress("with faults")
	run.slowServices()
	run.faults(ctx)
	figures := run.figures(ctx)
	if err := o.print(figures); err != nil {
		return err
	}
	if figures.ExecutionsMaxPerKey > 1 || figures.FalseNotRun > 0 || figures.WrongAnswers > 0 {
		return errors.New("an at-most-once call ran twice, was called not run, or was answered wrongly")
	}
	return nil
}

// onceRun is one run.
type onceRun struct {
	Options
	fleet   *localfleet.Fleet
	client  *http.Client
	random  *rand.Rand
	started time.Time

	mu    sync.Mutex
	keys  []onceKey
	calls int
	codes map[string]int
	// notRun are the requests that were told "not run".
	notRun []string
	// hurried makes callers leave early.
	hurried atomic.Bool
	// fault names the fault in force, empty for none.
	fault  string
	counts map[string]int
	// restarts counts crashes and planned stops of agents.
	restarts                int
	idempotent, once, added stats.DurationHistogram
	calmKeys                int
	calmWrites              uint64
	calmTime                time.Duration
}

// onceKey is what became of one key.
type onceKey struct {
	business string
	fault    string
	first    onceAnswer
	last     onceAnswer
	// onlyNotRun says that every call with the key was told "not run".
	onlyNotRun bool
}

func newOnceRun(fleet *localfleet.Fleet, o Options) *onceRun {
	return &onceRun{
		Options: o, fleet: fleet, started: time.Now(),
		client: &http.Client{
			Timeout:   onceCallerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: onceCallers},
		},
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		codes:  map[string]int{}, counts: map[string]int{},
	}
}

func (r *onceRun) part(standard time.Duration) time.Duration {
	if r.Duration > 0 {
		return r.Duration
	}
	return standard
}

// awaitServed waits until once calls are served.
func (r *onceRun) awaitServed(ctx context.Context) error {
	for i := 0; ; i++ {
		served := 0
		for k := range 2 * onceCallers {
			answer := r.redeem(ctx, k, fmt.Sprintf("first-%d-%d", i, k), "/redemptions")
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

// calm measures the record's cost: each caller sends the same call on the
// idempotent route and on the once route in turn.
func (r *onceRun) calm(ctx context.Context) {
	before := r.fleet.KVServer.Counters().Writes
	began := time.Now()
	r.load(ctx, r.part(onceCalm), "calm", func(caller int, business string) {
		sent := time.Now()
		plain := r.redeem(ctx, caller, business+"-plain", "/lookups")
		plainTime := time.Since(sent)
		sent = time.Now()
		key := onceKey{business: business, fault: "calm"}
		key.first = r.redeem(ctx, caller, business, "/redemptions")
		onceTime := time.Since(sent)
		key.last = key.first
		key.onlyNotRun = key.first.notRun()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys = append(r.keys, key)
		if plain.served() && key.first.served() {
			r.idempotent.Record(plainTime)
			r.once.Record(onceTime)
			r.added.Record(max(onceTime-plainTime, 0))
		}
	})
	r.calmTime = time.Since(began)
	r.calmWrites = r.fleet.KVServer.Counters().Writes - before
	r.calmKeys = len(r.keys)
}

// faults sends calls under faults; each caller repeats a call that was not
// answered with the same key.
func (r *onceRun) faults(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	faultCtx, stop := context.WithTimeout(ctx, r.part(onceFaults))
	go func() {
		defer close(done)
		r.injectFaults(faultCtx)
	}()
	r.load(ctx, r.part(onceFaults), "fault", func(caller int, business string) {
		key := onceKey{business: business, fault: r.faultNow()}
		for try := range onceMaxTries {
			key.last = r.redeem(ctx, caller+try, business, "/redemptions")
			if try == 0 {
				key.first = key.last
			}
			key.onlyNotRun = key.last.notRun() && (try == 0 || key.onlyNotRun)
			if key.last.final() || !clock.Sleep(ctx, key.last.wait()) {
				break
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys = append(r.keys, key)
	})
	stop()
	<-done
	cancel()
}

// load runs a function at the run's rate, with a bound on callers.
func (r *onceRun) load(ctx context.Context, duration time.Duration, name string, call func(caller int, business string)) {
	places := make(chan struct{}, onceCallers*4)
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / onceCallRate)
	defer ticker.Stop()
	deadline := time.Now().Add(duration)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		<-ticker.C
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			call(i, fmt.Sprintf("%s-%d", name, i))
		})
	}
	group.Wait()
}

// progress prints one line for a person.
func (r *onceRun) progress(format string, args ...any) {
	r.Options.progress(format, args...)
}
