package bench

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// LimitsFigures are what one run of Limits found.
type LimitsFigures struct {
	Seed    uint64         `json:"seed"`
	Fault   string         `json:"fault"`
	Seconds float64        `json:"seconds"`
	Account []AccountLimit `json:"accounts"`
	// KeyWithdrawnMaxS is the time from the publication of a bundle without a
	// key to the first refusal of a caller that stayed connected, at the last
	// router; BundleInForce the time until processes have that bundle in force.
	KeyWithdrawnMaxS  float64 `json:"key_withdrawn_max_s"`
	BundleInForceP50S float64 `json:"bundle_in_force_p50_s"`
	BundleInForceMaxS float64 `json:"bundle_in_force_max_s"`
	BundleReverts     int     `json:"bundle_reverts"`
	// Calls of the key-value service that it let in, without the run's own
	// publications; KVLimited counts those above its rates.
	KVReadsPerS  float64 `json:"kv_reads_per_s"`
	KVWritesPerS float64 `json:"kv_writes_per_s"`
	KVLimited    uint64  `json:"kv_limited"`
	// CPUShare is the processor time of the whole run, fakes and load
	// included, as a share of one processor.
	CPUShare float64 `json:"cpu_share"`
	// Reconnects counts connections that a router did not take; the load then
	// goes to the next router.
	Reconnects int `json:"reconnects"`
	// ByCode counts the requests that were not served, by code.
	ByCode map[string]int `json:"not_served_by_code"`
	// FirstTokenP99MS is over all served requests, those that waited for tokens
	// included.
	FirstTokenP99MS float64 `json:"first_token_p99_ms"`
}

const (
	limitsRouters     = 3
	limitsBlockTokens = 2000
	limitsLoad        = 15 * time.Second
	limitsRate        = 4000
	limitsBurst       = 16_000
	limitsWarmUp      = time.Second
	startTimeout      = 20 * time.Second
)

// Limits runs a fleet of routers and agents under load of several accounts and
// one fault, and judges at the targets whether account rates held.
func Limits(ctx context.Context, o Options) error {
	fault, known := limitsFaults[o.Fault]
	if !known && o.Fault != "" {
		return errors.NotValidf("fault %q", o.Fault)
	}
	if o.Duration <= 0 {
		o.Duration = limitsLoad
	}
	run, err := startLimitsRun(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer run.fleet.Close()
	o.progress("%d routers and %d agents run; the load takes %s, fault %q", limitsRouters, len(run.fleet.Targets), o.Duration, o.Fault)
	figures, err := run.measure(ctx, fault)
	if err != nil {
		return errors.Trace(err)
	}
	return o.print(figures)
}

// limitsRun is one run of Limits.
type limitsRun struct {
	options    Options
	deployment localfleet.Deployment
	fleet      *localfleet.Fleet
	bundle     bundle.Bundle
	oracle     *limitsOracle
	entries    *entryClients
	watch      *versionWatch
}

func startLimitsRun(ctx context.Context, o Options) (*limitsRun, error) {
	deployment, err := o.deployment()
	if err != nil {
		return nil, errors.Trace(err)
	}
	deployment.RateTokensPerSecond, deployment.BurstTokens = limitsRate, limitsBurst
	r := &limitsRun{options: o, deployment: deployment, oracle: newLimitsOracle(deployment)}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.fleet, err = localfleet.Start(startCtx, localfleet.Config{
		Deployment: deployment, RouterCount: limitsRouters, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: enginefake.Config{
			BlockTokens: limitsBlockTokens, DecodeStep: time.Millisecond, StepTokens: 100_000,
			PrefillTokensPerSecond: 2_000_000, OnEnd: r.oracle.ended,
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.entries = newEntryClients(r.fleet)
	r.bundle = deployment.Bundle(limitsBlockTokens)
	return r, r.addKey(ctx)
}

// withdrawnKey is a second key of the last account, which the run withdraws.
const withdrawnKey = "second-key-of-the-last-account"

func (r *limitsRun) addKey(ctx context.Context) error {
	hash, err := bundle.HashKey(r.bundle.KeySalt, withdrawnKey)
	if err != nil {
		return errors.Trace(err)
	}
	last := &r.bundle.Accounts[len(r.bundle.Accounts)-1]
	last.Keys = append(last.Keys, bundle.Key{ID: "withdrawn", Hash: hash})
	r.bundle.Version++
	return errors.Trace(r.fleet.Publish(ctx, r.bundle))
}

// withdrawKey publishes a bundle without the key.
func (r *limitsRun) withdrawKey(ctx context.Context) error {
	last := &r.bundle.Accounts[len(r.bundle.Accounts)-1]
	last.Keys = last.Keys[:len(last.Keys)-1]
	r.bundle.Version++
	return errors.Trace(r.fleet.Publish(ctx, r.bundle))
}

func (r *limitsRun) measure(ctx context.Context, fault limitsFault) (*LimitsFigures, error) {
	time.Sleep(limitsWarmUp)
	r.watch = newVersionWatch(r.fleet, r.entries)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go r.watch.run(watchCtx)
	before, cpu, started := r.fleet.KVServer.Counters(), cpuTime(), time.Now()

	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		r.load(ctx)
	}()
	withdrawn := make(chan time.Duration, 1)
	err := r.causeFault(ctx, fault, withdrawn)
	<-loaded
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	counters := r.fleet.KVServer.Counters()
	figures := &LimitsFigures{
		Seed: r.options.Seed, Fault: r.options.Fault, Seconds: seconds,
		KVReadsPerS:  float64(counters.Reads-before.Reads) / seconds,
		KVWritesPerS: float64(counters.Writes-before.Writes) / seconds,
		KVLimited:    counters.Limited - before.Limited,
		CPUShare:     (cpuTime() - cpu).Seconds() / seconds,
		Reconnects:   int(r.entries.reconnects.Load()),
	}
	select {
	case figures.KeyWithdrawnMaxS = <-asSeconds(withdrawn):
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	figures.BundleInForceP50S, figures.BundleInForceMaxS, err = r.watch.inForce(ctx)
	if err != nil {
		return nil, err
	}
	figures.BundleReverts = r.watch.revertCount()
	// Answers whose caller left end at the engines a little later.
	time.Sleep(limitsWarmUp)
	r.oracle.judge(figures)
	return figures, nil
}

func asSeconds(durations <-chan time.Duration) <-chan float64 {
	seconds := make(chan float64, 1)
	go func() { seconds <- (<-durations).Seconds() }()
	return seconds
}

// causeFault lets a third of the load pass, begins the fault, withdraws a key
// and ends the fault after the second third.
func (r *limitsRun) causeFault(ctx context.Context, fault limitsFault, withdrawn chan<- time.Duration) error {
	third := r.options.Duration / 3
	time.Sleep(third)
	if fault.publishFirst {
		// Nothing can be published while the service is down.
		if err := r.publishWithdrawal(ctx, withdrawn); err != nil {
			return err
		}
	}
	if fault.begin != nil {
		fault.begin(r)
	}
	if !fault.publishFirst {
		time.Sleep(third / 4)
		if err := r.publishWithdrawal(ctx, withdrawn); err != nil {
			return err
		}
	}
	time.Sleep(third)
	if fault.end != nil {
		return errors.Trace(fault.end(r))
	}
	return nil
}

func (r *limitsRun) publishWithdrawal(ctx context.Context, withdrawn chan<- time.Duration) error {
	watching := r.watchKey(ctx)
	var err error
	const tries = 20
	for range tries {
		// Lost answers make a publication fail although it took effect.
		if err = r.tryWithdrawal(ctx); err == nil {
			break
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	published := time.Now()
	r.watch.published(r.bundle.Version, published)
	go func() { withdrawn <- (<-watching).Sub(published) }()
	return nil
}

func (r *limitsRun) tryWithdrawal(ctx context.Context) error {
	saved := r.bundle
	saved.Accounts = append([]bundle.ClientAccount(nil), saved.Accounts...)
	err := r.withdrawKey(ctx)
	if err == nil || r.watch.newest() >= r.bundle.Version {
		return nil
	}
	r.bundle = saved
	return err
}

// kvFaults sets knobs of the platform's fake.
func (r *limitsRun) kvFaults(change func(*kvfake.Faults)) {
	faults := r.fleet.KVServer.Faults()
	change(&faults)
	r.fleet.KVServer.SetFaults(faults)
}
