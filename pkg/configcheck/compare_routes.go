package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// routeKey is what tells callers' routes apart.
type routeKey struct{ host, prefix string }

// routesByKey returns the first route of each key, which is the one that matches.
func routesByKey(routes []Route) map[routeKey]*Route {
	byKey := make(map[routeKey]*Route, len(routes))
	for i := range routes {
		key := routeKey{routes[i].Host, routes[i].Prefix}
		if byKey[key] == nil {
			byKey[key] = &routes[i]
		}
	}
	return byKey
}

func (c *comparison) compareRoutes() {
	before, after := routesByKey(c.old.Routes), routesByKey(c.new.Routes)
	oldConfig, newConfig := c.old.indexedConfig(), c.new.indexedConfig()
	for i := range c.old.Routes {
		route := &c.old.Routes[i]
		key := routeKey{route.Host, route.Prefix}
		if before[key] != route || after[key] != nil {
			continue
		}
		c.atRoute(route)
		if next := c.new.match(newConfig, route.Host, firstPath(route.Prefix)); next != nil {
			c.add(SeverityWarning, "route removed", fmt.Sprintf("its requests go to route %q now", next.Name))
		} else {
			c.add(SeverityWarning, "route removed", "its requests are refused with 404")
		}
	}
	for i := range c.new.Routes {
		route := &c.new.Routes[i]
		key := routeKey{route.Host, route.Prefix}
		switch old := before[key]; {
		case after[key] != route:
		case old != nil:
			c.atRoute(route)
			c.compareRoute(old, route)
		default:
			c.atRoute(route)
			c.addRoute(c.old.match(oldConfig, route.Host, firstPath(route.Prefix)))
		}
	}
}

func (c *comparison) atRoute(route *Route) {
	c.at(route.Path, "route %q, %s%s", route.Name, route.Host, route.Prefix)
}

// addRoute adds a new route, whose requests went to another one before unless that is nil.
func (c *comparison) addRoute(before *Route) {
	if before == nil {
		c.add(SeverityNote, "route added", "its requests were refused with 404")
		return
	}
	c.add(SeverityWarning, "route added", fmt.Sprintf("its requests went to route %q", before.Name))
}

func (c *comparison) compareRoute(before, after *Route) {
	names := &c.new.Names
	addIf(c, SeverityNote, names.Name, before.Name, after.Name, "logs and metrics use the new name")
	if before.Kind != after.Kind {
		c.add(SeverityWarning, names.Kind+" changed", kindEffect(&after.Route))
	} else {
		c.compareResumable(before, after)
	}
	addBound(c, names.Timeout, before.Timeout, after.Timeout, defaultTime, "slower responses end with 504", "slower responses are waited for")
	addBound(c, names.Objective, before.FirstByteObjective, after.FirstByteObjective, 0, "second attempts begin earlier", "second attempts begin later")
	addBound(c, names.Attempts, before.MaxAttempts, after.MaxAttempts, 1, "requests are tried at fewer targets", "requests are tried at more targets")
	addIf(c, SeverityNote, names.Priority, before.Priority, after.Priority, "requests are admitted in another order; 0 is the most urgent")
	switch {
	case before.Public && !after.Public:
		c.add(SeverityWarning, names.Public+" withdrawn", "requests without a key are refused with 401")
	case !before.Public && after.Public:
		c.add(SeverityWarning, names.Public+" set", "requests need no key")
	}
	if old, now := backendsText(before.Backends), backendsText(after.Backends); old != now {
		c.add(SeverityNote, names.Backends+" "+old+" → "+now, "requests go to other services, or in other shares")
	}
}

func (c *comparison) compareResumable(before, after *Route) {
	switch {
	case after.Kind != fleet.Stream:
	case before.Resumable && !after.Resumable:
		c.add(SeverityWarning, c.new.Names.Resumable+" withdrawn", "streams whose target fails are broken off")
	case !before.Resumable && after.Resumable:
		c.add(SeverityWarning, c.new.Names.Resumable+" set", "streams may run at more than one target")
	}
}

func kindEffect(after *fleet.Route) string {
	switch {
	case after.Retryable():
		return "requests may run more than once"
	case after.Kind == fleet.Stream:
		return "responses have to be streams; requests run at most once"
	default:
		return "requests run at most once; those whose target fails get 502"
	}
}

func backendsText(backends []fleet.Backend) string {
	texts := make([]string, len(backends))
	for i, backend := range backends {
		texts[i] = fmt.Sprintf("%s:%g", backend.Service, backend.Weight)
	}
	slices.Sort(texts)
	return strings.Join(texts, ",")
}
