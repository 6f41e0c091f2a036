package configcheck

import "fmt"

func (c *checker) checkAccounts() {
	paths, keyOwners := map[string]string{}, map[string]string{}
	for i := range c.doc.Accounts {
		account := &c.doc.Accounts[i]
		if account.Name == "" {
			c.found.add(SeverityError, account.Path+"."+c.doc.Names.Name, "empty; its requests look like those without an account")
		}
		if other, ok := paths[account.Name]; ok {
			c.found.add(SeverityError, account.Path, "account %q replaces %s", account.Name, other)
		}
		paths[account.Name] = account.Path
		if len(account.Keys) == 0 {
			c.found.add(SeverityWarning, account.Path, "account %q has no key, so that no request uses it", account.Name)
		}
		if account.HasPriority {
			c.checkPriority(account.Path+"."+c.doc.Names.Priority, account.Priority)
		}
		c.checkKeys(account, keyOwners)
		c.checkRate(account)
	}
}

// checkKeys reports unusable keys. owners holds the paths of the keys that have been seen. The keys
// themselves are secrets and not part of any finding.
func (c *checker) checkKeys(account *Account, owners map[string]string) {
	for i, key := range account.Keys {
		path := fmt.Sprintf("%s.%s[%d]", account.Path, c.doc.Names.Keys, i)
		owner, ok := c.config.Authenticate(key)
		switch other, repeated := owners[key]; {
		case key == "":
			c.found.add(SeverityError, path, "empty; requests without a key would use account %q", account.Name)
		case repeated:
			c.found.add(SeverityError, path, "the same key as %s", other)
		case !ok:
			c.found.add(SeverityError, path, "the key has no account")
		case owner.Name != account.Name:
			c.found.add(SeverityError, path, "the key belongs to account %q too, which gets its requests", owner.Name)
		}
		owners[key] = path
	}
}

// checkRate reports a rate limit that has another effect than it seems to have.
func (c *checker) checkRate(account *Account) {
	names := &c.doc.Names
	rate, burst, cost := account.Path+"."+names.Rate, account.Path+"."+names.Burst, account.Path+"."+names.Cost
	request, unit := account.DefaultCost, "tokens"
	if account.CountsRequests {
		request, unit = 1, "requests"
	}
	switch {
	case account.TokensPerSecond < 0:
		c.found.add(SeverityError, rate, "negative, which means no limit")
		return
	case account.Burst < 0:
		c.found.add(SeverityError, burst, "negative")
		return
	case account.DefaultCost < 0:
		c.found.add(SeverityError, cost, "negative; requests without token counts would add tokens")
		return
	case account.TokensPerSecond == 0:
		return
	}
	if account.TokensPerSecond < request {
		c.found.add(SeverityWarning, rate, "%g %s a second is less than one request a second", account.TokensPerSecond, unit)
	}
	if account.Burst < request {
		c.found.add(SeverityWarning, burst, "%g %s is less than one request", account.Burst, unit)
	}
}
