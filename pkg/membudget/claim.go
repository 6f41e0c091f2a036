package membudget

// Claim is memory that counts against a Budget but is held elsewhere, such as the header
// map of a request. Its size is an estimate of its owner. It is not safe for concurrent use.
type Claim struct {
	budget *Budget
	size   int64
}

// NewClaim returns an empty claim. The caller must release it.
func (b *Budget) NewClaim() *Claim {
	return &Claim{budget: b}
}

// Grow adds size bytes, and reports whether the budget allows it. The claim is unchanged
// otherwise. Like a buffer, a claim that becomes large may use only a part of the budget.
func (c *Claim) Grow(size int64) bool {
	if !c.budget.reserve(size, c.size) {
		return false
	}
	c.size += size
	return true
}

// Raise makes the claim at least size bytes large, and reports whether the budget allows it.
func (c *Claim) Raise(size int64) bool {
	return size <= c.size || c.Grow(size-c.size)
}

// Size returns the size of the claim in bytes.
func (c *Claim) Size() int64 { return c.size }

// Release returns the memory to the budget. The claim is empty then.
func (c *Claim) Release() {
	c.budget.release(c.size)
	c.size = 0
}
