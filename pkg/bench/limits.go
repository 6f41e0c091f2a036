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

// LimitsResult is the result of Limits.
type LimitsResult struct {
	Seed     uint64               `json:"seed"`
	Fault    string               `json:"fault"`
	Seconds  float64              `json:"seconds"`
	Accounts []AccountLimitResult `json:"accounts"`
	// KeyWithdrawnMaxS is the time from the publication of a bundle without a
	// key until the last router rejects that key on a connection that was
	// already open. BundleActivationP50S and BundleActivationMaxS are the times
	// until a process has that bundle in force.
	KeyWithdrawnMaxS     float64 `json:"key_withdrawn_max_s"`
	BundleActivationP50S float64 `json:"bundle_in_force_p50_s"`
	BundleActivationMaxS float64 `json:"bundle_in_force_max_s"`
	BundleReverts        int     `json:"bundle_reverts"`
	// KVReadsPerS and KVWritesPerS are the rates of accepted key-value calls,
	// including the run's own publication of the key withdrawal. KVLimited
	// counts the calls rejected for exceeding the service's rates.
	KVReadsPerS  float64 `json:"kv_reads_per_s"`
	KVWritesPerS float64 `json:"kv_writes_per_s"`
	KVLimited    uint64  `json:"kv_limited"`
	// CPUShare is the CPU time of the whole run, including fakes and load
	// generation, as a share of one core.
	CPUShare float64 `json:"cpu_share"`
	// Reconnects counts connections that a router refused. The load is then
	// sent to the next router.
	Reconnects int `json:"reconnects"`
	// ByCode counts the requests that were not served, by error code.
	ByCode map[string]int `json:"not_served_by_code"`
	// FirstTokenP99MS covers all served requests, including those that waited
	// for rate-limit tokens.
	FirstTokenP99MS float64 `json:"first_token_p99_ms"`
}

const (
	limitsRouters             = 3
	limitsBlockTokens         = 2000
	limitsLoadDuration        = 15 * time.Second
	limitsRateTokensPerSecond = 4000
	limitsBurstTokens         = 16_000
	limitsSettleTime          = time.Second
	limitsStartTimeout        = 20 * time.Second
)

// Limits runs a fleet of routers and agents under the load of several accounts,
// injects one fault, and checks at the targets whether the account rates were
// enforced.
func Limits(ctx context.Context, o Options) error {
	fault, found := limitsFaults[o.Fault]
	if !found && o.Fault != "" {
		return errors.NotValidf("fault %q", o.Fault)
	}
	if o.Duration <= 0 {
		o.Duration = limitsLoadDuration
	}
	run, err := startLimitsRun(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer run.fleet.Close()
	o.progress("%d routers and %d agents run; the load takes %s, fault %q", limitsRouters, len(run.fleet.Targets), o.Duration, o.Fault)
	result, err := run.measure(ctx, fault)
	if err != nil {
		return errors.Trace(err)
	}
	return o.printJSON(result)
}

// limitsRun holds the state of one run of Limits.
type limitsRun struct {
	options        Options
	deployment     localfleet.Deployment
	fleet          *localfleet.Fleet
	bundle         bundle.Bundle
	oracle         *limitsOracle
	clients        *routerClients
	versionMonitor *bundleVersionMonitor
}

func startLimitsRun(ctx context.Context, o Options) (*limitsRun, error) {
	deployment, err := o.deployment()
	if err != nil {
		return nil, errors.Trace(err)
	}
	deployment.RateTokensPerSecond, deployment.BurstTokens = limitsRateTokensPerSecond, limitsBurstTokens
	r := &limitsRun{options: o, deployment: deployment, oracle: newLimitsOracle(deployment)}
	startCtx, cancel := context.WithTimeout(ctx, limitsStartTimeout)
	defer cancel()
	r.fleet, err = localfleet.Start(startCtx, localfleet.Config{
		Deployment: deployment, RouterCount: limitsRouters, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{
			BlockTokens: limitsBlockTokens, MinStepDuration: time.Millisecond, StepTokenBudget: 100_000,
			PrefillTokensPerSecond: 2_000_000, OnRequestEnd: r.oracle.recordExecution,
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.clients = newRouterClients(r.fleet)
	r.bundle = deployment.Bundle(limitsBlockTokens)
	return r, r.addKey(ctx)
}

// withdrawnKey is a second key of the last account. The run withdraws it.
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

// withdrawKey publishes a bundle without withdrawnKey.
func (r *limitsRun) withdrawKey(ctx context.Context) error {
	last := &r.bundle.Accounts[len(r.bundle.Accounts)-1]
	last.Keys = last.Keys[:len(last.Keys)-1]
	r.bundle.Version++
	return errors.Trace(r.fleet.Publish(ctx, r.bundle))
}

func (r *limitsRun) measure(ctx context.Context, fault limitsFault) (*LimitsResult, error) {
	time.Sleep(limitsSettleTime)
	r.versionMonitor = newBundleVersionMonitor(r.fleet, r.clients)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	go r.versionMonitor.run(monitorCtx)
	countersBefore, cpuBefore, started := r.fleet.KVServer.Counters(), cpuTime(), time.Now()

	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		r.sendLoad(ctx)
	}()
	rejectionDelay := make(chan time.Duration, 1)
	err := r.runFaultSchedule(ctx, fault, rejectionDelay)
	<-loadDone
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	counters := r.fleet.KVServer.Counters()
	result := &LimitsResult{
		Seed: r.options.Seed, Fault: r.options.Fault, Seconds: seconds,
		KVReadsPerS:  float64(counters.Reads-countersBefore.Reads) / seconds,
		KVWritesPerS: float64(counters.Writes-countersBefore.Writes) / seconds,
		KVLimited:    counters.RateLimited - countersBefore.RateLimited,
		CPUShare:     (cpuTime() - cpuBefore).Seconds() / seconds,
		Reconnects:   int(r.clients.reconnects.Load()),
	}
	select {
	case result.KeyWithdrawnMaxS = <-inSeconds(rejectionDelay):
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	result.BundleActivationP50S, result.BundleActivationMaxS, err = r.versionMonitor.waitForActivation(ctx)
	if err != nil {
		return nil, err
	}
	result.BundleReverts = r.versionMonitor.revertCount()
	// An answer whose caller disconnected ends at the engine a little later.
	time.Sleep(limitsSettleTime)
	r.oracle.evaluate(result)
	return result, nil
}

func inSeconds(durations <-chan time.Duration) <-chan float64 {
	seconds := make(chan float64, 1)
	go func() { seconds <- (<-durations).Seconds() }()
	return seconds
}

// runFaultSchedule injects the fault after the first third of the load,
// publishes the key withdrawal around it, and clears the fault after the second
// third.
func (r *limitsRun) runFaultSchedule(ctx context.Context, fault limitsFault, rejectionDelay chan<- time.Duration) error {
	third := r.options.Duration / 3
	time.Sleep(third)
	if fault.publishFirst {
		// The key-value service accepts no publication during the fault.
		if err := r.publishKeyWithdrawal(ctx, rejectionDelay); err != nil {
			return err
		}
	}
	if fault.inject != nil {
		fault.inject(r)
	}
	if !fault.publishFirst {
		time.Sleep(third / 4)
		if err := r.publishKeyWithdrawal(ctx, rejectionDelay); err != nil {
			return err
		}
	}
	time.Sleep(third)
	if fault.clear != nil {
		return errors.Trace(fault.clear(r))
	}
	return nil
}

func (r *limitsRun) publishKeyWithdrawal(ctx context.Context, rejectionDelay chan<- time.Duration) error {
	rejectedAt := r.pollWithdrawnKey(ctx)
	var err error
	const maxAttempts = 20
	for range maxAttempts {
		// A publication whose response is lost fails although it took effect.
		if err = r.tryWithdrawKey(ctx); err == nil {
			break
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	publishedAt := time.Now()
	r.versionMonitor.recordPublication(r.bundle.Version, publishedAt)
	go func() { rejectionDelay <- (<-rejectedAt).Sub(publishedAt) }()
	return nil
}

func (r *limitsRun) tryWithdrawKey(ctx context.Context) error {
	saved := r.bundle
	saved.Accounts = append([]bundle.ClientAccount(nil), saved.Accounts...)
	err := r.withdrawKey(ctx)
	if err == nil || r.versionMonitor.newestVersion() >= r.bundle.Version {
		return nil
	}
	r.bundle = saved
	return err
}

// changeKVFaults changes the injected faults of the fake key-value service.
func (r *limitsRun) changeKVFaults(change func(*kvfake.Faults)) {
	faults := r.fleet.KVServer.Faults()
	change(&faults)
	r.fleet.KVServer.SetFaults(faults)
}
