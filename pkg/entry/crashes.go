package entry

import (
	"context"
	"maps"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
	"github.com/baobabhub/baobabhub/pkg/relay"
)

const (
	// maxBrokenResponses is the capacity of the ring of responses that broke off and
	// whose targets have not been examined.
	maxBrokenResponses = 256
	// probeDelay is the time between a response that broke off and the connection that
	// shows whether the target still listens; a process that ends closes its sockets
	// one after the other.
	probeDelay = 20 * time.Millisecond
	// probeTimeout bounds that connection.
	probeTimeout = 500 * time.Millisecond
	// crashResultTTL is the time for which it is remembered that a run of a target has
	// crashed, for its responses that broke off at the same time.
	crashResultTTL = 2 * time.Second
	// minExamineDelay and maxExamineDelay bound the time between two examinations of a run that
	// seems to have crashed, and examineTime that of all of them.
	minExamineDelay = 250 * time.Millisecond
	maxExamineDelay = time.Second
	examineTime     = 30 * time.Second
)

// brokenResponse is a response that a target broke off before or soon after its first
// event.
type brokenResponse struct {
	requestID string
	target    fleet.Target
	request   quarantine.Request
	// runningAt is the latest time at which the target is known to have been running, and
	// brokenAt that at which the response broke off.
	runningAt, brokenAt time.Time
}

// probeResult is what a connection to a target has shown.
type probeResult struct {
	target fleet.Target
	// crashed reports whether the target has crashed; if not, reason says what was
	// found instead.
	crashed bool
	reason  string
	at      time.Time
}

// crashDetector finds out whether the targets whose responses broke off have crashed.
// A target that leaves, or that can't be reached because of the network, has not.
type crashDetector struct {
	entry  *Entry
	broken chan brokenResponse
	probes chan probeResult
	// examined receives the runs whose examination has ended.
	examined chan fleet.Boot
	// waiting holds the responses whose targets are being examined, and crashed the
	// results for runs of targets that have crashed. Only run uses them.
	waiting map[fleet.Boot][]brokenResponse
	crashed map[fleet.Boot]probeResult
	// examining holds the runs that seem to have crashed and are examined again. Only run uses it.
	examining map[fleet.Boot]bool
}

func newCrashDetector(entry *Entry) *crashDetector {
	return &crashDetector{
		entry: entry, broken: make(chan brokenResponse, maxBrokenResponses), probes: make(chan probeResult), examined: make(chan fleet.Boot),
		waiting: map[fleet.Boot][]brokenResponse{}, crashed: map[fleet.Boot]probeResult{}, examining: map[fleet.Boot]bool{},
	}
}

// report hands over a response that broke off. It does not block.
func (d *crashDetector) report(response brokenResponse) {
	select {
	case d.broken <- response:
	default:
		d.logUnexplained(&response, "too many broken responses")
	}
}

func (d *crashDetector) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case response := <-d.broken:
			d.examine(ctx, response)
		case result := <-d.probes:
			d.conclude(ctx, result)
		case run := <-d.examined:
			delete(d.examining, run)
		}
	}
}

// examine applies the result for the response's target if that has crashed, or requests one.
// That a target accepted connections before says nothing of a later response.
func (d *crashDetector) examine(ctx context.Context, response brokenResponse) {
	run := response.target.Boot()
	if result, ok := d.crashed[run]; ok && d.entry.directory.MayHaveEnded(run) {
		d.apply(&response, &result)
		return
	}
	waiting, examined := d.waiting[run]
	d.waiting[run] = append(waiting, response)
	if !examined {
		go d.probe(ctx, response.target)
	}
}

// conclude applies a result to the responses that wait for it.
func (d *crashDetector) conclude(ctx context.Context, result probeResult) {
	run := result.target.Boot()
	if result.crashed {
		d.entry.runEnds.Refused(run)
	}
	for i := range d.waiting[run] {
		d.apply(&d.waiting[run][i], &result)
	}
	delete(d.waiting, run)
	if result.crashed {
		d.crashed[run] = result
		d.examineAgain(ctx, result.target)
	}
	maps.DeleteFunc(d.crashed, func(_ fleet.Boot, old probeResult) bool { return time.Since(old.at) >= crashResultTTL })
}

// examineAgain examines a run that seems to have crashed until it is known whether it goes on.
func (d *crashDetector) examineAgain(ctx context.Context, target fleet.Target) {
	run := target.Boot()
	if d.examining[run] {
		return
	}
	d.examining[run] = true
	go func() {
		d.awaitRun(ctx, target)
		select {
		case d.examined <- run:
		case <-ctx.Done():
		}
	}()
}

// awaitRun asks a target for its run, less and less often, until it has answered or the registry
// shows that the run has ended.
func (d *crashDetector) awaitRun(ctx context.Context, target fleet.Target) {
	directory, run := d.entry.directory, target.Boot()
	end := time.Now().Add(examineTime)
	for delay := minExamineDelay; time.Now().Before(end) && clock.Sleep(ctx, delay); delay = min(2*delay, maxExamineDelay) {
		if directory.HasEnded(run) || !directory.MayHaveEnded(run) {
			return
		}
		askCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := d.entry.relay.ExamineRun(askCtx, &target)
		cancel()
		if err == nil || errors.Is(err, relay.ErrRunNotTold) {
			return
		}
	}
}

func (d *crashDetector) apply(response *brokenResponse, result *probeResult) {
	if !result.crashed {
		d.logUnexplained(response, result.reason)
		return
	}
	d.entry.quarantine.recordCrash(response)
}

func (d *crashDetector) logUnexplained(response *brokenResponse, reason string) {
	d.entry.log.Log(eventlog.ResponseUnexplained, "request_id", response.requestID, "target", response.target.ID,
		"born", response.target.StartUnixMS, "reason", reason)
}

// probe examines a target and sends the result to run.
func (d *crashDetector) probe(ctx context.Context, target fleet.Target) {
	result := probeResult{target: target}
	result.crashed, result.reason = d.hasCrashed(ctx, &target)
	result.at = time.Now()
	select {
	case d.probes <- result:
	case <-ctx.Done():
	}
}

// hasCrashed reports whether a target has crashed, or why that is not known.
func (d *crashDetector) hasCrashed(ctx context.Context, target *fleet.Target) (crashed bool, reason string) {
	timer := time.NewTimer(probeDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, "stopping"
	case <-timer.C:
	}
	listed, ok := d.entry.directory.Get(target.ID)
	if !ok || listed.Draining {
		return false, "the target was leaving"
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err == nil {
		// Only the fact that the target accepts connections matters.
		_ = conn.Close()
		return false, "the target accepts connections"
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, ""
	}
	return false, err.Error()
}
