package canary

import "time"

// Record is the store's record of a rollout.
type Record struct {
	State  State
	Target string
	// Revision is the store's revision of the record; 0 if there is none.
	Revision uint64
}

// BelongsTo reports whether the record is about an order.
func (r *Record) BelongsTo(order *Order) bool {
	return r.Revision > order.Revision && r.Target == order.Target
}

// Adopt applies the store's record, as the leader has read it. It reports whether the state has
// changed. Without a record that belongs to the order, the order is a new one.
func (r *Rollout) Adopt(record *Record) bool {
	if !record.BelongsTo(&r.order) {
		return r.Raise(Running, "")
	}
	return r.Raise(max(Running, record.State), ReasonFromStore)
}

// Due returns the state that the leader has to write, given the record that it knows, the number of
// its requests in flight at other versions, and that of processes. ok is false if there is nothing to write.
func (r *Rollout) Due(now time.Duration, record *Record, oldInFlight, processes int) (state State, ok bool) {
	stored := Unknown
	if record.BelongsTo(&r.order) {
		stored = record.State
	}
	switch {
	case stored.IsFinal():
		return Unknown, false
	case r.state.IsFinal():
		return r.state, true
	case r.state == Switching && r.mayComplete(now, oldInFlight, processes):
		return Complete, true
	case stored == Unknown && r.state != Unknown:
		return Running, true
	default:
		return Unknown, false
	}
}

// mayComplete reports whether the old version is no longer used, or the time is over.
func (r *Rollout) mayComplete(now time.Duration, oldInFlight, processes int) bool {
	if r.Age(now) >= r.order.completeBy() {
		return true
	}
	if oldInFlight > 0 {
		return false
	}
	return 1+r.reports.drained(now, func(string) bool { return true }) >= processes
}
