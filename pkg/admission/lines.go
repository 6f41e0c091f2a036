package admission

import (
	"context"
	"sync"
	"time"
)

// accountQueues serializes the waiting requests of each account in the order of
// their arrival, so that later requests don't take the tokens that an earlier
// one waits for. The zero value is ready for use.
type accountQueues struct {
	mu        sync.Mutex
	byAccount map[string]*accountQueue
}

// accountQueue is the queue of one account's waiting requests.
type accountQueue struct {
	// headLock holds a value while the request at the head calls the parts'
	// owners.
	headLock chan struct{}
	waiting  int
}

// hasWaiting reports whether any requests of the account are waiting.
func (q *accountQueues) hasWaiting(account string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byAccount[account] != nil
}

// acquire joins an account's queue and waits until the request is at its head,
// the deadline passes or ctx ends. The caller must call release in all cases.
func (q *accountQueues) acquire(ctx context.Context, account string, deadline time.Time) (release func()) {
	q.mu.Lock()
	if q.byAccount == nil {
		q.byAccount = make(map[string]*accountQueue)
	}
	queue := q.byAccount[account]
	if queue == nil {
		queue = &accountQueue{headLock: make(chan struct{}, 1)}
		q.byAccount[account] = queue
	}
	queue.waiting++
	q.mu.Unlock()

	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	acquired := false
	select {
	case queue.headLock <- struct{}{}:
		acquired = true
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {
		if acquired {
			<-queue.headLock
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		queue.waiting--
		if queue.waiting == 0 {
			delete(q.byAccount, account)
		}
	}
}
