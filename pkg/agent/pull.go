package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

const (
	// lendTimeout bounds the wait for one sibling. Both siblings fit into
	// ratelimit.PullTimeout.
	lendTimeout = 100 * time.Millisecond
	// lenderPause is how long a sibling that did not answer is not asked.
	lenderPause = time.Second
)

// lenders remembers which siblings did not answer of late, and numbers the
// transfers. The zero value is ready for use.
type lenders struct {
	mu     sync.Mutex
	failed map[uint32]time.Time
	number uint64
}

// nextID returns a transfer identifier that no process uses again.
func (l *lenders) nextID(bootID uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return strconv.FormatUint(bootID, 36) + "-" + strconv.FormatUint(l.number, 36)
}

func (l *lenders) mayAsk(slot uint32, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.failed[slot]) >= lenderPause
}

func (l *lenders) noteFailed(slot uint32, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = make(map[uint32]time.Time)
	}
	l.failed[slot] = now
}

// pull asks the siblings of a short part, one after the other, until the
// request fits.
func (a *Agent) pull(ctx context.Context, ledger *ratelimit.Ledger, req *peerpb.AdmitRequest, request ratelimit.Request) ratelimit.Answer {
	for _, sibling := range ratelimit.PartSlots(req.Account, a.ledgers.slotCount) {
		if sibling == req.Slot || !a.lenders.mayAsk(sibling, time.Now()) {
			continue
		}
		transferID := a.lenders.nextID(a.identity.BootID)
		missing := ledger.StartTransfer(a.ledgers.now(), req.Account, request, transferID)
		if missing <= 0 {
			break
		}
		lent, ok := a.borrow(ctx, &peerpb.LendRequest{
			Origin: a.origin(), Account: req.Account, FromSlot: sibling, ToSlot: req.Slot,
			Tokens: uint64(missing), TransferId: transferID,
		})
		if !ok && ctx.Err() != nil {
			break
		}
		if !ok {
			a.lenders.noteFailed(sibling, time.Now())
			continue
		}
		answer := ledger.FinishTransfer(a.ledgers.now(), req.Account, request, transferID, lent)
		if answer.Outcome != ratelimit.InsufficientTokens {
			return answer
		}
	}
	return ledger.FinishPull(a.ledgers.now(), req.Account, request)
}

// borrow asks the owner of a sibling part; false when it did not answer.
func (a *Agent) borrow(ctx context.Context, req *peerpb.LendRequest) (int64, bool) {
	if _, held := a.holds(req.FromSlot); held {
		return a.lend(req).Tokens, true
	}
	address, ok := a.ownerAddress(req.FromSlot)
	if !ok || a.peers == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reply, err := a.peers.Agent(ctx, address).Lend(ctx, req)
	if err != nil {
		a.peers.Abandon(address)
		return 0, false
	}
	return int64(reply.Tokens), true
}

// ownerAddress returns the address of a slot's owner as this process knows it.
func (a *Agent) ownerAddress(slot uint32) (string, bool) {
	table, _ := a.slots.Records()
	for i := range table {
		if table[i].Slot == ownership.SlotID(slot) {
			return table[i].Address, table[i].Address != ""
		}
	}
	return "", false
}
