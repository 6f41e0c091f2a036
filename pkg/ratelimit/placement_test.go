package ratelimit

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestPlacement(t *testing.T) {
	Convey("An account's parts lie in distinct slots, which know their part alike", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 64).Draw(t, "slots")
			account := fmt.Sprintf("account-%d", rapid.IntRange(0, 2000).Draw(t, "account"))
			held := PartSlots(account, slots)
			if len(held) != min(MaxParts, slots) {
				t.Fatalf("%d parts for %d slots", len(held), slots)
			}
			for slot := range uint32(slots) {
				place, any := PartPositionOf(slot, slots)
				named := any && place.Index < len(held) && held[place.Index] == slot
				if HoldsPart(slot, account, slots) != named {
					t.Fatalf("slot %d of %v: place %v", slot, held, place)
				}
			}
			for centres := 2; centres <= len(held); centres++ {
				seen := map[uint32]bool{}
				for _, slot := range held {
					seen[slot%uint32(centres)] = true
				}
				if len(seen) != centres {
					t.Fatalf("parts %v lie in %d of %d data centres", held, len(seen), centres)
				}
			}
		})
	})
}

func TestCredit(t *testing.T) {
	Convey("Levels handed over never come on top of what the rate has yielded", t, func() {
		limits := map[string]Limit{"a": {RateTokensPerSecond: 300, BurstTokens: 300}}
		ledger := NewLedger(PartPosition{Index: 0, Parts: 3}, InitialState{})
		ledger.SetLimits(0, limits)
		So(ledger.Credit(LoanHold/2, map[string]int64{"a": 70, "gone": 9}), ShouldEqual, 70)
		So(ledger.Credit(LoanHold/2, map[string]int64{"a": 70}), ShouldEqual, 30)
		late := NewLedger(PartPosition{Index: 0, Parts: 3}, InitialState{})
		late.SetLimits(0, limits)
		So(late.Credit(LoanHold, map[string]int64{"a": 70}), ShouldEqual, 0)
	})
}
