package eventlog

// Entry process events.
var (
	AttemptBegun = Event{900, "attempt_begun", "An attempt to run a request at a target has started. parts lists the parts of the prompt that other requests may share. fingerprint identifies account, method, path and body: a repeated request has the same one. software is the version of the target's software. queued_tokens are the prompt tokens ahead of it, and tokens_per_ms the rate at which the target is expected to process them. resume_from is the event after which a stream continues, and resumes the request that the caller says began it.",
		[]string{"request_id", "route", "account", "try", "target", "weights", "expected_ms", "queued_tokens", "tokens_per_ms", "cached_tokens", "import", "import_from", "save", "prompt_tokens", "prefix", "primary", "recomputed_tokens", "candidates", "load_age_ms", "config", "left_ms", "parts", "fingerprint", "software", "resume_from", "resumes"}}
	AttemptFailed = Event{901, "attempt_failed", "An attempt failed: the target refused the request, returned an error or did not complete the answer, or this process ended it; ended_by is target, or this process's reason: target_silent, superseded by another attempt, caller_left, deadline or stopping. first_event_age_ms is the time since the target's first event of a stream, or -1 if it sent none.",
		[]string{"request_id", "try", "target", "outcome", "status", "sent", "took_ms", "first_event_age_ms", "ended_by", "err"}}
	AnswerDelivered = Event{902, "answer_delivered", "A target's complete answer was delivered to the caller.",
		[]string{"request_id", "route", "account", "target", "status", "tries", "first_byte_ms", "total_ms"}}
	CallerRefused = Event{903, "caller_refused", "A caller received a refusal or an error that the entry process produced; ran is false if the request has not run and never will. part is the quarantined part of the prompt, if any. fingerprint is that of the request, empty if its body was not read.",
		[]string{"request_id", "route", "account", "status", "reason", "ran", "retry_after_ms", "tries", "total_ms", "config", "cost", "level", "part", "fingerprint"}}
	CallerBroken = Event{904, "caller_broken", "The connection to a caller was closed because the answer could not be completed.",
		[]string{"request_id", "route", "target", "events", "total_ms", "err"}}
	CallerLeft = Event{905, "caller_left", "A caller closed its connection before the answer was complete; the request was cancelled at the target.",
		[]string{"request_id", "route", "target", "total_ms"}}
	// CallerCut covers a request that the process has not read completely. The
	// request ID is empty unless the handler had begun.
	CallerCut = Event{906, "caller_cut", "The process closed a caller's connection on an unanswered request: one that it had not read, had read in part, or was handling.",
		[]string{"remote", "request_id", "phase", "unread", "phase_ms"}}
	CallerHeaderRefused = Event{907, "caller_header_refused", "A caller's request was refused because of its header: reason is timeout if it did not arrive completely in time, too_large, memory if the requests in progress leave no memory for it, or evicted if its connection had to make room for another one; the request has not run and never will.",
		[]string{"server", "remote", "status", "reason", "header_ms", "header_bytes", "memory_used"}}
	HandlerPanicked = Event{908, "handler_panicked", "A panic ended the handling of a caller's request. status is 502 if that was sent, or 0 if a response had begun and the connection was closed.",
		[]string{"request_id", "status", "err", "stack"}}
	HTTPServerError = Event{909, "http_server_error", "An HTTP server of the process reported an error.", []string{"server", "err"}}
	ConfigInForce   = Event{910, "config_in_force", "A newer configuration is now in force.",
		[]string{"version", "was"}}
	ConfigRejected = Event{911, "config_rejected", "A configuration or a weights version could not be decoded.",
		[]string{"err", "in_force"}}
	TargetListed = Event{912, "target_listed", "A target was added to the registry, or its state changed.",
		[]string{"target", "service", "address", "data_centre", "draining", "born", "software", "revision"}}
	TargetRemoved    = Event{913, "target_removed", "A target's entry was removed from the registry.", []string{"target", "revision"}}
	TargetUnreadable = Event{914, "target_unreadable", "A target's registry entry names no target to use, and is ignored. It is logged once for each write.",
		[]string{"target", "revision", "err"}}
	StoreLost      = Event{915, "store_lost", "The platform's key-value store does not respond; the last known state remains in use.", []string{"feed", "err"}}
	StoreRegained  = Event{916, "store_regained", "The platform's key-value store responds again.", []string{"feed", "away_ms"}}
	PeerHeard      = Event{917, "peer_heard", "The first message arrived from a peer process, or the first one after an interruption.", []string{"peer", "boot"}}
	PeerSilent     = Event{918, "peer_silent", "No messages arrive from a peer process any more; its share of the rate limits stays reserved for it.", []string{"peer", "silent_ms"}}
	MembersChanged = Event{919, "members_changed", "The set of peer processes changed.", []string{"members", "group", "group_size", "groups", "revision"}}
	LeaseLost      = Event{920, "lease_lost", "The process's lease expired, or its renewal failed.", []string{"err"}}
	LeaderGained   = Event{921, "leader_gained", "This process became the leader and now sends the orders to engines.", []string{"fence"}}
	LeaderLost     = Event{922, "leader_lost", "This process is no longer the leader and sends no more orders to engines.", []string{"fence", "reason"}}
	WeightsNamed   = Event{923, "weights_named", "The operators announced a newer weights version of a model.", []string{"model", "version", "source", "age_ms"}}
	OrderSent      = Event{924, "order_sent", "An order to load weights was sent to an engine.",
		[]string{"target", "model", "version", "fence", "expected", "retain", "outcome", "err", "took_ms"}}
	PeerMessageInvalid = Event{926, "peer_message_invalid", "A message from a peer could not be decoded.", []string{"from", "err"}}
	DutyFailed         = Event{927, "duty_failed", "A background task failed and will be retried.", []string{"duty", "err"}}
	LinesDropped       = Event{928, "log_lines_dropped", "Log lines were dropped because the log output was too slow.", []string{"lines"}}
	CacheStoreRead     = Event{930, "cache_store_read", "The full content of a cache store was read: at start, after a restart of the store, or because changes were missed.",
		[]string{"address", "boot", "parts", "next"}}
	ConfigOverdue = Event{931, "config_overdue", "A peer has a newer configuration that the watch has not delivered; the store is read immediately.", []string{"peer", "version", "in_force"}}
	StoreRestored = Event{932, "store_restored", "The store was restored from an older copy: writes and leases since that copy are gone. The process drops its lease and lists all feeds again.", []string{"era", "was"}}
	FeedRelisted  = Event{933, "feed_relisted", "The changes since the last known revision are no longer available, so all entries of the feed are listed again.", []string{"feed", "era"}}
	// StoreCallsRejected is logged once until a call is accepted again.
	StoreCallsRejected = Event{934, "store_calls_rejected", "The store rejects calls because the fleet exceeds its call rate.", []string{"feed", "err"}}
	TargetLeaving      = Event{935, "target_leaving", "A target announced that it is leaving; it gets no new requests. The source is self for a response to this process, or a peer.", []string{"target", "born", "source"}}
	TargetPaused       = Event{936, "target_paused", "A target rejected a request and wants no further ones from this process for some time.", []string{"request_id", "target", "born", "pause_ms"}}
	GroupHeard         = Event{937, "group_heard", "The state of another group of processes arrives, for the first time, again, or from another hub.", []string{"group", "hub", "boot", "processes"}}
	GroupSilent        = Event{938, "group_silent", "No state of another group of processes arrives any more; its share of the rate limits stays reserved for it.", []string{"group", "hub", "silent_ms"}}
	ResponseSilent     = Event{939, "response_silent", "A target has sent nothing of a repeatable request's response for some time. Its attempt goes on; standby is the target of a second attempt beside it, and reason is why there is none.",
		[]string{"request_id", "try", "target", "events", "took_ms", "standby", "reason", "left_ms"}}
	TargetLimitNamed = Event{945, "target_limit_named", "A target names the requests per second that it takes from all VMs together, or another number than before. share is this process's part. The request is the one whose response told this process, empty if the source is a peer.",
		[]string{"request_id", "target", "born", "per_second", "share", "source"}}
	TargetLimitEnded   = Event{947, "target_limit_ended", "A target no longer names a limit.", []string{"request_id", "target", "born", "source"}}
	TargetLimitInvalid = Event{946, "target_limit_invalid", "A target's response named a limit that is no number of requests per second; it changes nothing.",
		[]string{"request_id", "target", "born", "value"}}
	TargetCrashed = Event{940, "target_crashed", "A target broke off the response to a request, and refuses connections: it has crashed. fingerprint is that of the request if it is suspected, and parts lists the parts of its prompt that are; those of recently completed responses are not. running_unix_ms is the latest time at which the target is known to have been running, and broken_unix_ms that at which the response broke off.",
		[]string{"request_id", "target", "born", "running_unix_ms", "broken_unix_ms", "fingerprint", "parts"}}
	ResponseUnexplained = Event{941, "response_unexplained", "A target broke off the response to a request before or soon after its first event, and is not known to have crashed; reason says what was found.",
		[]string{"request_id", "target", "born", "reason"}}
	PartQuarantined = Event{942, "part_quarantined", "Requests with a part of a prompt are refused, since targets crash under it; only those that contain all companions too, which can't be told apart from it yet. sure is false if a common cause explains the crashes as well, since other targets crashed at the same moments, or if another suspect does: callers are told to come back then. source is self, a peer, or the store.",
		[]string{"part", "crashes", "sure", "companions", "source"}}
	PartReleased = Event{943, "part_released", "A part of a prompt is no longer quarantined: a target has completed a response to a request with it, a single request explains its crashes, or they are too old.",
		[]string{"part", "source"}}
	PartsCleared       = Event{944, "parts_cleared", "A completed response cleared parts of a prompt that were suspected of crashing targets.", []string{"parts"}}
	RequestCleared     = Event{950, "request_cleared", "A completed response cleared a request that was suspected of crashing targets.", []string{"fingerprint"}}
	RequestQuarantined = Event{948, "request_quarantined", "Requests with a fingerprint are refused, since targets crash under them. sure has the meaning that it has for a part. source is self, a peer, or the store.",
		[]string{"fingerprint", "crashes", "sure", "source"}}
	RequestReleased = Event{949, "request_released", "Requests with a fingerprint are no longer quarantined: a target has completed a response to one, another request explains the crashes, or they are too old.",
		[]string{"fingerprint", "source"}}
	TrialBegun = Event{951, "trial_begun", "This process may send one request with a quarantined fingerprint or part to a target. If that completes its response, the quarantine ends.",
		[]string{"fingerprint", "part", "trial"}}
	StreamResumed = Event{952, "stream_resumed", "A caller resumes a stream. software is the version that began it, and source is who knew it: self, a peer, record, or unknown. record is what a read of the record of software versions has shown: one_version, several_versions, incomplete, unread, or nothing if it was not read. resumes is the request that the caller says began it.",
		[]string{"request_id", "resumes", "service", "software", "source", "record", "waited_ms"}}
	SoftwareRecorded = Event{954, "software_recorded", "The record of the software versions that may have begun streams has changed. complete and era say whether, and in which era of the store, no version was missing.",
		[]string{"versions", "complete", "era", "revision"}}
	StreamsTold = Event{955, "streams_told", "A service has got a second software version, and other processes are told which streams began before.",
		[]string{"service", "streams", "witnesses"}}
	TrialTaken = Event{953, "trial_taken", "A quarantined request may be sent to a target, to see whether the suspicion was right. It has one run.",
		[]string{"request_id", "fingerprint", "part"}}
	TargetRunEnded = Event{956, "target_run_ended", "Another, later run was found at the address of a target, so that the run that the registry names has ended. Streams that have begun don't go on there before the registry names the new run. The source is self or a peer.",
		[]string{"target", "born", "source", "age_ms"}}
	TargetRefused = Event{968, "target_refused", "The address of a target refused a connection, so that its run may have ended. Streams that have begun go on there only over a connection on which the run itself answers. The source is self or a peer, and age_ms the time since the refusal.",
		[]string{"target", "born", "source", "age_ms"}}
	StreamsReplicated = Event{971, "streams_replicated", "This process has told others once more which software versions began streams, since they joined or started again (members), are heard again after a silence (heard_again), have asked (asked), or since a message may have been lost (repeat) or this process ends (stop). streams counts each stream once for each process.",
		[]string{"reason", "streams", "processes"}}
	StreamsSynced = Event{972, "streams_synced", "This process has started and has asked the others which software versions began the streams of which it is a witness. missing is the number of processes that have not answered.",
		[]string{"streams", "missing", "waited_ms"}}
	TrialAnswered = Event{970, "trial_answered", "A target has answered a trial with an error, and goes on: it did not crash. That shows nothing about a part of a prompt. A request needs several such answers.",
		[]string{"fingerprint", "part", "target", "born"}}
	TargetRunConfirmed = Event{969, "target_run_confirmed", "The run of a target that refused a connection before, or that seemed to have ended, is running. The source is self or a peer, to which the run answered, or registry, to which it has reported since.",
		[]string{"target", "born", "source", "age_ms"}}
	ConnNotReset = Event{957, "conn_not_reset", "The connection of an incomplete response that ends with its connection could not be set up to be reset, so that its caller may take the response for complete.",
		[]string{"request_id", "err"}}
	RolloutOrdered = Event{958, "rollout_ordered", "The operators ordered to move a service to another software version. The source is store or a peer.",
		[]string{"service", "target", "duration_ms", "age_ms", "revision", "source"}}
	RolloutChanged = Event{959, "rollout_changed", "The state of a rollout of another software version has changed in this process. The source is self, store or a peer, and reason is why. The counts are those of all processes, as far as this one knows them; likelihood is the logarithm to base 10 of the likelihood ratio in favour of a fault.",
		[]string{"service", "target", "state", "reason", "source", "age_ms", "new_runs", "new_failures", "new_timed", "new_slow", "old_runs", "old_failures", "old_timed", "old_slow", "likelihood"}}
	RolloutProgress = Event{960, "rollout_progress", "Once a second: the evidence of a rollout, as in rollout_changed, and the requests of the service that this process has sent and that went to the new version.",
		[]string{"service", "target", "state", "age_ms", "sent", "sent_new", "new_runs", "new_failures", "new_timed", "new_slow", "old_runs", "old_failures", "old_timed", "old_slow", "likelihood"}}
	RolloutRecorded = Event{961, "rollout_recorded", "The leader wrote the state of a rollout to the store.",
		[]string{"service", "target", "state", "fence", "revision"}}
	OverloadRefused = Event{962, "overload_refused", "Overload control refused a request, which has not run: the engines of its service have no room for it, and it would not have been sent in time. ahead is the number of waiting requests before it and rate what the process can send of its class, in requests a second; limit_ms is the longest expected time to the first byte at which it would have been sent. over_ms is how far the best engine was above it when the request arrived.",
		[]string{"request_id", "service", "class", "account", "reason", "ahead", "rate", "expected_wait_ms", "limit_ms", "over_ms", "waited_ms", "waiting", "left_ms"}}
	OverloadAdmitted = Event{963, "overload_admitted", "A request that had waited in the process for room at the engines of its service was sent. min_share says that it was sent beyond the limit of its class, so that less urgent classes get a minimum share.",
		[]string{"request_id", "service", "class", "account", "waited_ms", "expected_ms", "limit_ms", "min_share", "waiting"}}
	CallerConnsLimited = Event{965, "caller_conns_limited", "A port has as many connections as it may have, or no memory for one more. refused counts new connections that were closed at once, evicted those without a request that were closed for new ones, both since the start; it is logged once a second at most.",
		[]string{"server", "remote", "conns", "limit", "refused", "evicted", "memory_used"}}
	HedgeDecided = Event{966, "hedge_decided", "A request had no response for longer than its route's requests usually have none. hedge is the target of a second copy of it, or reason is why there is none yet. delay_ms is the time after which a copy may begin, and last_delay_ms that after which it may use the whole budget; last is true after that. quantile is that of the route's distribution at the delay, and by_expectation is true if that is a distribution of ratios of observed to expected times. expected_ms is the expected time to the first byte at the first target, and hedge_expected_ms at the other.",
		[]string{"request_id", "route", "try", "target", "hedge", "reason", "waited_ms", "delay_ms", "last_delay_ms", "last", "quantile", "by_expectation", "expected_ms", "hedge_expected_ms", "left_ms"}}
	HedgeEnded = Event{967, "hedge_ended", "A hedge has ended or become the request's only attempt: it won (its response came first), lost (the first attempt's did, or the request ended), failed, took_over since the first attempt failed, or ended with its request. saved_ms is an estimate for a hedge that won: the first response is assumed to take twice as long as it had taken when the hedge began, or until a second attempt after the target's silence could respond.",
		[]string{"request_id", "route", "try", "target", "outcome", "waited_ms", "took_ms", "saved_ms"}}
	SettingsReloaded = Event{929, "settings_reloaded", "The settings file was read again after a signal; changes take effect at the next start.", []string{"err"}}
)

var entryEvents = []Event{
	AttemptBegun, AttemptFailed, AnswerDelivered, CallerRefused, CallerBroken, CallerLeft, CallerCut, CallerHeaderRefused, HandlerPanicked, HTTPServerError,
	ConfigInForce, ConfigRejected, TargetListed, TargetRemoved, TargetUnreadable, StoreLost, StoreRegained,
	PeerHeard, PeerSilent, MembersChanged, LeaseLost, LeaderGained, LeaderLost, WeightsNamed, OrderSent,
	PeerMessageInvalid, DutyFailed, LinesDropped, SettingsReloaded, CacheStoreRead, ConfigOverdue,
	StoreRestored, FeedRelisted, StoreCallsRejected, TargetLeaving, TargetPaused, GroupHeard, GroupSilent,
	ResponseSilent, TargetCrashed, ResponseUnexplained, PartQuarantined, PartReleased, PartsCleared,
	TargetLimitNamed, TargetLimitInvalid, TargetLimitEnded, RequestQuarantined, RequestReleased, RequestCleared, TrialBegun, StreamResumed, TrialTaken,
	SoftwareRecorded, StreamsTold, TargetRunEnded, ConnNotReset,
	RolloutOrdered, RolloutChanged, RolloutProgress, RolloutRecorded,
	OverloadRefused, OverloadAdmitted, CallerConnsLimited, HedgeDecided, HedgeEnded,
	TargetRefused, TargetRunConfirmed, TrialAnswered, StreamsReplicated, StreamsSynced,
}
