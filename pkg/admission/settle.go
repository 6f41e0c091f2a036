package admission

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const (
	// settleBatch bounds the settlements in one message.
	settleBatch = 256
	// settleLinger is how long a batch waits for more.
	settleLinger = 5 * time.Millisecond
	// settleTimeout bounds one message.
	settleTimeout = 300 * time.Millisecond
	// settleTries bounds the messages that carry one settlement.
	settleTries = 4
	// settlePause is the time before a failed settlement is sent again.
	settlePause = 250 * time.Millisecond
	// settleSenders is the number of messages under way at once.
	settleSenders = 8
)

// settlement tells a part what an admitted request used.
type settlement struct {
	account   string
	requestID string
	slot      uint32
	used      int
	tries     int
	// notBefore is when a failed settlement is due again.
	notBefore time.Time
}

// settle puts a settlement into the ring; without room it is dropped.
func (r *Remote) settle(s settlement) {
	select {
	case r.settles <- s:
	default:
	}
}

// Run sends settlements in batches until ctx ends.
func (r *Remote) Run(ctx context.Context) {
	senders := make(chan struct{}, settleSenders)
	for {
		batch, ok := r.collect(ctx)
		if !ok {
			return
		}
		for address, part := range r.byOwner(batch) {
			select {
			case senders <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-senders }()
				r.send(ctx, address, part)
			}()
		}
	}
}

// collect waits for a settlement and takes those that come soon after it.
func (r *Remote) collect(ctx context.Context) ([]settlement, bool) {
	var batch []settlement
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-r.settles:
		batch = append(batch, first)
	}
	linger := time.NewTimer(settleLinger)
	defer linger.Stop()
	for len(batch) < settleBatch {
		select {
		case next := <-r.settles:
			batch = append(batch, next)
		case <-linger.C:
			return batch, true
		case <-ctx.Done():
			return batch, true
		}
	}
	return batch, true
}

// byOwner groups the settlements that are due by their owner's address; the
// others go back into the ring.
func (r *Remote) byOwner(batch []settlement) map[string][]settlement {
	now := time.Now()
	groups := make(map[string][]settlement)
	for _, s := range batch {
		owner, known := r.Slots.Table.Owner(s.slot)
		switch {
		case s.notBefore.After(now):
			r.settle(s)
		case known:
			groups[owner.Address] = append(groups[owner.Address], s)
		default:
			r.again(s)
		}
	}
	return groups
}

// send sends one message; its settlements go back into the ring when no answer
// comes. A part takes a repeated settlement once.
func (r *Remote) send(ctx context.Context, address string, batch []settlement) {
	request := &peerpb.SettleRequest{Origin: r.Origin()}
	for _, s := range batch {
		request.Settlements = append(request.Settlements, &peerpb.Settlement{
			RequestId: s.requestID, Account: s.account, Slot: s.slot, UsedTokens: uint64(max(s.used, 0)),
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(callCtx, address).Settle(callCtx, request)
	if err == nil {
		r.OnReply(reply.Origin, address)
		return
	}
	r.Peers.Abandon(address)
	for _, s := range batch {
		r.again(s)
	}
}

func (r *Remote) again(s settlement) {
	s.tries++
	if s.tries < settleTries {
		s.notBefore = time.Now().Add(settlePause)
		r.settle(s)
	}
}
