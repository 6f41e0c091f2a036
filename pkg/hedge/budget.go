package hedge

// fleetBurst is the number of hedges that all processes together may save up for a moment in which
// many requests are slow at once.
const fleetBurst = 64

// budget limits the hedges of one service in one process. It gains the operator's share of a hedge
// with each of the process's own requests and begins empty, so that the hedges of all processes and
// their restarts are never more than that share of all requests, without any message between them.
type budget struct {
	level float64
}

// gain credits the budget for one request of a fleet of the given number of processes.
func (b *budget) gain(share float64, processes int) {
	capacity := max(1, fleetBurst/float64(max(1, processes)))
	b.level = min(capacity, b.level+share)
}

// take consumes one hedge and reports whether there was one.
func (b *budget) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
