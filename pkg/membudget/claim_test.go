package membudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestParts guards against parts that together exceed the whole budget, against memory
// that a refused claim keeps, and against large claims that leave no room for small ones.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, partLimit, largeLimit = 1 << 20, 700 << 10, 500 << 10
		whole := New(limit)
		parts := []*Budget{whole.Part(partLimit, largeLimit), whole.Part(partLimit, largeLimit)}
		claims := make([]*Claim, 16)
		for i := range claims {
			claims[i] = parts[i%2].NewClaim()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			claim := rapid.SampledFrom(claims).Draw(t, "claim")
			size := rapid.Int64Range(0, 200<<10).Draw(t, "size")
			before, usedBefore := claim.Size(), whole.Used()
			switch granted := claim.Grow(size); {
			case !granted && (claim.Size() != before || whole.Used() != usedBefore):
				t.Fatal("a refused claim has changed the budget")
			case granted && before+size > smallBufferBytes && claim.budget.Used() > largeLimit:
				t.Fatalf("a large claim was granted although %d bytes are used", claim.budget.Used())
			}
			if rapid.Bool().Draw(t, "release") {
				claim.Release()
			}
			sums := [2]int64{}
			for i, c := range claims {
				sums[i%2] += c.Size()
			}
			if parts[0].Used() != sums[0] || parts[1].Used() != sums[1] || whole.Used() != sums[0]+sums[1] {
				t.Fatalf("the parts count %d and %d, the whole %d, the claims are %d", parts[0].Used(), parts[1].Used(), whole.Used(), sums)
			}
			if max(sums[0], sums[1]) > partLimit || whole.Used() > limit {
				t.Fatalf("claims of %d bytes exceed the limits", sums)
			}
		}
	})
}

// TestUnlimitedClaim guards against a process without a memory limit that refuses requests.
func TestUnlimitedClaim(t *testing.T) {
	var budget *Budget
	claim := budget.Part(1, 1).NewClaim()
	if !claim.Raise(1<<40) || budget.Used() != 0 || budget.Limit() != 0 {
		t.Error("a claim on no budget was refused or counted")
	}
	claim.Release()
}
