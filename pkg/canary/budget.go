package canary

// budgetFraction is the fraction of the exposure share that the new version may get before the
// switch. The rest is left for the switch.
const budgetFraction = 0.5

// budget bounds the requests that one process sends to the new version. The bound holds for
// each process and each of its starts on its own, so that it holds for their sum without any
// message.
type budget struct {
	share float64
	// rounding is drawn evenly from 0 to 1. It makes the number of requests that a process with
	// few requests may send right on average; otherwise many small processes would send none.
	rounding float64
	// all is the number of requests that certainly reached targets of the service. exposed is the number
	// of those that may have reached the new version, and reserved that of requests that are
	// about to be sent there.
	all, exposed, reserved int64
}

// allows reports whether another request may be sent to the new version.
func (b *budget) allows() bool {
	return float64(b.exposed+b.reserved)+b.rounding < budgetFraction*b.share*float64(b.all)
}
