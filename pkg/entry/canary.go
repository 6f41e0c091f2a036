package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

const (
	// judgeInterval is the interval between two judgements of a rollout that has not ended.
	judgeInterval = 50 * time.Millisecond
	// storeNewsTTL is the time for which a peer's message shows that the store is available.
	storeNewsTTL = 500 * time.Millisecond
	// progressInterval is the interval of the log lines and metrics about such a rollout.
	progressInterval = time.Second
)

// canaryKeeper carries out the operators' orders to move services to other software versions. It
// implements relay.VersionRollouts. Its methods do nothing if it is nil.
type canaryKeeper struct {
	entry *Entry
	// changed requests a look at the store's records.
	changed chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	byService map[string]*serviceRollout
	// withdrawn holds, by service, the versions whose rollouts were reverted, or replaced by another
	// order before they were complete. The inner maps are never changed.
	withdrawn map[string]map[string]bool
	runs      canaryRuns
	// storeHeardAt is the time of the latest message about a rollout from a peer that reaches
	// the store.
	storeHeardAt time.Duration
}

// serviceRollout is the latest order for a service.
type serviceRollout struct {
	*canary.Rollout
	// learnedAt is the time at which this process learned of the order.
	learnedAt time.Duration
	// hasOld is set once a target of a version was listed that the order replaces. Without one
	// there is nothing to move from.
	hasOld     bool
	finding    canary.Finding
	progressAt time.Duration
	// record is the store's record as the leader knows it. It is valid if recordClaim is the
	// claim under which the leader acts now.
	record      canary.Record
	recordClaim recordClaim
	// readAt is the time of the latest read by a process that doesn't lead; 0 before.
	readAt time.Duration
}

func newCanaryKeeper(entry *Entry) *canaryKeeper {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &canaryKeeper{entry: entry, changed: make(chan struct{}, 1), random: random, byService: map[string]*serviceRollout{}, withdrawn: map[string]map[string]bool{}, runs: newCanaryRuns()}
}

// applyOrder applies an operator's order.
func (k *canaryKeeper) applyOrder(entry *kv.Entry) {
	if k == nil {
		return
	}
	order, err := k.entry.platform.DecodeRollout(entry.Value)
	if err != nil {
		k.entry.log.Log(eventlog.ConfigRejected, "err", err, "in_force", 0)
		return
	}
	order.Revision = entry.Revision
	k.mu.Lock()
	defer k.mu.Unlock()
	k.putOrder(k.entry.uptime(), 0, order, sourceStore)
}

// putOrder records an order, unless a newer one for the service is known, and returns the rollout if
// that is the latest one. The caller must hold k.mu.
func (k *canaryKeeper) putOrder(now, age time.Duration, order canary.Order, source string) *serviceRollout {
	if known, ok := k.byService[order.Service]; ok {
		latest := known.Order()
		if latest.IsSame(&order) {
			known.Renumber(order.Revision)
			return known
		}
		if order.Revision <= latest.Revision {
			return nil
		}
		state, _ := known.State()
		k.setWithdrawn(order.Service, latest.Target, state != canary.Complete)
	}
	k.setWithdrawn(order.Service, order.Target, false)
	bounds := canary.Bounds{Share: k.entry.settings.ExposureShare, Rollback: k.entry.settings.RollbackTime}
	r := &serviceRollout{Rollout: canary.New(now, age, order, bounds, k.random), learnedAt: now}
	k.byService[order.Service] = r
	k.entry.log.Log(eventlog.RolloutOrdered, "service", order.Service, "target", order.Target, "duration_ms", order.Duration.Milliseconds(),
		"age_ms", age.Milliseconds(), "revision", order.Revision, "source", source)
	k.entry.gossip.SendUrgent()
	k.requestRecords()
	return r
}

// setWithdrawn records whether a version of a service is withdrawn. The caller must hold k.mu.
func (k *canaryKeeper) setWithdrawn(service, version string, isWithdrawn bool) {
	versions := maps.Clone(k.withdrawn[service])
	if versions == nil {
		versions = map[string]bool{}
	}
	if isWithdrawn {
		versions[version] = true
	} else {
		delete(versions, version)
	}
	k.withdrawn[service] = versions
}

// updateOld looks for a target that the order replaces, unless one has been seen. The caller must
// hold k.mu.
func (k *canaryKeeper) updateOld(now time.Duration, r *serviceRollout) {
	if !r.hasOld {
		order := r.Order()
		r.hasOld = k.hasOldTarget(now, &order, k.withdrawn[order.Service])
	}
}

// learn applies what a peer knows of rollouts.
func (k *canaryKeeper) learn(now time.Duration, sender string, news []canary.News) {
	if k == nil || len(news) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range news {
		if news[i].HasStore {
			k.storeHeardAt = now
		}
		r := k.putOrder(now, news[i].Age, news[i].Order, sender)
		if r != nil && r.Learn(now, &news[i]) {
			k.handleChange(now, r, sender)
		}
	}
}

// handleChange logs a new state and tells all processes. The caller must hold k.mu.
func (k *canaryKeeper) handleChange(now time.Duration, r *serviceRollout, source string) {
	order := r.Order()
	state, reason := r.State()
	f := &r.finding
	k.entry.log.Log(eventlog.RolloutChanged, "service", order.Service, "target", order.Target, "state", state.String(), "reason", reason, "source", source,
		"age_ms", r.Age(now).Milliseconds(), "new_runs", f.New.Runs, "new_failures", f.New.Failures, "new_timed", f.New.Timed, "new_slow", f.New.Slow,
		"old_runs", f.Old.Runs, "old_failures", f.Old.Failures, "old_timed", f.Old.Timed, "old_slow", f.Old.Slow, "likelihood", f.Likelihood)
	if state.IsFinal() {
		k.entry.metrics.Scope.Tagged(map[string]string{"service": order.Service, "state": state.String()}).Counter("rollouts_ended").Inc(1)
	}
	k.entry.gossip.SendUrgent()
	k.requestRecords()
}

// news returns what this process knows of rollouts, without counts.
func (k *canaryKeeper) news(now time.Duration) []canary.News {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var news []canary.News
	for _, r := range k.byService {
		n := r.News(now)
		n.HasStore = k.entry.directory.IsRegistryAvailable()
		news = append(news, n)
	}
	return news
}

// addReports adds the counts of this process to news, or of its whole group, as long as a rollout has not ended.
func (k *canaryKeeper) addReports(now time.Duration, news []canary.News, ofGroup bool) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range news {
		r, ok := k.byService[news[i].Order.Service]
		if !ok || news[i].State.IsFinal() || r.Order() != news[i].Order {
			continue
		}
		inFlight := k.runs.inFlightAtOthers(news[i].Order.Service, news[i].Order.Target)
		if ofGroup {
			news[i].Report = r.GroupReport(now, inFlight, isProcessName)
		} else {
			news[i].Report = r.OwnReport(inFlight)
		}
	}
}

// recordReports records the counts of a peer, or of another group of processes.
func (k *canaryKeeper) recordReports(now time.Duration, sender, boot string, news []canary.News) {
	if k == nil || len(news) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range news {
		r, ok := k.byService[news[i].Order.Service]
		if !ok || news[i].State.IsFinal() {
			continue
		}
		if order := r.Order(); order.IsSame(&news[i].Order) {
			r.RecordReport(now, sender, boot, &news[i].Report)
		}
	}
}

// recordSuspectedEnd records that a run of a target may have ended. It is called without k.mu.
func (k *canaryKeeper) recordSuspectedEnd(now time.Duration, boot fleet.Boot) {
	if k == nil {
		return
	}
	target, ok := k.entry.directory.Get(boot.ID)
	if !ok || target.Boot() != boot || target.Draining || !k.entry.directory.IsRegistryAvailable() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, ok := k.byService[target.Service]; ok {
		r.RecordCrash(now, boot, target.SoftwareVersion == r.Order().Target)
	}
}

// runState returns what is known of a run that has seemed to crash.
func (k *canaryKeeper) runState(run fleet.Boot) canary.RunState {
	switch {
	case k.entry.directory.HasEnded(run):
		return canary.HasEnded
	case k.entry.directory.IsInDoubt(run):
		return canary.MayHaveEnded
	default:
		return canary.IsRunning
	}
}

// runJudge applies the evidence to the rollouts until ctx is cancelled. It makes no calls, so that
// a slow store doesn't delay a roll-back.
func (k *canaryKeeper) runJudge(ctx context.Context) {
	for k != nil && clock.Sleep(ctx, judgeInterval) {
		_, isLeader := k.entry.lease.leaderFencingToken()
		now := k.entry.uptime()
		k.mu.Lock()
		k.countBrokenRuns(now)
		for _, r := range k.byService {
			k.judge(now, r, isLeader)
		}
		k.mu.Unlock()
	}
}

// judge judges one rollout. The caller must hold k.mu.
func (k *canaryKeeper) judge(now time.Duration, r *serviceRollout, isLeader bool) {
	if state, _ := r.State(); state.IsFinal() {
		return
	}
	if config := k.entry.config.Load(); isLeader && config != nil {
		if _, ok := config.Services[r.Order().Service]; !ok && r.Raise(canary.Reverted, canary.ReasonNoService) {
			k.handleChange(now, r, sourceSelf)
			return
		}
	}
	if isLeader && k.isOnlyVersion(now, r) && r.Raise(canary.Switching, canary.ReasonOnlyVersion) {
		k.handleChange(now, r, sourceSelf)
		return
	}
	r.SettleCrashes(k.runState)
	finding, changed := r.Judge(now, isLeader)
	r.finding = finding
	if changed {
		k.handleChange(now, r, sourceSelf)
	}
	if now-r.progressAt >= progressInterval {
		r.progressAt = now
		k.reportProgress(now, r)
	}
}

// isOnlyVersion reports whether the service has targets of the ordered version alone, so that the
// order is already carried out. Targets whose entries lapsed during an outage of the registry have
// registered again by then. The caller must hold k.mu.
func (k *canaryKeeper) isOnlyVersion(now time.Duration, r *serviceRollout) bool {
	k.updateOld(now, r)
	order := r.Order()
	return !r.hasOld && r.Age(now) >= fleet.RegistryRecoveryGrace && k.entry.directory.IsRegistryAvailable() && k.hasTarget(now, &order)
}

// reportProgress logs and measures the progress of a rollout. The caller must hold k.mu.
func (k *canaryKeeper) reportProgress(now time.Duration, r *serviceRollout) {
	order := r.Order()
	state, _ := r.State()
	all, exposed := r.Counts()
	f := &r.finding
	k.entry.log.Log(eventlog.RolloutProgress, "service", order.Service, "target", order.Target, "state", state.String(), "age_ms", r.Age(now).Milliseconds(),
		"sent", all, "sent_new", exposed, "new_runs", f.New.Runs, "new_failures", f.New.Failures, "new_timed", f.New.Timed, "new_slow", f.New.Slow,
		"old_runs", f.Old.Runs, "old_failures", f.Old.Failures, "old_timed", f.Old.Timed, "old_slow", f.Old.Slow, "likelihood", f.Likelihood)
	scope := k.entry.metrics.Scope.Tagged(map[string]string{"service": order.Service})
	scope.Gauge("rollout_state").Update(float64(state))
	scope.Gauge("rollout_sent").Update(float64(all))
	scope.Gauge("rollout_sent_new").Update(float64(exposed))
	scope.Gauge("rollout_new_runs").Update(float64(f.New.Runs))
	scope.Gauge("rollout_new_failures").Update(float64(f.New.Failures))
	scope.Gauge("rollout_new_slow").Update(float64(f.New.Slow))
	scope.Gauge("rollout_likelihood").Update(f.Likelihood)
}
