package loadshed

import "time"

const (
	// excessUse is the use of an account, relative to the mean of the accounts of its class,
	// from which it uses more than its share. It leaves room for ordinary differences.
	excessUse = 1.5
	// minUse is the use below which an account is forgotten.
	minUse = 0.01
	// maxAccounts bounds the accounts whose use is measured in a class.
	maxAccounts = 4096
)

// usage measures the cost of the requests of each account of a class relative to its weight.
type usage struct {
	byAccount map[string]*accountUse
}

type accountUse struct {
	cost   meter
	weight float64
}

func (u *usage) add(now time.Duration, account string, weight, cost float64) {
	use, ok := u.byAccount[account]
	if !ok {
		if len(u.byAccount) >= maxAccounts {
			u.prune(now)
		}
		if u.byAccount == nil {
			u.byAccount = map[string]*accountUse{}
		}
		use = &accountUse{}
		u.byAccount[account] = use
	}
	use.weight = weight
	use.cost.add(now, cost)
}

// isExcessive reports whether an account uses more than its share.
func (u *usage) isExcessive(now time.Duration, account string) bool {
	use, ok := u.byAccount[account]
	if !ok {
		return false
	}
	cost, weight := 0.0, 0.0
	for name, other := range u.byAccount {
		rate := other.cost.rate(now)
		if rate < minUse*other.weight/meterWindow.Seconds() {
			delete(u.byAccount, name)
			continue
		}
		cost += rate
		weight += other.weight
	}
	return use.cost.rate(now)/use.weight > excessUse*cost/weight
}

// prune removes the accounts with the least use, or all of them if none is idle.
func (u *usage) prune(now time.Duration) {
	for name, use := range u.byAccount {
		if use.cost.rate(now) < use.weight {
			delete(u.byAccount, name)
		}
	}
	if len(u.byAccount) >= maxAccounts {
		clear(u.byAccount)
	}
}
