package configcheck

import (
	"fmt"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

func (c *checker) checkRoutes() {
	if len(c.doc.Routes) == 0 {
		c.found.add(SeverityError, c.doc.Names.Routes, "no routes; all requests are refused with 404")
	}
	paths := map[string]string{}
	for i := range c.doc.Routes {
		route := &c.doc.Routes[i]
		if other, ok := paths[route.Name]; ok {
			c.found.add(SeverityWarning, route.Path, "has the name %q of %s; logs can't tell them apart", route.Name, other)
		}
		paths[route.Name] = route.Path
		c.checkReachable(route)
		c.checkRouteTimes(route)
		c.checkAttempts(route)
		c.checkPriority(route.Path+"."+c.doc.Names.Priority, route.Priority)
		c.checkBackends(route)
	}
}

// checkReachable reports a route that no request reaches.
func (c *checker) checkReachable(route *Route) {
	path := route.Path + "." + c.doc.Names.Prefix
	if route.Prefix != "" && route.Prefix[0] != '/' {
		c.found.add(SeverityWarning, path, "never matches, since paths begin with /")
		return
	}
	switch first := c.doc.match(c.indexed, route.Host, firstPath(route.Prefix)); {
	case first == nil || first.Host != route.Host:
		c.found.add(SeverityWarning, route.Path+"."+c.doc.Names.Host, "never matches: hosts are compared in lower case and without a port")
	case first.Path != route.Path:
		c.found.add(SeverityWarning, path, "never matches: %s comes first for all its paths", first.Path)
	}
}

func (c *checker) checkRouteTimes(route *Route) {
	names := &c.doc.Names
	valid := c.checkDuration(route.Path+"."+names.Timeout, route.Timeout)
	valid = c.checkDuration(route.Path+"."+names.Objective, route.FirstByteObjective) && valid
	if valid && route.Timeout > 0 && route.Timeout < route.FirstByteObjective {
		c.found.add(SeverityWarning, route.Path+"."+names.Timeout, "%v is shorter than the objective, %v", route.Timeout, route.FirstByteObjective)
	}
	if route.Resumable && route.Kind != fleet.Stream {
		c.found.add(SeverityWarning, route.Path+"."+names.Resumable, "has no effect on a route without streams")
	}
}

func (c *checker) checkAttempts(route *Route) {
	path := route.Path + "." + c.doc.Names.Attempts
	if route.Attempts < 0 {
		c.found.add(SeverityError, path, "negative; 1 is used")
	}
	for _, backend := range route.Backends {
		if targets, known := c.options.Targets[backend.Service]; known && route.MaxAttempts > targets {
			c.found.add(SeverityWarning, path, "%d is above the %d targets of service %q", route.MaxAttempts, targets, backend.Service)
		}
	}
}

func (c *checker) checkBackends(route *Route) {
	total := 0.0
	for i, backend := range route.Backends {
		path := fmt.Sprintf("%s.%s[%d]", route.Path, c.doc.Names.Backends, i)
		service, ok := c.config.Services[backend.Service]
		switch {
		case !ok:
			c.found.add(SeverityError, path, "service %q does not exist; its requests are refused with 503", backend.Service)
		case service.CacheStore != "":
			c.found.add(SeverityError, path, "service %q is a cache store", backend.Service)
		case backend.Weight < 0:
			c.found.add(SeverityError, path, "negative weight")
		}
		total += max(0, backend.Weight)
	}
	if total == 0 && len(route.Backends) > 1 {
		c.found.add(SeverityWarning, route.Path+"."+c.doc.Names.Backends, "no weight is positive; the last service gets all requests")
	}
}
