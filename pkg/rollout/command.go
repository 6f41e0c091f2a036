package rollout

// Command is an order to an engine to load a version of a model's weights.
type Command struct {
	Model   string
	Version int64
	// Holder and Fence name who gives orders, and its fencing token.
	Holder string
	Fence  uint64
	// Retain lets runs go on under the new weights; otherwise they end first.
	Retain bool
	// Expected is the number of accepted orders that the engine must have.
	Expected int64
}

// Report is an engine's own state, as of some hundred milliseconds ago.
type Report struct {
	// Orders is the number of orders that it has accepted.
	Orders int64
	// Models maps models to their weights versions.
	Models map[string]int64
}
