package eventlog

// Process events.
var (
	Started  = Event{100, "started", "The process has started and serves requests.", []string{"address", "boot"}}
	Stopping = Event{101, "stopping", "A graceful shutdown has begun; no new requests are accepted.", []string{"signal"}}
	Stopped  = Event{102, "stopped", "The process has finished its shutdown and exits.", []string{"cut_requests"}}
)

// VMListFailed is logged by package membership.
var VMListFailed = Event{110, "vm_list_failed",
	"The platform's list of VMs could not be read; the last known list remains in use.", []string{"err"}}

// Request events.
var (
	RequestServed = Event{120, "request_served", "A caller received its complete answer.",
		[]string{"request_id", "account", "route", "target", "first_token_ms", "total_ms",
			"prompt_tokens", "cached_tokens", "completion_tokens", "dispatches"}}
	RequestRefused = Event{121, "request_refused", "A caller received a refusal or an error.",
		[]string{"request_id", "account", "route", "code", "ran", "retry_after_ms", "message"}}
)

var processEvents = []Event{Started, Stopping, Stopped, VMListFailed, RequestServed, RequestRefused}
