package eventlog

// Rate limit events.
var (
	RateRefused = Event{400, "rate_refused", "A bucket part refused a reservation because it had too few tokens.",
		[]string{"request_id", "account", "slot", "tokens", "level", "retry_after_ms"}}
	RateOvershoot = Event{401, "rate_overshoot", "A request used more tokens than it had reserved; the excess was deducted from the bucket part, whose level may have become negative.",
		[]string{"request_id", "account", "slot", "reserved", "used", "level"}}
	ReservationExpired = Event{402, "reservation_expired", "A reservation was settled after it had expired; nothing was refunded.",
		[]string{"request_id", "account", "slot"}}
	TokensLent = Event{403, "tokens_lent", "A bucket part transferred tokens to another part of the same bucket.",
		[]string{"transfer", "account", "from_slot", "to_slot", "tokens", "level"}}
	PartStarted = Event{404, "part_started", "This agent started serving the bucket parts of a slot under a new epoch.",
		[]string{"slot", "epoch", "handed_over"}}
	PartsUnreachable = Event{405, "parts_unreachable", "No part of the client account's bucket responded; the request was refused without running.",
		[]string{"request_id", "account", "tries"}}
)

var limitEvents = []Event{RateRefused, RateOvershoot, ReservationExpired, TokensLent, PartStarted, PartsUnreachable}
