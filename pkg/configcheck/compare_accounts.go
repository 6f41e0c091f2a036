package configcheck

import (
	"fmt"
	"math"
	"slices"
)

func (c *comparison) compareServices() {
	before, after := byName(c.old.Services, func(s *Service) string { return s.Name }), byName(c.new.Services, func(s *Service) string { return s.Name })
	for i := range c.old.Services {
		service := &c.old.Services[i]
		if before[service.Name] == service && after[service.Name] == nil {
			c.at(service.Path, "service %q", service.Name)
			c.add(SeverityWarning, "service removed", "its targets get no requests")
		}
	}
	for i := range c.new.Services {
		service := &c.new.Services[i]
		if after[service.Name] != service {
			continue
		}
		c.at(service.Path, "service %q", service.Name)
		if old := before[service.Name]; old != nil {
			c.compareService(old, service)
		} else {
			c.add(SeverityNote, "service added", "its targets get the requests of its routes")
		}
	}
}

func (c *comparison) compareService(before, after *Service) {
	names := &c.new.Names
	addBound(c, names.MaxConns, before.MaxConns, after.MaxConns, math.MaxInt, "fewer requests run at once at a target", "more requests run at once at a target")
	addIf(c, SeverityWarning, "engines", before.HasEngines, after.HasEngines, "requests are sent with or without prompts and weights versions")
	addIf(c, SeverityNote, "cache store", before.CacheStore, after.CacheStore, "cached prompts are computed again")
	for _, model := range before.Models {
		if !slices.Contains(after.Models, model) {
			c.add(SeverityWarning, fmt.Sprintf("model %q removed", model), "requests for it are refused")
		}
	}
	for _, model := range after.Models {
		if !slices.Contains(before.Models, model) {
			c.add(SeverityNote, fmt.Sprintf("model %q added", model), "requests for it are served")
		}
	}
}

func (c *comparison) compareAccounts() {
	before, after := byName(c.old.Accounts, func(a *Account) string { return a.Name }), byName(c.new.Accounts, func(a *Account) string { return a.Name })
	c.at(c.new.Names.Accounts, "%s", c.new.Names.Accounts)
	switch {
	case len(c.old.Accounts) > 0 && len(c.new.Accounts) == 0:
		c.add(SeverityWarning, "all accounts removed", "requests need no key, and no rate limits apply")
	case len(c.old.Accounts) == 0 && len(c.new.Accounts) > 0:
		c.add(SeverityWarning, "first accounts added", "requests without a key are refused with 401, except on public routes")
	}
	if len(c.new.Accounts) == 0 {
		return
	}
	for i := range c.old.Accounts {
		account := &c.old.Accounts[i]
		if before[account.Name] == account && after[account.Name] == nil {
			c.at(account.Path, "account %q", account.Name)
			c.add(SeverityWarning, "account removed", "requests with its keys are refused with 401 unless they have another account")
		}
	}
	for i := range c.new.Accounts {
		account := &c.new.Accounts[i]
		if after[account.Name] != account {
			continue
		}
		c.at(account.Path, "account %q", account.Name)
		if old := before[account.Name]; old != nil {
			c.compareAccount(old, account)
		} else {
			c.add(SeverityNote, "account added", "requests with its keys are served")
		}
	}
	c.compareKeys()
}

func (c *comparison) compareAccount(before, after *Account) {
	names := &c.new.Names
	if before.CountsRequests != after.CountsRequests {
		c.add(SeverityWarning, names.Unit+" changed", "the rate limit counts something else")
	} else {
		addBound(c, names.Rate, before.TokensPerSecond, after.TokensPerSecond, math.Inf(1), "more requests are refused with 429", "fewer requests are refused with 429")
		addBound(c, names.Burst, before.Burst, after.Burst, 0, "bursts are refused with 429 sooner", "larger bursts are served")
	}
	if !after.CountsRequests {
		c.compareCost(before, after)
	}
	priority := func(a *Account) string {
		if !a.HasPriority {
			return "none"
		}
		return fmt.Sprint(a.Priority)
	}
	addIf(c, SeverityNote, names.Priority, priority(before), priority(after), "requests are admitted in another order; 0 is the most urgent")
	addIf(c, SeverityNote, "isolated", before.Isolated, after.Isolated, "prompts cached for it, and those that the others share, are computed again")
}

// compareCost compares the costs of requests without token counts. A higher one is worse for callers.
func (c *comparison) compareCost(before, after *Account) {
	severity, effect := SeverityNote, "requests without token counts use less of the rate"
	if after.DefaultCost > before.DefaultCost {
		severity, effect = SeverityWarning, "requests without token counts use more of the rate"
	}
	addIf(c, severity, c.new.Names.Cost, before.DefaultCost, after.DefaultCost, effect)
}

// compareKeys compares what each key gives access to. Keys are secrets, so that changes name their
// places only.
func (c *comparison) compareKeys() {
	before, after := c.old.Config(), c.new.Config()
	eachKey(c.old, func(path, key string, account *Account) {
		c.at(path, "account %q", account.Name)
		owner, ok := after.Authenticate(key)
		switch first, _ := before.Authenticate(key); {
		case !ok:
			c.add(SeverityWarning, "key withdrawn", "requests with it are refused with 401, except on public routes")
		case first != nil && owner.Name != first.Name && first.Name == account.Name:
			c.add(SeverityWarning, fmt.Sprintf("key moved to account %q", owner.Name), "requests with it count for the other account")
		}
	})
	eachKey(c.new, func(path, key string, account *Account) {
		if _, ok := before.Authenticate(key); !ok {
			c.at(path, "account %q", account.Name)
			c.add(SeverityNote, "key added", "requests with it are served")
		}
	})
}

// eachKey calls fn for each API key of a document.
func eachKey(doc *Document, fn func(path, key string, account *Account)) {
	for i := range doc.Accounts {
		for j, key := range doc.Accounts[i].Keys {
			fn(fmt.Sprintf("%s.%s[%d]", doc.Accounts[i].Path, doc.Names.Keys, j), key, &doc.Accounts[i])
		}
	}
}

// byName returns the last entry of each name, which replaces those before it.
func byName[T any](entries []T, name func(*T) string) map[string]*T {
	byName := make(map[string]*T, len(entries))
	for i := range entries {
		byName[name(&entries[i])] = &entries[i]
	}
	return byName
}
