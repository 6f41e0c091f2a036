package rollout

// LoadOrder is a command that makes an engine load a weights version of a
// model.
type LoadOrder struct {
	Model   string
	Version int64
	// LeaseHolder identifies the process that holds the leader's lease and sends
	// the order.
	LeaseHolder string
	// FencingToken is the fencing token of that process.
	FencingToken uint64
	// Retain makes the engine load the weights immediately and continue its
	// running requests under them. Otherwise the engine waits for the requests
	// to end before it loads the weights.
	Retain bool
	// ExpectedOrders is the number of orders that the engine must have accepted
	// so far; the engine rejects the order if its count differs.
	ExpectedOrders int64
}

// OrderResponse is an engine's response to a load order.
type OrderResponse struct {
	Reply Reply
	// Leaving reports whether the engine announces that it is leaving.
	Leaving bool
}

// Report is an engine's report of its own state. It may be a few hundred
// milliseconds old.
type Report struct {
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Models maps models to their weights versions.
	Models map[string]int64
	// Leaving reports whether the engine announces that it is leaving.
	Leaving bool
}
