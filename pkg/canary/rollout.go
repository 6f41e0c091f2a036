package canary

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// reportTTL is the time for which a peer's report says what the peer does now.
	reportTTL = time.Second
	// rollbackContactDivisor determines the time without news from any peer after which a process
	// sends nothing to the new version: the time to roll back divided by it. The peers
	// may have found the version faulty.
	rollbackContactDivisor = 4
)

// Use says which versions of a service may get a request.
type Use int

const (
	// AnyVersion means that no rollout concerns the request.
	AnyVersion Use = iota
	// OldVersions allows all versions but the new one.
	OldVersions
	// NewVersionFirst allows the new version, or another one if no target of it can be used.
	NewVersionFirst
	// NewVersionIfAvailable allows the new version, or another one if the new one has no target.
	NewVersionIfAvailable
	// OldVersionsFirst allows all versions but the new one, or the new one if no other has a target.
	OldVersionsFirst
)

// PrefersNew reports whether the new version is preferred.
func (u Use) PrefersNew() bool { return u == NewVersionFirst || u == NewVersionIfAvailable }

// Decision is what a rollout decided for an attempt.
type Decision struct {
	Use Use
	// reserved is set if the attempt has a place in the budget.
	reserved bool
}

// Result is what the end of an attempt shows of its target.
type Result int

const (
	// NotSent means that the target didn't get the request.
	NotSent Result = iota
	// NoEvidence means that the end of the request is not to be held against the target or in its favour.
	NoEvidence
	// Refused means that the target didn't run the request.
	Refused
	// Served means that the target answered.
	Served
	// Failed means that the target is to blame for a missing, broken or invalid answer.
	Failed
)

// Outcome is the end of an attempt.
type Outcome struct {
	Route  string
	IsNew  bool
	SentAt time.Duration
	Result Result
	// IsAnswered is set if the target has begun to answer.
	IsAnswered bool
	// IsTimed is set if the time could be compared with the old version's, and IsSlow if it was
	// longer than most of those.
	IsTimed, IsSlow bool
}

// Rollout is one process's state of an order. It is not safe for concurrent use.
type Rollout struct {
	order  Order
	bounds Bounds
	random *rand.Rand
	// firstSeen is the time at which any process first knew the order.
	firstSeen time.Duration
	state     State
	reason    string
	// lastNews is the time of the latest message from a peer about the order.
	lastNews time.Duration
	budget   budget
	own      Evidence
	reports  reports
	crashes  crashes
}

// New returns the state of an order that this process learned of after the given age.
func New(now, age time.Duration, order Order, bounds Bounds, random *rand.Rand) *Rollout {
	return &Rollout{
		order: order, bounds: bounds, random: random, firstSeen: now - age, lastNews: now,
		budget: budget{share: bounds.Share, rounding: random.Float64()},
		own:    Evidence{}, reports: newReports(),
	}
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// State returns the state and the reason for it.
func (r *Rollout) State() (state State, reason string) { return r.state, r.reason }

// Age returns the time since a process first knew the order.
func (r *Rollout) Age(now time.Duration) time.Duration { return now - r.firstSeen }

// Counts returns the requests that this process sent since it learned of the order, and those of them that
// went to the new version.
func (r *Rollout) Counts() (all, exposed int64) { return r.budget.all, r.budget.exposed }

// Renumber records that the order has another revision, after a restore of the store.
func (r *Rollout) Renumber(revision uint64) { r.order.Revision = max(r.order.Revision, revision) }

// Next decides where an attempt goes. isAlone is set if there is no other process. If a reserved
// decision isn't used, it has to be returned.
func (r *Rollout) Next(now time.Duration, isRetry, isAlone bool) Decision {
	switch {
	case r.state == Complete:
		return Decision{Use: NewVersionIfAvailable}
	case r.state == Reverted:
		return Decision{Use: OldVersions}
	case !isAlone && now-r.lastNews > r.bounds.Rollback/rollbackContactDivisor:
		return Decision{Use: r.withoutNews(now)}
	case r.state == Switching:
		return Decision{Use: NewVersionIfAvailable}
	case r.state == Running && !isRetry && r.wantsNew(now):
		r.budget.reserved++
		return Decision{Use: NewVersionFirst, reserved: true}
	default:
		return Decision{Use: r.withoutNews(now)}
	}
}

// withoutNews returns what a process does that must not use the new version by choice. After the
// order's end the old version may have stopped.
func (r *Rollout) withoutNews(now time.Duration) Use {
	if r.order.phaseAt(r.Age(now)) == ended {
		return OldVersionsFirst
	}
	return OldVersions
}

// wantsNew reports whether the next request goes to the new version before the switch.
func (r *Rollout) wantsNew(now time.Duration) bool {
	switch r.order.phaseAt(r.Age(now)) {
	case observing:
		return r.budget.allows() && r.random.Float64() < observationFraction*r.bounds.Share
	case loadTesting:
		return r.budget.allows()
	default:
		return false
	}
}

// Return returns a decision for which no attempt at the new version began.
func (r *Rollout) Return(decision Decision) {
	if decision.reserved {
		r.budget.reserved--
	}
}

// Begin records that an attempt begins. A reserved decision must belong to an attempt at the new
// version.
func (r *Rollout) Begin(decision Decision, isNew bool) {
	r.Return(decision)
	if isNew {
		r.budget.exposed++
	}
}

// End records the end of an attempt that has begun under this order.
func (r *Rollout) End(outcome Outcome) {
	switch {
	case outcome.Result == NotSent && outcome.IsNew:
		r.budget.exposed--
	case outcome.IsAnswered && outcome.Result != Refused:
		r.budget.all++
	}
	if outcome.Result != Served && outcome.Result != Failed {
		return
	}
	key := Key{Route: outcome.Route, New: outcome.IsNew, Slice: r.order.sliceAt(outcome.SentAt - r.firstSeen)}
	counts := r.own[key]
	counts.Runs++
	if outcome.Result == Failed {
		counts.Failures++
	}
	if outcome.IsTimed {
		counts.Timed++
	}
	if outcome.IsSlow {
		counts.Slow++
	}
	r.own[key] = counts
}

// RecordCrash records that a run of a target of the service has seemed to crash.
func (r *Rollout) RecordCrash(now time.Duration, run fleet.Boot, isNew bool) {
	r.crashes.record(now, run, isNew)
}

// SettleCrashes applies what is known by now of the runs that have seemed to crash.
func (r *Rollout) SettleCrashes(state func(run fleet.Boot) RunState) { r.crashes.settle(state) }

// News is what a process tells the others of a rollout.
type News struct {
	Order Order
	Age   time.Duration
	State State
	// Reason says why the rollout was reverted.
	Reason string
	// HasStore is set if the sender reaches the store.
	HasStore bool
	// Report is only part of messages that hold a process's whole state.
	Report Report
}

// News returns what this process knows of the order, without any counts.
func (r *Rollout) News(now time.Duration) News {
	return News{Order: r.order, Age: r.Age(now), State: r.state, Reason: r.reason}
}

// OwnReport returns this process's counts. oldInFlight is the number of its requests in flight at
// other versions.
func (r *Rollout) OwnReport(oldInFlight int) Report {
	report := Report{Evidence: maps.Clone(r.own)}
	if r.state == Switching && oldInFlight == 0 {
		report.Drained = 1
	}
	return report
}

// GroupReport returns the sum of the counts of this process and of the senders that belong to its group.
func (r *Rollout) GroupReport(now time.Duration, oldInFlight int, inGroup func(sender string) bool) Report {
	report := r.OwnReport(oldInFlight)
	r.reports.addTo(report.Evidence, inGroup)
	report.Drained += r.reports.drained(now, inGroup)
	return report
}

// Learn applies a peer's news of the same order, and reports whether the state has changed.
func (r *Rollout) Learn(now time.Duration, news *News) bool {
	r.lastNews = now
	r.firstSeen = min(r.firstSeen, now-news.Age)
	r.Renumber(news.Order.Revision)
	return r.Raise(news.State, news.Reason)
}

// RecordReport records the counts of a sender.
func (r *Rollout) RecordReport(now time.Duration, sender, boot string, report *Report) {
	r.reports.record(now, sender, boot, report)
}

// Raise sets the state, unless the present one takes precedence, and reports whether it has changed.
func (r *Rollout) Raise(state State, reason string) bool {
	if state <= r.state || state > Complete {
		return false
	}
	r.state, r.reason = state, reason
	return true
}

// Evidence returns the sum of all counts that this process knows.
func (r *Rollout) Evidence() Evidence {
	sum := maps.Clone(r.own)
	r.reports.addTo(sum, func(string) bool { return true })
	return sum
}

// Judge applies the evidence to the state. It returns what the evidence shows, and whether the state
// has changed. Any process may find the version faulty; only the leader applies the final tests and
// begins the switch.
func (r *Rollout) Judge(now time.Duration, isLeader bool) (finding Finding, changed bool) {
	age := r.Age(now)
	isFinal := isLeader && (r.state == Switching || age >= r.order.lateSwitch())
	finding = Judge(r.Evidence(), isFinal)
	if !finding.IsFaulty && r.crashes.isFaulty() {
		finding.IsFaulty, finding.IsSound, finding.Reason = true, false, ReasonCrashes
	}
	lacksRuns := finding.Reason == ReasonFewRuns || finding.Reason == ReasonNoTargets
	switch {
	case r.state != Running && r.state != Switching:
		return finding, false
	case r.state == Switching && lacksRuns:
		// A new leader has not heard all counts yet. The one before had enough of them.
		return finding, false
	case finding.IsFaulty:
		return finding, r.Raise(Reverted, finding.Reason)
	case !isLeader || r.state == Switching:
		return finding, false
	case age >= r.order.completeBy():
		return finding, r.Raise(Reverted, ReasonOutOfTime)
	case finding.IsSound && age >= r.order.earlySwitch():
		return finding, r.Raise(Switching, ReasonShownSound)
	case isFinal:
		return finding, r.Raise(Switching, ReasonNothingFound)
	}
	return finding, false
}
