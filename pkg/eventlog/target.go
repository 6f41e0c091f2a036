package eventlog

// Target events.
var (
	TargetEventsOpened = Event{300, "target_events_opened", "The target's cache event stream was opened.",
		[]string{"target", "boot", "after"}}
	TargetEventsBroken = Event{301, "target_events_broken", "The target's cache event stream was lost, timed out or could not be opened; it is reopened after retry_ms.",
		[]string{"target", "error", "retry_ms"}}
	TargetEventsLost = Event{302, "target_events_lost", "Cache events are missing from the stream; blocks confirmed before the gap are uncertain. Logged at most once per second.",
		[]string{"target", "boot", "seq", "lost"}}
	TargetRestarted = Event{303, "target_restarted", "The target has a new boot number; the view of its prefix cache was cleared.",
		[]string{"target", "boot"}}
	TargetSilent = Event{304, "target_silent", "The cache event stream has been idle for too long; the view reports no cached blocks until events or heartbeats arrive again.",
		[]string{"target", "boot", "silent_ms"}}
	TargetHeard = Event{305, "target_heard", "Events or heartbeats arrive again on the target's cache event stream.",
		[]string{"target", "boot"}}
	TargetLoadFailed = Event{306, "target_load_failed", "The target's load report could not be read; logged once until a report is read again.",
		[]string{"target", "error"}}
	TargetLoadRestored = Event{307, "target_load_restored", "The target's load report can be read again.",
		[]string{"target", "boot"}}
	QueueRefused = Event{310, "queue_refused", "The target's queue refused a request on arrival; it has not run.",
		[]string{"request_id", "attempt", "account", "code", "retry_after_ms", "message"}}
	QueueExpired = Event{311, "queue_expired", "A queued request was removed before it ran: its deadline passed, or it was displaced by another account's request.",
		[]string{"request_id", "attempt", "account", "code", "retry_after_ms", "message"}}
	BlocksImported = Event{312, "blocks_imported", "Cache blocks were imported from another target before a request ran.",
		[]string{"request_id", "from", "blocks", "wanted", "took_us"}}
	ImportFailed = Event{313, "import_failed", "Cache blocks could not be imported; the target computes them.",
		[]string{"request_id", "from", "err"}}
)

var targetEvents = []Event{
	TargetEventsOpened, TargetEventsBroken, TargetEventsLost, TargetRestarted,
	TargetSilent, TargetHeard, TargetLoadFailed, TargetLoadRestored,
	QueueRefused, QueueExpired, BlocksImported, ImportFailed,
}
