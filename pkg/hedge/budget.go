package hedge

// fleetBurst is the number of hedges that all processes together may save up for a time in which
// many requests are slow. It is divided evenly among them, but each may save up one beside its
// reserve, so that fleets of more than 32 processes save up more.
const fleetBurst = 64

// reserve is the number of hedges of each process for requests that are past their LastDelay.
// Without it, requests that are a little late spend the budget, and it is empty when a target stops
// responding.
const reserve = 1

// budget limits the hedges of one service in one process. It gains the operator's share of a hedge
// with each of the process's own requests and begins empty, so that the hedges of all processes and
// their restarts are never more than that share of all requests, without any message between them.
type budget struct {
	level float64
}

// gain credits the budget for one request of a fleet of the given number of processes.
func (b *budget) gain(share float64, processes int) {
	capacity := max(1+reserve, fleetBurst/float64(max(1, processes)))
	b.level = min(capacity, b.level+share)
}

// allows reports whether the budget has a hedge, besides the reserve unless isLast is set.
func (b *budget) allows(isLast bool) bool {
	if isLast {
		return b.level >= 1
	}
	return b.level >= 1+reserve
}
