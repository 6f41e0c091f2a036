package canary

import "time"

const (
	// loadTestFraction is the fraction of an order's duration after which all requests go to
	// the new version, as far as the budget permits.
	loadTestFraction = 0.8
	// observationFraction is the fraction of the exposure share that is used before, so that
	// most of the budget is left for the load test.
	observationFraction = 0.25
	// earlySwitchFraction and maxEarlySwitch determine when a version that has been shown to be
	// sound gets all requests: a tenth of the duration before its end, but no longer than it
	// takes most requests at the old version to end.
	earlySwitchFraction = 0.1
	maxEarlySwitch      = 8 * time.Second
	// lateSwitchFraction determines when a version gets all requests against which nothing
	// speaks, but which has not been shown to be sound. If it is faulty after all, the rest of
	// the order together with the budget used before stays within the exposure share.
	lateSwitchFraction = 0.045
	// completeFraction and minCompleteLead determine the time before the end of an order
	// that is left for writing the result to the store, with a repetition.
	completeFraction = 0.02
	minCompleteLead  = 300 * time.Millisecond
)

// phase is what an order's age alone decides.
type phase int

const (
	observing phase = iota
	loadTesting
	ended
)

// phaseAt returns the phase of an order at an age.
func (o *Order) phaseAt(age time.Duration) phase {
	switch {
	case age >= o.Duration:
		return ended
	case age >= o.fraction(loadTestFraction):
		return loadTesting
	default:
		return observing
	}
}

// fraction returns a fraction of the order's duration.
func (o *Order) fraction(f float64) time.Duration {
	return time.Duration(f * float64(o.Duration))
}

// earlySwitch is the age from which a version that has been shown to be sound gets all requests.
func (o *Order) earlySwitch() time.Duration {
	return o.Duration - min(o.fraction(earlySwitchFraction), maxEarlySwitch)
}

// lateSwitch is the age at which a version gets all requests against which nothing speaks.
func (o *Order) lateSwitch() time.Duration {
	return max(o.earlySwitch(), o.Duration-o.fraction(lateSwitchFraction))
}

// completeBy is the age at which the result is written although requests are in flight at the
// old version.
func (o *Order) completeBy() time.Duration {
	return o.Duration - max(minCompleteLead, o.fraction(completeFraction))
}
