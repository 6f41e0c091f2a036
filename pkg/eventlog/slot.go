package eventlog

// Slot events.
var (
	SlotWrite       = Event{500, "slot_write", "A slot's ownership record was written, or the write failed; kind is claim, take_over, take_over_dead, reclaim, successors or hand_over.", []string{"slot", "epoch", "kind", "owner", "result"}}
	SlotStarted     = Event{501, "slot_started", "This process now holds the slot.", []string{"slot", "epoch"}}
	SlotStopped     = Event{502, "slot_stopped", "This process no longer holds the slot.", []string{"slot", "epoch", "reason"}}
	SlotExtended    = Event{503, "slot_extended", "All successors promised not to take over the slot, so this process holds it beyond the end of its lease.", []string{"slot", "epoch", "until_ms"}}
	SlotPromise     = Event{504, "slot_promise", "A slot's owner asked this process to promise not to take over the slot.", []string{"slot", "epoch", "asker", "granted", "contact_age_ms"}}
	SlotLease       = Event{505, "slot_lease", "The process's lease was granted, or was found to have expired.", []string{"lease", "state"}}
	SlotOwnerDead   = Event{506, "slot_owner_dead", "An owner process was found to have ended: its address refused a connection, or a newer process responded there.", []string{"owner", "boot"}}
	SlotRelay       = Event{507, "slot_relay", "The process's lease was renewed through a peer, or the attempt failed.", []string{"peer", "result"}}
	SlotHandedOver  = Event{508, "slot_handed_over", "Slots and their token levels were handed over to a peer during a graceful shutdown, or the attempt failed.", []string{"peer", "slots", "result"}}
	SlotRecordError = Event{509, "slot_record_error", "A slot record or lease key could not be decoded and is ignored.", []string{"key", "error"}}
)

var slotEvents = []Event{
	SlotWrite, SlotStarted, SlotStopped, SlotExtended, SlotPromise,
	SlotLease, SlotOwnerDead, SlotRelay, SlotHandedOver, SlotRecordError,
}
