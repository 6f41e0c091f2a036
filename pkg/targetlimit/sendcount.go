package targetlimit

import "time"

const (
	// sendCountPeriod is the period over which requests are counted, in
	// sendCountBuckets parts.
	sendCountPeriod  = 4 * time.Second
	sendCountBuckets = 8
	bucketLength     = sendCountPeriod / sendCountBuckets
)

// sendCount counts the requests to a target in the latest sendCountPeriod.
type sendCount struct {
	buckets [sendCountBuckets]int
	// newest is the number of the newest bucket since the start of the process.
	newest int
}

func (c *sendCount) add(now time.Duration) {
	c.advance(now)
	c.buckets[c.newest%sendCountBuckets]++
}

func (c *sendCount) sum(now time.Duration) int {
	c.advance(now)
	sum := 0
	for _, n := range c.buckets {
		sum += n
	}
	return sum
}

// advance clears the buckets that begin by now.
func (c *sendCount) advance(now time.Duration) {
	current := int(now / bucketLength)
	for n := max(c.newest, current-sendCountBuckets) + 1; n <= current; n++ {
		c.buckets[n%sendCountBuckets] = 0
	}
	c.newest = max(c.newest, current)
}
