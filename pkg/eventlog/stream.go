package eventlog

// Stream and connection events.
var (
	EngineStreamLost = Event{800, "engine_stream_lost",
		"An answer stream from an engine was lost and could not be resumed.", []string{"request_id", "chunk", "err"}}
	EngineStreamResumed = Event{801, "engine_stream_resumed",
		"An answer was resumed over a new connection to the same engine.", []string{"request_id", "chunk"}}
	EngineCancelFailed = Event{802, "engine_cancel_failed",
		"Cancelling a request at its engine failed after the caller disconnected.", []string{"request_id", "err"}}
	PromptRefused = Event{803, "prompt_refused",
		"An agent ended a request before its answer was complete.",
		[]string{"request_id", "attempt", "code", "ran", "message"}}
	PeerStreamResumed = Event{804, "peer_stream_resumed",
		"A router resumed an answer over a new connection to the same agent.",
		[]string{"request_id", "attempt", "vm", "from_frame"}}
	AnswerContinued = Event{805, "answer_continued",
		"An answer is continued by another engine because the first one failed.",
		[]string{"request_id", "attempt", "failed_vm", "answer_tokens"}}
	AnswerBroken = Event{806, "answer_broken",
		"A caller received an error instead of the rest of its answer.",
		[]string{"request_id", "code", "message"}}
)

var streamEvents = []Event{
	EngineStreamLost, EngineStreamResumed, EngineCancelFailed, PromptRefused,
	PeerStreamResumed, AnswerContinued, AnswerBroken,
}
