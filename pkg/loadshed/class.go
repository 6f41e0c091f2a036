package loadshed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// class holds the waiting requests of one priority.
type class struct {
	priority int
	flows    map[string]*flow
	// virtualTime is the start tag of the request that was sent last.
	virtualTime float64
	// finishTags holds the start tags of the next requests of accounts without waiting ones,
	// as far as they are ahead of virtualTime.
	finishTags map[string]float64
	waiting    int
	// direct measures the requests that were sent without waiting.
	direct meter
	// sends measures all requests of the class that were sent.
	sends meter
	usage usage
	pace  pace
	// shortestWait is the shortest time to the first byte, without that of the prompt.
	shortestWait floor
	// returnAt is the time at which the latest refused request of the class was told to return.
	returnAt time.Duration
}

// flow holds the waiting requests of one account in a class, by deadline.
type flow struct {
	account string
	// startTag is the virtual start time of the flow's next request.
	startTag float64
	waiters  []*Waiter
}

// add adds a waiter. A flow that had none begins at the current virtual time, so that it
// neither owns nor pays for the time before.
func (c *class) add(w *Waiter) {
	f, ok := c.flows[w.Account]
	if !ok {
		f = &flow{account: w.Account, startTag: c.nextTag(w.Account)}
		delete(c.finishTags, w.Account)
		c.flows[w.Account] = f
	}
	at, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Insert(f.waiters, at, w)
	w.flow = f
	c.waiting++
}

// nextTag returns the start tag of the next request of an account that has none waiting.
func (c *class) nextTag(account string) float64 {
	return max(c.virtualTime, c.finishTags[account])
}

// compareWaiters orders the requests of an account: by deadline, then by arrival.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.latestSend(), b.latestSend()), cmp.Compare(a.sequence, b.sequence))
}

// remove removes a waiter without sending it.
func (c *class) remove(w *Waiter) {
	f := w.flow
	f.waiters = slices.DeleteFunc(f.waiters, func(other *Waiter) bool { return other == w })
	if len(f.waiters) == 0 {
		delete(c.flows, f.account)
		if f.startTag > c.virtualTime {
			c.finishTags[f.account] = f.startTag
		}
	}
	c.waiting--
	if c.waiting == 0 {
		c.virtualTime = 0
		clear(c.finishTags)
	}
}

// sent removes a waiter that is sent and charges its account.
func (c *class) sent(w *Waiter) {
	f := w.flow
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += w.cost()
	if len(c.finishTags) > maxAccounts {
		maps.DeleteFunc(c.finishTags, func(_ string, tag float64) bool { return tag <= c.virtualTime })
	}
	c.remove(w)
}

// firstWaiters returns the first waiters of the accounts in the order in which they are sent, at
// most limit of them.
func (c *class) firstWaiters(limit int) []*Waiter {
	flows := make([]*flow, 0, len(c.flows))
	for _, f := range c.flows {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.account, b.account))
	})
	firstWaiters := make([]*Waiter, 0, limit)
	for _, f := range flows[:min(limit, len(flows))] {
		firstWaiters = append(firstWaiters, f.waiters[0])
	}
	return firstWaiters
}

// ahead returns the number of waiters of the class that are sent before a new one, or that it would
// delay: those of its account count as well if their deadlines are later.
func (c *class) ahead(w *Waiter) int {
	own, ok := c.flows[w.Account]
	tag, count := c.nextTag(w.Account), 0
	if ok {
		tag = own.startTag
		for _, other := range own.waiters {
			count++
			tag += other.cost()
		}
	}
	for _, f := range c.flows {
		if f == own {
			continue
		}
		start := f.startTag
		for _, other := range f.waiters {
			if start > tag {
				break
			}
			count++
			start += other.cost()
		}
	}
	return count
}

// oldest returns the time at which the class's longest waiting request was enqueued.
func (c *class) oldest() time.Duration {
	oldest := time.Duration(1<<63 - 1)
	for _, f := range c.flows {
		for _, w := range f.waiters {
			oldest = min(oldest, w.EnqueuedAt)
		}
	}
	return oldest
}

// last returns the last waiter of the account with the most waiting cost for its weight.
func (c *class) last() *Waiter {
	var last *Waiter
	largest := 0.0
	for _, f := range c.flows {
		cost := 0.0
		for _, w := range f.waiters {
			cost += w.cost()
		}
		if last == nil || cost > largest || (cost == largest && f.account < last.Account) {
			last, largest = f.waiters[len(f.waiters)-1], cost
		}
	}
	return last
}
