package configcheck

import (
	"fmt"
	"slices"
)

func (c *checker) checkServices() {
	routed := c.routedServices()
	paths := map[string]string{}
	served := map[string]bool{}
	for i := range c.doc.Services {
		service := &c.doc.Services[i]
		if other, ok := paths[service.Name]; ok {
			c.found.add(SeverityError, service.Path, "service %q replaces %s", service.Name, other)
		}
		paths[service.Name] = service.Path
		if service.MaxConns < 0 {
			c.found.add(SeverityError, service.Path+"."+c.doc.Names.MaxConns, "negative, which means no limit")
		}
		if !routed[service.Name] && service.CacheStore == "" {
			c.found.add(SeverityWarning, service.Path, "no request reaches service %q", service.Name)
		}
		if service.HasEngines && len(service.Models) == 0 {
			c.found.add(SeverityWarning, service.Path+"."+c.doc.Names.Models, "the engines of service %q have no model", service.Name)
		}
		for _, model := range service.Models {
			served[model] = served[model] || routed[service.Name]
		}
	}
	c.checkModels(served)
}

// checkModels reports the models of which no request reaches a service.
func (c *checker) checkModels(served map[string]bool) {
	for i := range c.doc.Services {
		service := &c.doc.Services[i]
		for j, model := range service.Models {
			if !served[model] && slices.Index(service.Models, model) == j {
				c.found.add(SeverityWarning, fmt.Sprintf("%s.%s[%d]", service.Path, c.doc.Names.Models, j), "no route leads to a service that serves model %q", model)
			}
		}
	}
}

// routedServices returns the services that requests reach.
func (c *checker) routedServices() map[string]bool {
	routed := map[string]bool{}
	for i := range c.doc.Routes {
		route := &c.doc.Routes[i]
		total := 0.0
		for _, backend := range route.Backends {
			total += max(0, backend.Weight)
		}
		for j, backend := range route.Backends {
			// Without a positive weight, the last service gets all requests.
			if backend.Weight > 0 || (total == 0 && j == len(route.Backends)-1) {
				routed[backend.Service] = true
			}
		}
	}
	return routed
}
