package eventlog

import "slices"

// Catalogue lists all events in the order of their numbers. Each subsystem has a range
// of 100 numbers and its own file.
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
