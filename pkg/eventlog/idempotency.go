package eventlog

// At-most-once call events.
var (
	// OnceSlotOpened is logged when the idempotency records of a slot have been loaded.
	OnceSlotOpened = Event{600, "once_slot_opened", "The idempotency records of a slot were fenced against earlier owners and loaded.", []string{"slot", "epoch", "records"}}
	// OnceSlotFenced is logged when a newer epoch is found in a slot's records.
	OnceSlotFenced = Event{601, "once_slot_fenced", "A newer owner has fenced the slot's idempotency records; this process no longer writes them.", []string{"slot", "epoch"}}
	// OnceWriteUnresolved is logged when the response to a record write was lost.
	OnceWriteUnresolved = Event{602, "once_write_unresolved", "The response to a record write was lost; the write is retried until its outcome is known.", []string{"slot", "epoch", "intents"}}
	// OnceWriteResolved is logged when a write with a lost response is known to have
	// taken effect.
	OnceWriteResolved = Event{603, "once_write_resolved", "A record write whose response was lost has taken effect.", []string{"slot", "epoch", "tries"}}
	// OnceNotRun is logged for each call that was refused without being sent.
	OnceNotRun = Event{604, "once_not_run", "An at-most-once call was refused and never sent.", []string{"slot", "request", "code"}}
	// OnceUnknown is logged for each call that may have run but returned no answer.
	OnceUnknown = Event{605, "once_unknown", "An at-most-once call may have run, but its answer was lost; it is never sent again.", []string{"slot", "request", "code"}}
)

var idempotencyEvents = []Event{
	OnceSlotOpened, OnceSlotFenced, OnceWriteUnresolved, OnceWriteResolved, OnceNotRun, OnceUnknown,
}
