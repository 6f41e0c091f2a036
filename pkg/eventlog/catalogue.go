package eventlog

import "slices"

// Catalogue lists every event, in number order. Each subsystem keeps its own
// hundred numbers in a file of its own.
var Catalogue = slices.Concat(
	processEvents,     // 1xx
	routingEvents,     // 2xx
	targetEvents,      // 3xx
	limitEvents,       // 4xx
	slotEvents,        // 5xx
	idempotencyEvents, // 6xx
	bundleEvents,      // 7xx
	streamEvents,      // 8xx
	entryEvents,       // 9xx
)
