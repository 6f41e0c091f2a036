package loadshed

import "time"

const (
	// excessUse is the use of an account, relative to the mean of the accounts of its class,
	// from which it uses more than its share. It leaves room for ordinary differences.
	excessUse = 1.5
	// minUse is the cost relative to its weight, decayed, below which an account is forgotten.
	minUse = 0.001
	// usageInterval is the interval at which accounts without requests are forgotten.
	usageInterval = 500 * time.Millisecond
	// maxAccounts bounds the accounts whose use is measured in a class.
	maxAccounts = 4096
)

// usage measures the cost of the requests of each account of a class relative to its weight.
type usage struct {
	byAccount map[string]*accountUse
	// cost is the cost of all accounts, and weight the weight of those in byAccount.
	cost     meter
	weight   float64
	prunedAt time.Duration
}

type accountUse struct {
	cost   meter
	weight float64
}

func (u *usage) add(now time.Duration, account string, weight, cost float64) {
	if len(u.byAccount) >= maxAccounts {
		clear(u.byAccount)
		u.weight = 0
	}
	if u.byAccount == nil {
		u.byAccount = map[string]*accountUse{}
	}
	use, ok := u.byAccount[account]
	if !ok {
		use = &accountUse{}
		u.byAccount[account] = use
	}
	u.weight += weight - use.weight
	use.weight = weight
	use.cost.add(now, cost)
	u.cost.add(now, cost)
}

// isExcessive reports whether an account uses more than its share.
func (u *usage) isExcessive(now time.Duration, account string) bool {
	if now-u.prunedAt >= usageInterval {
		u.prune(now)
	}
	use, ok := u.byAccount[account]
	return ok && use.cost.rate(now)/use.weight > excessUse*u.cost.rate(now)/u.weight
}

// prune forgets the accounts that have sent nothing lately.
func (u *usage) prune(now time.Duration) {
	u.prunedAt, u.weight = now, 0
	for name, use := range u.byAccount {
		use.cost.decay(now)
		if use.cost.sum < minUse*use.weight {
			delete(u.byAccount, name)
			continue
		}
		u.weight += use.weight
	}
}
