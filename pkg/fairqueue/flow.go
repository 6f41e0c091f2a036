package fairqueue

import "slices"

// flow holds the queued requests of one client account.
type flow struct {
	account string
	weight  float64
	// startTag is the virtual start time of the flow's next request.
	startTag float64
	// items are the queued requests in service order.
	items      []*queuedRequest
	queuedCost int64
	running    int
}

// insert adds an item after the items that are served before it.
func (f *flow) insert(item *queuedRequest) {
	at := len(f.items)
	for at > 0 && item.before(f.items[at-1]) {
		at--
	}
	f.items = slices.Insert(f.items, at, item)
	f.queuedCost += item.Cost
}

// removeAt removes and returns the item at index i.
func (f *flow) removeAt(i int) *queuedRequest {
	item := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.queuedCost -= item.Cost
	return item
}

// charge advances the flow's start tag by a cost in tokens. A negative cost
// moves it back.
func (f *flow) charge(cost int64) {
	f.startTag += float64(cost) / f.weight
}

// costBefore returns the cost of the flow's requests that would start before
// another account's request with the start tag limitTag.
func (f *flow) costBefore(limitTag float64, account string) int64 {
	var cost int64
	for _, item := range f.items {
		itemTag := f.startTag + float64(cost)/f.weight
		if itemTag > limitTag || (itemTag == limitTag && f.account > account) {
			break
		}
		cost += item.Cost
	}
	return cost
}

// costAhead returns the cost of the flow's requests that would be served before a
// new request of the same account with the given priority.
func (f *flow) costAhead(priority int) int64 {
	var cost int64
	for _, item := range f.items {
		if item.Priority < priority {
			break
		}
		cost += item.Cost
	}
	return cost
}
