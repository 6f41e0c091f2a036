// Package loadshed decides which requests of an overloaded service are sent, wait or are
// refused. It holds the queue of the requests that wait in a process for capacity of the
// service's engines.
//
// The package does no I/O. Times are offsets on the process's monotonic clock. A Queue is
// not safe for concurrent use.
package loadshed

import "time"

// Class describes the requests of one priority on one route.
type Class struct {
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Objective is the time to the first byte that callers expect; 0 if they expect none.
	Objective time.Duration
	// Timeout is the longest time until the response is complete; 0 if it is not bounded.
	Timeout time.Duration
}

const (
	// urgentObjectiveDivisor is the part of the smallest objective of the more urgent
	// classes that the queues of engines may take up with less urgent requests. The rest is
	// left for processing the urgent request.
	urgentObjectiveDivisor = 2
	// minLimit is the lower bound of a limit. An idle engine takes about 10 ms to respond, so
	// that a lower limit would leave engines idle.
	minLimit = 40 * time.Millisecond
)

// Limits returns the longest expected time to the first byte, without the time that the
// request's own prompt takes, at which a request of the class is sent to an engine. classes
// holds the classes of all routes that lead to the service. It returns 0 for the most urgent
// class, whose requests are limited only by their own time: a late response is better than none.
func Limits(class Class, classes []Class) time.Duration {
	urgent := time.Duration(0)
	hasUrgent := false
	for _, other := range classes {
		if other.Priority >= class.Priority {
			continue
		}
		hasUrgent = true
		urgent = shortest(urgent, other.Objective/urgentObjectiveDivisor)
	}
	if !hasUrgent {
		return 0
	}
	return max(minLimit, shortest(shortest(urgent, class.Objective), class.Timeout))
}

// SoftLimit returns the limit for the requests of accounts of the most urgent class that use
// more than their share. Their requests wait in the process, so that those of the other
// accounts find short queues.
func SoftLimit(class Class) time.Duration {
	return max(minLimit, shortest(class.Objective, class.Timeout)/urgentObjectiveDivisor)
}

// QueueTarget returns the time that requests of a class are meant to wait at engines under overload:
// the limit of the class, or the soft limit if it has none.
func QueueTarget(class Class, classes []Class) time.Duration {
	if limit := Limits(class, classes); limit > 0 {
		return limit
	}
	return SoftLimit(class)
}

// shortest returns the smaller of two durations, of which 0 stands for no bound.
func shortest(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
