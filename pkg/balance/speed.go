package balance

import "math"

const (
	// classesPerDoubling is the number of speed classes for rates that differ by a factor
	// of two.
	classesPerDoubling = 2
	// classHysteresis is the distance, in classes, at which a target changes its class. It
	// exceeds a half, so that noise doesn't move the primary targets of prefixes.
	classHysteresis = 0.8
	// maxSpeedClass bounds the classes to rates that differ by a factor of four from the
	// mean.
	maxSpeedClass = 2 * classesPerDoubling
)

// setSpeedClasses assigns the candidates to classes by their drain rates in relation to
// their mean rate. All processes know about the same rates, so that they agree on most
// classes.
func setSpeedClasses(candidates []candidate) {
	mean := 0.0
	for i := range candidates {
		mean += candidates[i].queue.usualRate / float64(len(candidates))
	}
	for i := range candidates {
		c := &candidates[i]
		exact := classesPerDoubling * math.Log2(c.queue.usualRate/mean)
		if math.Abs(exact-float64(c.state.speedClass)) > classHysteresis {
			c.state.speedClass = min(max(int(math.Round(exact)), -maxSpeedClass), maxSpeedClass)
		}
		c.speedClass = c.state.speedClass
	}
}

// weight returns the rendezvous weight of the candidate for a prefix. The chance to have
// the highest one is proportional to the rate of the candidate's speed class.
func (c *candidate) weight(id uint64) uint64 {
	weight := rendezvousWeight(id, c.hash)
	if c.speedClass == 0 {
		return weight
	}
	rate := math.Exp2(float64(c.speedClass) / classesPerDoubling)
	scaled := math.Pow((float64(weight)+1)/(1<<64), 1/rate) * (1 << 64)
	if scaled >= 1<<64 {
		return math.MaxUint64
	}
	return uint64(scaled)
}
