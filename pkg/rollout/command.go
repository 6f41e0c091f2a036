package rollout

// Command is an order for an engine to load a weights version of a model.
type Command struct {
	Model   string
	Version int64
	// LeaseHolder identifies the process that sends the orders.
	LeaseHolder string
	// FencingToken is the fencing token of that process.
	FencingToken uint64
	// Retain lets running requests continue under the new weights. Otherwise
	// the engine waits for them to end before it loads.
	Retain bool
	// ExpectedOrders is the number of orders that the engine must have accepted so
	// far; the engine rejects the order if its count differs.
	ExpectedOrders int64
}

// Report is the state that an engine reports of itself. It may be some hundred
// milliseconds old.
type Report struct {
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Models maps models to their weights versions.
	Models map[string]int64
}
