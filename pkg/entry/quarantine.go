package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

const (
	// leaderWriteDelay is the time after which the leader writes facts that the store
	// lacks; it batches facts that arise together.
	leaderWriteDelay = 200 * time.Millisecond
	// isolatedWriteDelay is that time for a process that hears no peer, and
	// followerWriteDelay for the others, which leave the write to the leader. Both are
	// extended at random by up to their own length.
	isolatedWriteDelay = 300 * time.Millisecond
	followerWriteDelay = time.Second
	// writeRetryDelay is the delay after a failed write.
	writeRetryDelay = time.Second
	// sourceSelf and sourceStore denote in the log what this process has observed
	// itself, and what it has read from the store.
	sourceSelf  = "self"
	sourceStore = "store"
)

// quarantineRecord is the value of the store's key that holds what the fleet knows of
// crashes.
type quarantineRecord struct {
	// Suspects has this name for records from before requests were suspected.
	Suspects []quarantine.Record `json:"parts"`
}

// quarantineKeeper shares what this process and its peers know of requests and parts of
// prompts that crash targets. It implements relay.Quarantine.
type quarantineKeeper struct {
	entry       *Entry
	table       *quarantine.Table
	detector    *crashDetector
	unconfirmed *unconfirmedResponses
	// changed requests a comparison with the store.
	changed chan struct{}
	// refusedSuspects holds suspects of which a trial is due.
	refusedSuspects chan quarantine.Suspect
	// trialCount counts the trials of this process. Only run uses it.
	trialCount int

	mu sync.Mutex
	// stored holds the records in the store, and storedRevision the key's revision.
	stored         []quarantine.Record
	storedRevision uint64
	// observedAt is the store's revision at which the key was last observed.
	observedAt uint64
}

func newQuarantineKeeper(entry *Entry) *quarantineKeeper {
	return &quarantineKeeper{
		entry: entry, table: quarantine.NewUnconfirmed(entry.hasRunEnded), detector: newCrashDetector(entry), unconfirmed: newUnconfirmedResponses(),
		changed: make(chan struct{}, 1), refusedSuspects: make(chan quarantine.Suspect, 1),
	}
}

// Check implements relay.Quarantine. A refused request may lead to a trial, which a later
// one takes.
func (k *quarantineKeeper) Check(request quarantine.Request) (quarantine.Finding, bool) {
	now := time.Now()
	finding, quarantined := k.table.Check(now, request)
	if !quarantined {
		return finding, false
	}
	if due, ok := k.table.DueTrial(now, request); ok {
		k.requestTrial(due)
	}
	return finding, true
}

// TakeTrial implements relay.Quarantine.
func (k *quarantineKeeper) TakeTrial(suspect quarantine.Suspect, request quarantine.Request) bool {
	return k.table.TakeTrial(time.Now(), suspect, request)
}

// ReturnTrial implements relay.Quarantine.
func (k *quarantineKeeper) ReturnTrial(suspect quarantine.Suspect) {
	k.table.ReturnTrial(time.Now(), suspect)
}

// IsSuspected implements relay.Quarantine.
func (k *quarantineKeeper) IsSuspected(request quarantine.Request) bool {
	return k.table.IsSuspected(request)
}

// Completed implements relay.Quarantine.
func (k *quarantineKeeper) Completed(request quarantine.Request) {
	cleared := k.table.RecordCompleted(time.Now(), request)
	if len(cleared) == 0 {
		return
	}
	k.logCleared(cleared)
	k.applyChange(sourceSelf)
}

// CompletedUnframed implements relay.Quarantine.
func (k *quarantineKeeper) CompletedUnframed(target fleet.Target, request quarantine.Request) {
	if !k.entry.directory.HasEnded(target.Boot()) {
		k.unconfirmed.add(target.Boot(), unconfirmedResponse{endedAt: k.entry.uptime(), request: request})
	}
}

// AnsweredWithError implements relay.Quarantine.
func (k *quarantineKeeper) AnsweredWithError(target fleet.Target, request quarantine.Request, trialOf quarantine.Suspect) {
	if !k.entry.directory.HasEnded(target.Boot()) {
		k.unconfirmed.add(target.Boot(), unconfirmedResponse{endedAt: k.entry.uptime(), request: request, isError: true, trialOf: trialOf})
	}
}

// Answered implements relay.Quarantine. While the run may have ended, another one may have answered.
func (k *quarantineKeeper) Answered(target fleet.Boot, sentAt time.Duration) {
	if !k.unconfirmed.isWaiting(target) || k.entry.directory.IsInDoubt(target) {
		return
	}
	for _, response := range k.unconfirmed.confirm(sentAt, target) {
		if response.isError {
			k.recordErrorAnswer(target, &response)
		} else {
			k.Completed(response.request)
		}
	}
}

// recordErrorAnswer records that a run has answered a request with an error, and goes on.
func (k *quarantineKeeper) recordErrorAnswer(run fleet.Boot, response *unconfirmedResponse) {
	cleared := k.table.RecordErrorAnswer(time.Now(), run, response.request)
	if response.trialOf != (quarantine.Suspect{}) {
		cleared = append(cleared, k.table.RecordTrialAnswer(time.Now(), response.trialOf)...)
		k.entry.log.Log(eventlog.TrialAnswered, "fingerprint", response.trialOf.Request, "part", response.trialOf.Part, "target", run.ID, "born", run.StartUnixMS)
		k.requestWrite()
	}
	if len(cleared) > 0 {
		k.logCleared(cleared)
		k.applyChange(sourceSelf)
	}
}

// BrokenOff implements relay.Quarantine.
func (k *quarantineKeeper) BrokenOff(requestID string, target fleet.Target, runningAt time.Duration, request quarantine.Request) {
	brokenAt := time.Now()
	k.detector.report(brokenResponse{
		requestID: requestID, target: target, request: request, runningAt: brokenAt.Add(runningAt - k.entry.uptime()), brokenAt: brokenAt,
	})
}

// recordCrash records that a target crashed under a request, and tells all processes.
func (k *quarantineKeeper) recordCrash(response *brokenResponse) {
	target := &response.target
	crash := quarantine.Crash{Target: target.Boot(), UnixMS: response.brokenAt.UnixMilli(), RunningUnixMS: response.runningAt.UnixMilli()}
	suspected := k.table.RecordCrash(time.Now(), crash, response.request)
	k.entry.log.Log(eventlog.TargetCrashed, "request_id", response.requestID, "target", target.ID, "born", target.StartUnixMS,
		"running_unix_ms", crash.RunningUnixMS, "broken_unix_ms", crash.UnixMS, "fingerprint", fingerprintOf(suspected), "parts", partList(suspected))
	k.entry.metrics.Scope.Counter("requests_under_crashes").Inc(1)
	if len(suspected) == 0 {
		return
	}
	k.entry.gossip.SendUrgent()
	k.applyChange(sourceSelf)
}

// recordRunning records that a run of a target is running that seemed to have crashed, and tells all
// processes.
func (k *quarantineKeeper) recordRunning(run fleet.Boot) {
	cleared := k.table.RecordRunning(time.Now(), run)
	if len(cleared) == 0 {
		return
	}
	k.logCleared(cleared)
	k.entry.gossip.SendUrgent()
	k.applyChange(sourceSelf)
}

func (k *quarantineKeeper) logCleared(cleared []quarantine.Suspect) {
	if fingerprint := fingerprintOf(cleared); fingerprint != "" {
		k.entry.log.Log(eventlog.RequestCleared, "fingerprint", fingerprint)
	}
	if parts := partList(cleared); parts != "" {
		k.entry.log.Log(eventlog.PartsCleared, "parts", parts)
	}
}

// merge adds what a peer knows.
func (k *quarantineKeeper) merge(records []quarantine.Record, source string) {
	if k.table.Merge(time.Now(), records) {
		k.applyChange(source)
	}
}

// reconsider applies what is known by now of the ends of runs.
func (k *quarantineKeeper) reconsider() {
	k.table.Reconsider()
	k.logTransitions(sourceSelf)
}

// expire drops what no longer counts.
func (k *quarantineKeeper) expire() {
	k.unconfirmed.expire(k.entry.uptime())
	k.table.Expire(time.Now())
	k.logTransitions(sourceSelf)
}

// applyChange logs what a change has led to and requests a comparison with the store.
func (k *quarantineKeeper) applyChange(source string) {
	k.logTransitions(source)
	k.requestWrite()
}

func (k *quarantineKeeper) logTransitions(source string) {
	requests, parts := k.table.Quarantined()
	k.entry.metrics.Scope.Gauge("quarantined_requests").Update(float64(requests))
	k.entry.metrics.Scope.Gauge("quarantined_parts").Update(float64(parts))
	for _, transition := range k.table.TakeTransitions() {
		k.logTransition(&transition, source)
	}
}

func (k *quarantineKeeper) logTransition(transition *quarantine.Transition, source string) {
	log := k.entry.log
	switch {
	case transition.Request != "" && transition.Quarantined:
		log.Log(eventlog.RequestQuarantined, "fingerprint", transition.Request, "crashes", transition.Crashes,
			"sure", transition.Sure, "source", source)
	case transition.Request != "":
		log.Log(eventlog.RequestReleased, "fingerprint", transition.Request, "source", source)
	case transition.Quarantined:
		log.Log(eventlog.PartQuarantined, "part", transition.Part, "crashes", transition.Crashes,
			"sure", transition.Sure, "companions", partList(transition.Companions), "source", source)
	default:
		log.Log(eventlog.PartReleased, "part", transition.Part, "source", source)
	}
}

// fingerprintOf returns the fingerprint among suspects of one request, or "".
func fingerprintOf(suspects []quarantine.Suspect) string {
	for _, suspect := range suspects {
		if suspect.Request != "" {
			return suspect.Request
		}
	}
	return ""
}

// partList returns the parts among suspects for the log.
func partList(suspects []quarantine.Suspect) string {
	var parts []string
	for _, suspect := range suspects {
		if suspect.Part != "" {
			parts = append(parts, suspect.Part)
		}
	}
	return strings.Join(parts, ",")
}

func (k *quarantineKeeper) requestWrite() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// applyStored applies the value that the store's key had at the revision observedAt. The value
// is nil and the revision 0 if the key did not exist.
func (k *quarantineKeeper) applyStored(value []byte, revision, observedAt uint64) {
	var record quarantineRecord
	if len(value) > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			// The next write replaces the value.
			k.entry.log.Log(eventlog.DutyFailed, "duty", "quarantine", "err", errors.Annotate(err, "decoding the stored crashes"))
			record = quarantineRecord{}
		}
	}
	// A write at this revision replaces the records, so they must be known before it.
	k.merge(record.Suspects, sourceStore)
	k.setStored(record.Suspects, revision, observedAt)
	k.requestWrite()
}

// setStored records what the store's key held at the revision observedAt, unless a later state
// of it is known. The response to a write may arrive after the news that the key was deleted
// since.
func (k *quarantineKeeper) setStored(records []quarantine.Record, revision, observedAt uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if observedAt < k.observedAt {
		return
	}
	k.stored, k.storedRevision, k.observedAt = records, revision, observedAt
}

func (k *quarantineKeeper) storedRecords() ([]quarantine.Record, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored, k.storedRevision
}

// latestObservation returns the revision at which the store's key was last observed.
func (k *quarantineKeeper) latestObservation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observedAt
}

// run writes to the store what it lacks, until ctx is cancelled.
func (k *quarantineKeeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case suspect := <-k.refusedSuspects:
			k.beginTrial(ctx, suspect)
		case <-k.changed:
		}
		for k.isStoreBehind() && clock.Sleep(ctx, k.writeDelay()) {
			k.write(ctx)
		}
	}
}

func (k *quarantineKeeper) isStoreBehind() bool {
	stored, _ := k.storedRecords()
	return k.table.Missing(stored)
}

// writeDelay returns the time after which this process writes, unless another one has
// done so.
func (k *quarantineKeeper) writeDelay() time.Duration {
	if _, leads := k.entry.lease.leaderFencingToken(); leads {
		return leaderWriteDelay
	}
	if k.entry.members.heardCount() == 0 {
		return isolatedWriteDelay + rand.N(isolatedWriteDelay)
	}
	return k.entry.members.memberWatchInterval() + followerWriteDelay + rand.N(followerWriteDelay)
}

// write writes the known facts, unless the store has them by now.
func (k *quarantineKeeper) write(ctx context.Context) {
	if !k.isStoreBehind() {
		return
	}
	err := k.writeFacts(ctx)
	if errors.Is(err, kv.ErrConflict) {
		err = k.read(ctx)
	}
	if err != nil && ctx.Err() == nil {
		k.entry.log.Log(eventlog.DutyFailed, "duty", "quarantine", "err", errors.Annotate(err, "writing the known crashes"))
		clock.Sleep(ctx, writeRetryDelay)
	}
}

// writeFacts writes the known facts if the store holds what this process last read of it.
func (k *quarantineKeeper) writeFacts(ctx context.Context) error {
	_, revision := k.storedRecords()
	return k.writeRecords(ctx, k.table.Snapshot(), revision)
}

// writeRecords writes records if the store's key has the given revision.
func (k *quarantineKeeper) writeRecords(ctx context.Context, records []quarantine.Record, revision uint64) error {
	value, err := json.Marshal(quarantineRecord{Suspects: records})
	if err != nil {
		panic(errors.Annotate(err, "encoding crashes"))
	}
	key := k.entry.platform.Keys.QuarantineKey
	revision, err = k.entry.platform.Store.CompareAndSwap(ctx, kv.Put{Key: key, Value: value, ExpectRevision: revision})
	if err != nil {
		return errors.Trace(err)
	}
	k.setStored(records, revision, revision)
	return nil
}

// read merges the value that another process has written.
func (k *quarantineKeeper) read(ctx context.Context) error {
	entry, err := k.entry.platform.Store.Get(ctx, k.entry.platform.Keys.QuarantineKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	observedAt := entry.Revision
	if err != nil {
		observedAt = k.latestObservation()
	}
	k.applyStored(entry.Value, entry.Revision, observedAt)
	return nil
}
