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
	// lendTimeout limits the wait for one sibling part. The waits for both siblings
	// together fit into ratelimit.PullTimeout.
	lendTimeout = 100 * time.Millisecond
	// lenderBackoff is the time for which a sibling is skipped after it failed to
	// answer.
	lenderBackoff = time.Second
)

// lenderTracker records which sibling parts recently failed to answer and assigns
// transfer IDs. The zero value is ready to use.
type lenderTracker struct {
	mu           sync.Mutex
	failedAt     map[uint32]time.Time
	lastTransfer uint64
}

// nextID returns a transfer ID that is unique across processes and boots.
func (l *lenderTracker) nextID(bootID uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTransfer++
	return strconv.FormatUint(bootID, 36) + "-" + strconv.FormatUint(l.lastTransfer, 36)
}

// available reports whether lenderBackoff has passed since the last failure of a
// sibling.
func (l *lenderTracker) available(slot uint32, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.failedAt[slot]) >= lenderBackoff
}

func (l *lenderTracker) markFailed(slot uint32, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedAt == nil {
		l.failedAt = make(map[uint32]time.Time)
	}
	l.failedAt[slot] = now
}

// pull borrows tokens for a request from the sibling parts, one after the other,
// until the request is granted or no sibling is left.
func (a *Agent) pull(ctx context.Context, ledger *ratelimit.Ledger, req *peerpb.AdmitRequest, request ratelimit.Request) ratelimit.Answer {
	for _, sibling := range ratelimit.PartSlots(req.Account, a.ledgers.slotCount) {
		if sibling == req.Slot || !a.lenders.available(sibling, time.Now()) {
			continue
		}
		transferID := a.lenders.nextID(a.identity.BootID)
		missing := ledger.StartTransfer(a.ledgers.now(), req.Account, request, transferID)
		if missing <= 0 {
			break
		}
		tokens, ok := a.borrow(ctx, &peerpb.LendRequest{
			Origin: a.origin(), Account: req.Account, FromSlot: sibling, ToSlot: req.Slot,
			Tokens: uint64(missing), TransferId: transferID,
		})
		if !ok && ctx.Err() != nil {
			break
		}
		if !ok {
			a.lenders.markFailed(sibling, time.Now())
			continue
		}
		answer := ledger.FinishTransfer(a.ledgers.now(), req.Account, request, transferID, tokens)
		if answer.Outcome != ratelimit.InsufficientTokens {
			return answer
		}
	}
	return ledger.FinishPull(a.ledgers.now(), req.Account, request)
}

// borrow requests tokens from the owner of a sibling part. It returns false if the
// owner can't be reached or does not answer.
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
		a.peers.DiscardConnections(address)
		return 0, false
	}
	return int64(reply.Tokens), true
}

// ownerAddress returns the address of a slot's owner according to the local slot
// table.
func (a *Agent) ownerAddress(slot uint32) (string, bool) {
	table, _ := a.slotRunner.Records()
	for i := range table {
		if table[i].Slot == ownership.SlotID(slot) {
			return table[i].Address, table[i].Address != ""
		}
	}
	return "", false
}
