package fleet

import (
	"cmp"
	"slices"
)

// urgency orders requests: by the priority of their account and, among accounts of the same
// priority, by that of their route. Lower values are more urgent.
type urgency struct {
	account, route int
}

// urgencyOf returns the urgency of an account's requests on a route. account may be nil.
func urgencyOf(route *Route, account *Account) urgency {
	if account != nil && account.HasPriority {
		return urgency{account: account.Priority, route: route.Priority}
	}
	return urgency{account: route.Priority, route: route.Priority}
}

// rankUrgencies returns the position of each urgency that requests may have, from 0 on.
func rankUrgencies(routes []Route, accounts []Account) map[urgency]int {
	found := map[urgency]int{}
	for i := range routes {
		if len(accounts) == 0 || routes[i].Public {
			found[urgencyOf(&routes[i], nil)] = 0
		}
		for j := range accounts {
			found[urgencyOf(&routes[i], &accounts[j])] = 0
		}
	}
	ordered := make([]urgency, 0, len(found))
	for u := range found {
		ordered = append(ordered, u)
	}
	slices.SortFunc(ordered, func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
	})
	for rank, u := range ordered {
		found[u] = rank
	}
	return found
}

// Rank returns the position of an account's requests on a route among all requests that the
// configuration allows, by urgency; 0 is the most urgent. account is nil for requests without
// one.
func (c *Config) Rank(route *Route, account *Account) int {
	return c.ranks[urgencyOf(route, account)]
}

// RouteRanks returns the ranks that requests on a route may have.
func (c *Config) RouteRanks(route *Route) []int {
	ranks := map[int]bool{}
	if !c.HasAccounts || route.Public {
		ranks[c.Rank(route, nil)] = true
	}
	for _, account := range c.accounts {
		ranks[c.Rank(route, account)] = true
	}
	list := make([]int, 0, len(ranks))
	for rank := range ranks {
		list = append(list, rank)
	}
	slices.Sort(list)
	return list
}
