package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const account = "yards"

func newLedgers(limit Limit, parts int, initial InitialState) []*Ledger {
	ledgers := make([]*Ledger, parts)
	for i := range ledgers {
		ledgers[i] = NewLedger(PartPosition{i, parts}, initial)
		ledgers[i].SetLimits(0, map[string]Limit{account: limit})
	}
	return ledgers
}

func request(id string, tokens int64) Request {
	return Request{ID: id, Tokens: tokens, Timeout: time.Minute}
}

func TestReservations(t *testing.T) {
	Convey("Repeated requests, refunds, overshoot and expiry of reservations", t, func() {
		l := newLedgers(Limit{100, 1000}, 1, InitialState{FirstEpoch: true})[0]
		So(l.Reserve(0, account, request("a", 600)).Outcome, ShouldEqual, Granted)
		So(l.Reserve(0, account, request("a", 600)).Level, ShouldEqual, 400)
		insufficient := l.Reserve(0, account, request("b", 700))
		So(insufficient.Outcome, ShouldEqual, InsufficientTokens)
		So(insufficient.RetryAfter, ShouldEqual, 3*time.Second)
		So(l.Reserve(0, account, request("c", 1001)).Outcome, ShouldEqual, TooLarge)
		So(l.Settle(0, account, "a", 100).Refunded, ShouldEqual, 500)
		So(l.Settle(0, account, "a", 100).Found, ShouldBeFalse)
		So(l.Reserve(0, account, request("a", 600)).Level, ShouldEqual, 900)
		So(l.Reserve(0, account, request("d", 900)).Outcome, ShouldEqual, Granted)
		So(l.Settle(0, account, "d", 950).Level, ShouldEqual, -50)
		So(l.Reserve(time.Second, account, request("e", 50)).Outcome, ShouldEqual, Granted)
		So(l.Settle(2*time.Minute, account, "e", 0).Found, ShouldBeFalse)
		So(l.Totals().OpenReservations, ShouldEqual, 0)
		So(l.Totals().OvershootTokens, ShouldEqual, 50)
	})
	Convey("Accrual up to the capacity cancels the refund of an older reservation", t, func() {
		l := newLedgers(Limit{100, 1000}, 1, InitialState{FirstEpoch: true})[0]
		So(l.Reserve(0, account, request("old", 1000)).Outcome, ShouldEqual, Granted)
		now := 10 * time.Second
		So(l.Reserve(now, account, request("new", 1000)).Outcome, ShouldEqual, Granted)
		So(l.Settle(now, account, "old", 0).Refunded, ShouldEqual, 0)
		So(l.Reserve(now, account, request("third", 1)).Outcome, ShouldEqual, InsufficientTokens)
	})
	Convey("An accrued fraction of a token counts against the capacity for refunds", t, func() {
		l := newLedgers(Limit{21, 1}, 1, InitialState{FirstEpoch: true})[0]
		So(l.Reserve(0, account, request("a", 1)).Outcome, ShouldEqual, Granted)
		So(l.Settle(45*time.Millisecond, account, "a", 0).Refunded, ShouldEqual, 0)
		So(l.Reserve(48*time.Millisecond, account, request("b", 1)).Outcome, ShouldEqual, Granted)
		So(l.Reserve(91*time.Millisecond, account, request("c", 1)).Outcome, ShouldEqual, InsufficientTokens)
	})
	Convey("A lower limit clamps the level; a higher one doesn't raise it", t, func() {
		l := newLedgers(Limit{100, 1000}, 1, InitialState{FirstEpoch: true})[0]
		l.SetLimits(0, map[string]Limit{account: {100, 300}})
		l.SetLimits(0, map[string]Limit{account: {100, 5000}})
		level, _ := l.Level(0, account)
		So(level, ShouldEqual, 300)
	})
}

func TestTransfers(t *testing.T) {
	Convey("A part pulls its missing tokens from siblings; repeated answers have no effect", t, func() {
		ledgers := newLedgers(Limit{30, 900}, 3, InitialState{FirstEpoch: true})
		borrower, big := ledgers[0], request("big", 900)
		So(borrower.Reserve(0, account, big).MissingTokens, ShouldEqual, 600)
		So(borrower.StartTransfer(0, account, big, "t1"), ShouldEqual, 600)
		loan := ledgers[1].Lend(0, account, "t1", 600)
		So(loan, ShouldResemble, Loan{Tokens: 300})
		So(ledgers[1].Lend(0, account, "t1", 600), ShouldResemble, loan)
		So(borrower.FinishTransfer(0, account, big, "t1", 300).MissingTokens, ShouldEqual, 300)
		So(borrower.FinishTransfer(0, account, big, "t1", 300).Outcome, ShouldEqual, InsufficientTokens)
		So(borrower.StartTransfer(0, account, big, "t2"), ShouldEqual, 300)
		So(borrower.FinishTransfer(0, account, big, "t2", 300).Outcome, ShouldEqual, Granted)
	})
	Convey("Lent tokens keep the lender from accruing, and tokens that arrive late are dropped", t, func() {
		ledgers := newLedgers(Limit{2000, 200}, 2, InitialState{FirstEpoch: true})
		So(ledgers[0].StartTransfer(0, account, request("r", 200), "t"), ShouldEqual, 100)
		So(ledgers[1].Lend(0, account, "t", 100).Tokens, ShouldEqual, 100)
		level, _ := ledgers[1].Level(LoanHold-1, account)
		So(level, ShouldEqual, 0)
		level, _ = ledgers[1].Level(2*LoanHold, account)
		So(level, ShouldEqual, 100)
		So(ledgers[0].FinishTransfer(PullTimeout, account, request("r", 200), "t", 100).Outcome, ShouldEqual, InsufficientTokens)
		So(PullTimeout, ShouldBeLessThan, LoanHold)
	})
	Convey("A new owner starts with the handed-over level, or at zero after a crash, and accrues nothing during LoanHold", t, func() {
		oldOwner := newLedgers(Limit{2000, 200}, 1, InitialState{FirstEpoch: true})[0]
		oldOwner.Reserve(0, account, request("r", 150))
		levels := oldOwner.Stop(0)
		So(oldOwner.Reserve(0, account, request("s", 1)).Outcome, ShouldEqual, Stopped)
		newOwner := newLedgers(Limit{2000, 200}, 1, InitialState{Levels: levels})[0]
		level, _ := newOwner.Level(LoanHold, account)
		So(level, ShouldEqual, 50)
		So(newOwner.Settle(LoanHold, account, "r", 0).Found, ShouldBeFalse)
		ownerAfterCrash := newLedgers(Limit{2000, 200}, 1, InitialState{})[0]
		level, _ = ownerAfterCrash.Level(LoanHold, account)
		So(level, ShouldEqual, 0)
	})
	Convey("An InsufficientTokens answer of a new owner has AccrualPaused set until the part starts to accrue", t, func() {
		newOwner := newLedgers(Limit{2000, 200}, 1, InitialState{})[0]
		early := newOwner.Reserve(LoanHold-1, account, request("r", 100))
		So(early.Outcome, ShouldEqual, InsufficientTokens)
		So(early.AccrualPaused, ShouldBeTrue)
		later := newOwner.Reserve(LoanHold, account, request("r", 100))
		So(later.Outcome, ShouldEqual, InsufficientTokens)
		So(later.AccrualPaused, ShouldBeFalse)
	})
}

func TestPartSelector(t *testing.T) {
	own := Limit{100, 1000}
	candidates := []Candidate{{1, "north", own}, {2, "south", own}, {3, "west", own}}
	rng := rand.New(rand.NewPCG(1, 1))
	rankedSlots := func(selector *PartSelector, now time.Duration, tokens int64) string {
		text := ""
		for _, candidate := range selector.Rank(now, rng, account, tokens, candidates, 2) {
			text += fmt.Sprint(candidate.Slot)
		}
		return text
	}
	Convey("Parts are ordered by reachability, sufficiency, data centre and level", t, func() {
		selector := NewPartSelector("south")
		So(rankedSlots(selector, 0, 100)[0], ShouldEqual, '2')
		selector.RecordLevel(0, account, 1, 700)
		selector.RecordLevel(0, account, 2, 50)
		selector.RecordLevel(0, account, 3, 800)
		So(rankedSlots(selector, 0, 750)[0], ShouldEqual, '3')
		So(rankedSlots(selector, 0, 900), ShouldEqual, "31")
		selector.RecordFailure(0, 3)
		So(rankedSlots(selector, 0, 900), ShouldEqual, "12")
		So(rankedSlots(selector, 2*time.Second, 900)[0], ShouldEqual, '3')
		So(rankedSlots(selector, 2*levelMaxAge, 100)[0], ShouldEqual, '2')
	})
}
