package eventlog

// Routing events.
var (
	RoutingDecided = Event{200, "routing_decided",
		"A target was chosen for a request among the probed candidates.",
		[]string{"request_id", "policy", "try", "target", "ttft_us", "score_us", "missing_tokens", "import_from", "asked", "answered", "candidates", "took_us"}}
	RoutingRefused = Event{201, "routing_refused",
		"No eligible target was left for a request; it has not run.",
		[]string{"request_id", "policy", "code", "retry_after_ms", "asked", "answered", "candidates"}}
	RoutingRetried = Event{202, "routing_retried",
		"A target refused a request or failed before running it; another target will be selected.",
		[]string{"request_id", "try", "target", "code"}}
	RetryBudgetSpent = Event{203, "retry_budget_spent",
		"A request was not retried because the router's retry budget is exhausted.",
		[]string{"request_id", "try", "code"}}
)

var routingEvents = []Event{RoutingDecided, RoutingRefused, RoutingRetried, RetryBudgetSpent}
