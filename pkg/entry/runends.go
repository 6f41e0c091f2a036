package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

// sourceRegistry denotes in the log what the registry shows.
const sourceRegistry = "registry"

// maxMessageDelay is by how much a peer's finding may seem to be later than it is. A run that
// has answered must not count as running after it has ended.
const maxMessageDelay = 500 * time.Millisecond

// runEnds keeps in the directory what this process and its peers find out about the ends of runs of
// targets, and applies the changes. It implements relay.TargetRuns. The peers hear of the latest
// finding of each run, with its age, from the process that made it only: a finding that is passed
// on would seem to be later than it is, and might hide one that came after it.
type runEnds struct {
	entry *Entry

	mu sync.Mutex
	// own holds the latest findings of this process.
	own map[fleet.Boot]runFinding
}

// runFinding is a finding at a time.
type runFinding struct {
	finding fleet.RunFinding
	at      time.Duration
}

func newRunEnds(entry *Entry) *runEnds {
	return &runEnds{entry: entry, own: map[fleet.Boot]runFinding{}}
}

// Refused implements relay.TargetRuns.
func (e *runEnds) Refused(boot fleet.Boot) {
	e.observe(boot, runFinding{finding: fleet.ConnectionRefused, at: e.entry.uptime()})
}

// Replaced implements relay.TargetRuns.
func (e *runEnds) Replaced(boot fleet.Boot) {
	e.observe(boot, runFinding{finding: fleet.LaterRunFound, at: e.entry.uptime()})
}

// Running implements relay.TargetRuns.
func (e *runEnds) Running(boot fleet.Boot, at time.Duration) {
	e.observe(boot, runFinding{finding: fleet.RunAnswered, at: at})
}

// observe applies a finding of this process, and tells the peers if it changes what is known.
func (e *runEnds) observe(boot fleet.Boot, found runFinding) {
	if !e.apply(boot, found, sourceSelf) {
		return
	}
	e.mu.Lock()
	e.own[boot] = found
	e.mu.Unlock()
	e.entry.gossip.SendUrgent()
}

// learn applies the findings of a peer.
func (e *runEnds) learn(now time.Duration, findings []gossip.RunFinding, peer string) {
	for _, f := range findings {
		found := runFinding{finding: f.Finding, at: now - f.Age}
		if f.Finding == fleet.RunAnswered {
			found.at -= maxMessageDelay
		}
		e.apply(f.Target, found, peer)
	}
}

// apply applies a finding, and reports whether it changes what is known of the run.
func (e *runEnds) apply(boot fleet.Boot, found runFinding, source string) bool {
	directory := e.entry.directory
	switch found.finding {
	case fleet.ConnectionRefused:
		if !directory.MarkRefused(found.at, boot) {
			return false
		}
		e.log(eventlog.TargetRefused, boot, found.at, source)
		e.entry.canary.recordSuspectedEnd(e.entry.uptime(), boot)
	case fleet.LaterRunFound:
		if !directory.MarkEnded(found.at, boot) {
			return false
		}
		e.log(eventlog.TargetRunEnded, boot, found.at, source)
		e.entry.canary.recordSuspectedEnd(e.entry.uptime(), boot)
		e.entry.quarantine.unconfirmed.drop(boot)
		e.entry.quarantine.reconsider()
	case fleet.RunAnswered:
		if !directory.MarkRunning(found.at, boot) {
			return false
		}
		e.log(eventlog.TargetRunConfirmed, boot, found.at, source)
		e.entry.quarantine.recordRunning(boot)
	default:
		// A newer version of this program may know other findings.
		return false
	}
	return true
}

// confirmRegistered applies what the registry shows of the runs that refused connections.
func (e *runEnds) confirmRegistered() {
	for _, boot := range e.entry.directory.ConfirmRegistered() {
		e.log(eventlog.TargetRunConfirmed, boot, e.entry.uptime(), sourceRegistry)
		e.entry.quarantine.recordRunning(boot)
	}
}

func (e *runEnds) log(event eventlog.Event, boot fleet.Boot, at time.Duration, source string) {
	e.entry.log.Log(event, "target", boot.ID, "born", boot.StartUnixMS, "source", source, "age_ms", (e.entry.uptime() - at).Milliseconds())
	e.entry.metrics.Scope.Tagged(map[string]string{"finding": event.Name}).Counter("target_run_findings").Inc(1)
}

// recent returns the findings of this process within runNewsTTL, and forgets the others.
func (e *runEnds) recent(now time.Duration) []gossip.RunFinding {
	e.mu.Lock()
	defer e.mu.Unlock()
	var findings []gossip.RunFinding
	for boot, found := range e.own {
		if now-found.at > runNewsTTL {
			delete(e.own, boot)
			continue
		}
		findings = append(findings, gossip.RunFinding{Target: boot, Finding: found.finding, Age: now - found.at})
	}
	return findings
}
