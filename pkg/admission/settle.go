package admission

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const (
	// maxSettleBatch is the maximum number of settlements per message.
	maxSettleBatch = 256
	// settleBatchDelay is the time that a batch waits for more settlements.
	settleBatchDelay = 5 * time.Millisecond
	// settleTimeout bounds the sending of one message.
	settleTimeout = 300 * time.Millisecond
	// maxSettleAttempts is the maximum number of attempts to send a settlement.
	maxSettleAttempts = 4
	// settleRetryDelay is the delay before a failed settlement is retried.
	settleRetryDelay = 250 * time.Millisecond
	// maxSettleSenders is the maximum number of messages in flight.
	maxSettleSenders = 8
)

// settlement reports to a part the tokens that an admitted request used.
type settlement struct {
	account    string
	requestID  string
	slot       uint32
	usedTokens int
	attempts   int
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// enqueueSettlement queues a settlement, or drops it if the queue is full.
func (r *Remote) enqueueSettlement(s settlement) {
	select {
	case r.settlementQueue <- s:
	default:
	}
}

// Run sends settlements in batches until ctx ends.
func (r *Remote) Run(ctx context.Context) {
	senders := make(chan struct{}, maxSettleSenders)
	for {
		batch, ok := r.collectBatch(ctx)
		if !ok {
			return
		}
		for address, ownerBatch := range r.groupByOwner(batch) {
			select {
			case senders <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-senders }()
				r.sendBatch(ctx, address, ownerBatch)
			}()
		}
	}
}

// collectBatch waits for a settlement and collects those that follow within
// settleBatchDelay. It returns false if ctx ends first.
func (r *Remote) collectBatch(ctx context.Context) ([]settlement, bool) {
	var batch []settlement
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-r.settlementQueue:
		batch = append(batch, first)
	}
	batchTimer := time.NewTimer(settleBatchDelay)
	defer batchTimer.Stop()
	for len(batch) < maxSettleBatch {
		select {
		case next := <-r.settlementQueue:
			batch = append(batch, next)
		case <-batchTimer.C:
			return batch, true
		case <-ctx.Done():
			return batch, true
		}
	}
	return batch, true
}

// groupByOwner groups the settlements that are due by the address of their
// slot's owner. It queues the others again.
func (r *Remote) groupByOwner(batch []settlement) map[string][]settlement {
	now := time.Now()
	groups := make(map[string][]settlement)
	for _, s := range batch {
		owner, known := r.Slots.Table.Owner(s.slot)
		switch {
		case s.notBefore.After(now):
			r.enqueueSettlement(s)
		case known:
			groups[owner.Address] = append(groups[owner.Address], s)
		default:
			r.retrySettlement(s)
		}
	}
	return groups
}

// sendBatch sends one message and retries its settlements later if the call
// fails. Parts apply a repeated settlement only once.
func (r *Remote) sendBatch(ctx context.Context, address string, batch []settlement) {
	request := &peerpb.SettleRequest{Origin: r.Origin()}
	for _, s := range batch {
		request.Settlements = append(request.Settlements, &peerpb.Settlement{
			RequestId: s.requestID, Account: s.account, Slot: s.slot, UsedTokens: uint64(max(s.usedTokens, 0)),
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(callCtx, address).Settle(callCtx, request)
	if err == nil {
		r.OnReply(reply.Origin, address)
		return
	}
	r.Peers.DiscardConnections(address)
	for _, s := range batch {
		r.retrySettlement(s)
	}
}

// retrySettlement queues a failed settlement again, or drops it after
// maxSettleAttempts attempts.
func (r *Remote) retrySettlement(s settlement) {
	s.attempts++
	if s.attempts < maxSettleAttempts {
		s.notBefore = time.Now().Add(settleRetryDelay)
		r.enqueueSettlement(s)
	}
}
