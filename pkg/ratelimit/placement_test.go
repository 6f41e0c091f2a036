package ratelimit

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestPlacement(t *testing.T) {
	Convey("PartSlots, PartPositionOf and HoldsPart agree, and parts are spread over data centres", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 64).Draw(t, "slots")
			account := fmt.Sprintf("account-%d", rapid.IntRange(0, 2000).Draw(t, "account"))
			partSlots := PartSlots(account, slots)
			if len(partSlots) != min(MaxParts, slots) {
				t.Fatalf("a bucket has %d parts with %d slots", len(partSlots), slots)
			}
			for slot := range uint32(slots) {
				position, holdsAny := PartPositionOf(slot, slots)
				matches := holdsAny && position.Index < len(partSlots) && partSlots[position.Index] == slot
				if HoldsPart(slot, account, slots) != matches {
					t.Fatalf("HoldsPart disagrees on slot %d with the slots %v and its position %v", slot, partSlots, position)
				}
			}
			for dataCentres := 2; dataCentres <= len(partSlots); dataCentres++ {
				seen := map[uint32]bool{}
				for _, slot := range partSlots {
					seen[slot%uint32(dataCentres)] = true
				}
				if len(seen) != dataCentres {
					t.Fatalf("part slots %v lie in only %d of %d data centres", partSlots, len(seen), dataCentres)
				}
			}
		})
	})
}

func TestCredit(t *testing.T) {
	Convey("Levels handed over late are credited up to the capacity, and only before the part starts to accrue", t, func() {
		limits := map[string]Limit{"a": {RateTokensPerSecond: 300, BurstTokens: 300}}
		ledger := NewLedger(PartPosition{Index: 0, Parts: 3}, InitialState{})
		ledger.SetLimits(0, limits)
		So(ledger.Credit(LoanHold/2, map[string]int64{"a": 70, "gone": 9}), ShouldEqual, 70)
		So(ledger.Credit(LoanHold/2, map[string]int64{"a": 70}), ShouldEqual, 30)
		accruing := NewLedger(PartPosition{Index: 0, Parts: 3}, InitialState{})
		accruing.SetLimits(0, limits)
		So(accruing.Credit(LoanHold, map[string]int64{"a": 70}), ShouldEqual, 0)
	})
}
