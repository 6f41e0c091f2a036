package rollout

// Command is an order to an engine to load a version of a model's weights.
type Command struct {
	Model   string
	Version int64
	// LeaseHolder and Fence name who gives orders, and its fencing token.
	LeaseHolder  string
	FencingToken uint64
	// Retain lets runs go on under the new weights; otherwise they end first.
	Retain bool
	// ExpectedOrders is the number of accepted orders that the engine must have.
	ExpectedOrders int64
}

// Report is an engine's own state, as of some hundred milliseconds ago.
type Report struct {
	// AcceptedOrders is the number of orders that it has accepted.
	AcceptedOrders int64
	// Models maps models to their weights versions.
	Models map[string]int64
}
