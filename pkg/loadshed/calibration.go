package loadshed

import "time"

const (
	// minCalibration is the smallest factor of a Calibration. Estimates that are further off are not
	// corrected, since the factor lags behind when the load rises.
	minCalibration = 1.0 / 3
	// minCalibrationSample is the decayed sum of expected times below which the factor is 1.
	minCalibrationSample = 200 * time.Millisecond
)

// Calibration compares the times to the first byte that were expected with those observed. If the
// estimates are too high, requests would wait or be refused while engines are idle. Estimates that
// are too low need no correction, since the pace of a class follows from the observed times.
type Calibration struct{ expected, observed meter }

// Observe records the first byte of a request.
func (c *Calibration) Observe(now, expected, observed time.Duration) {
	c.expected.add(now, expected.Seconds())
	c.observed.add(now, observed.Seconds())
}

// Factor returns the ratio of the observed times to the expected ones, at most 1.
func (c *Calibration) Factor(now time.Duration) float64 {
	c.expected.decay(now)
	c.observed.decay(now)
	if c.expected.sum < minCalibrationSample.Seconds() {
		return 1
	}
	return min(1, max(minCalibration, c.observed.sum/c.expected.sum))
}
