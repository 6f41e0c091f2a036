package canary

import "time"

// numSlices is the number of equal parts of an order's duration in which evidence is counted
// separately. A fault of all engines that lasts for part of the time then affects the old and the
// new version alike.
const numSlices = 5

// maxKeys bounds the counters of a sender: 100 routes.
const maxKeys = 100 * 2 * numSlices

// Key identifies a counter of evidence.
type Key struct {
	Route string
	// New is set for the new version.
	New bool
	// Slice is the part of the order's duration in which the request was sent.
	Slice int
}

// Counts is evidence about the runs of requests. Counts only grow.
type Counts struct {
	// Runs is the number of runs, and Failures that of runs for whose failure the target is to
	// blame.
	Runs, Failures int64
	// Timed is the number of runs whose time could be compared, and Slow that of slow ones.
	Timed, Slow int64
}

// Evidence holds counters.
type Evidence map[Key]Counts

// add adds the counts of other.
func (e Evidence) add(other Evidence) {
	for key, c := range other {
		sum := e[key]
		sum.Runs += c.Runs
		sum.Failures += c.Failures
		sum.Timed += c.Timed
		sum.Slow += c.Slow
		e[key] = sum
	}
}

// raise replaces each counter by that of other if that is higher. Keys that no sender has are
// ignored, and so are those above maxKeys.
func (e Evidence) raise(other Evidence) {
	for key, c := range other {
		highest, ok := e[key]
		if key.Slice < 0 || key.Slice >= numSlices || (!ok && len(e) >= maxKeys) {
			continue
		}
		highest.Runs = max(highest.Runs, c.Runs)
		highest.Failures = max(highest.Failures, c.Failures)
		highest.Timed = max(highest.Timed, c.Timed)
		highest.Slow = max(highest.Slow, c.Slow)
		e[key] = highest
	}
}

// total returns the sum of the counts of one version over all routes.
func (e Evidence) total(isNew bool) Counts {
	var sum Counts
	for key, c := range e {
		if key.New == isNew {
			sum.Runs += c.Runs
			sum.Failures += c.Failures
			sum.Timed += c.Timed
			sum.Slow += c.Slow
		}
	}
	return sum
}

// sliceAt returns the slice of an order at an age.
func (o *Order) sliceAt(age time.Duration) int {
	return int(min(numSlices-1, max(0, age*numSlices/max(1, o.Duration))))
}

// Report is what one sender has counted of a rollout: a process, or the hub of a group.
type Report struct {
	Evidence Evidence
	// Drained is the number of processes that send no new requests to the old version and have
	// none in flight there.
	Drained int
}

// senderReport is the newest report of a sender.
type senderReport struct {
	boot     string
	evidence Evidence
	drained  int
	at       time.Duration
	// endedBoots holds the boots before. Their messages may still arrive.
	endedBoots map[string]bool
}

// reports holds the reports of peers and of groups of processes.
type reports struct {
	bySender map[string]*senderReport
	// ended is the evidence of the boots of senders that have ended.
	ended Evidence
}

func newReports() reports {
	return reports{bySender: map[string]*senderReport{}, ended: Evidence{}}
}

// record records a sender's report. A group has no boot: the sums of two hubs count the same
// processes. Messages may be lost, duplicated or reordered.
func (r *reports) record(now time.Duration, sender, boot string, report *Report) {
	s, ok := r.bySender[sender]
	if !ok {
		s = &senderReport{boot: boot, evidence: Evidence{}, endedBoots: map[string]bool{}}
		r.bySender[sender] = s
	}
	if s.endedBoots[boot] {
		return
	}
	if s.boot != boot {
		r.ended.add(s.evidence)
		s.endedBoots[s.boot] = true
		s.boot, s.evidence = boot, Evidence{}
	}
	s.evidence.raise(report.Evidence)
	s.drained, s.at = report.Drained, now
}

// addTo adds the evidence of all senders that pass the filter, and of ended boots, to sum.
func (r *reports) addTo(sum Evidence, include func(sender string) bool) {
	sum.add(r.ended)
	for sender, s := range r.bySender {
		if include(sender) {
			sum.add(s.evidence)
		}
	}
}

// drained returns the number of drained processes among the senders that pass the filter and
// whose report is recent.
func (r *reports) drained(now time.Duration, include func(sender string) bool) int {
	sum := 0
	for sender, s := range r.bySender {
		if include(sender) && now-s.at <= reportTTL {
			sum += s.drained
		}
	}
	return sum
}
