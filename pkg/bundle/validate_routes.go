package bundle

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// routeReferences holds the names of the accounts and models that routes may refer
// to, and the names, models and paths that earlier routes use, which must be
// unique. Each used value maps to the JSON path of its first use.
type routeReferences struct {
	accounts, models                 map[string]bool
	usedNames, usedModels, usedPaths map[string]string
}

func (v *validator) routes(b Bundle) {
	refs := routeReferences{
		accounts: map[string]bool{}, models: map[string]bool{},
		usedNames: map[string]string{}, usedModels: map[string]string{}, usedPaths: map[string]string{},
	}
	for _, account := range b.Accounts {
		refs.accounts[account.Name] = true
	}
	for _, model := range b.Models {
		refs.models[model.Name] = true
	}
	for i, route := range b.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.name(path+".name", route.Name)
		v.unique(refs.usedNames, path+".name", route.Name)
		v.name(path+".pool", route.Pool)
		v.duration(path+".timeout", route.Timeout, 1, MaxRouteTimeout)
		v.integer(path+".priority", int64(route.Priority), -MaxPriority, MaxPriority)
		v.integer(path+".cost_tokens", route.CostTokens, 0, MaxRateTokens)
		v.duration(path+".first_token_timeout", route.FirstTokenTimeout, 0, route.Timeout)
		v.duration(path+".idempotency_window", route.IdempotencyWindow, 0, MaxRouteTimeout)
		v.routeAccounts(path, route, refs)
		switch route.Kind {
		case RouteKindModel:
			v.modelRoute(path, route, refs)
		case RouteKindService:
			v.serviceRoute(path, route, refs)
		default:
			v.check(false, path+".kind", string(route.Kind), `"model" or "service"`)
		}
	}
}

func (v *validator) routeAccounts(path string, route Route, refs routeReferences) {
	seen := map[string]string{}
	for i, account := range route.Accounts {
		accountPath := fmt.Sprintf("%s.accounts[%d]", path, i)
		v.check(refs.accounts[account], accountPath, account, "the name of an account")
		v.unique(seen, accountPath, account)
	}
	v.check(!route.Open || len(route.Accounts) == 0, path+".accounts", fmt.Sprintf("%d entries", len(route.Accounts)),
		"no entries on an open route")
}

func (v *validator) modelRoute(path string, route Route, refs routeReferences) {
	v.check(refs.models[route.Model], path+".model", route.Model, "the name of a model")
	v.unique(refs.usedModels, path+".model", route.Model)
	v.check(route.Mode == RouteModeIdempotent, path+".mode", string(route.Mode), `"idempotent" on a model route`)
	v.check(route.Path == "", path+".path", route.Path, "no path on a model route")
	v.check(route.IdempotencyWindow == 0, path+".idempotency_window", "a window", "none on a model route")
}

func (v *validator) serviceRoute(path string, route Route, refs routeReferences) {
	valid := strings.HasPrefix(route.Path, "/") && utf8.ValidString(route.Path) && !strings.HasSuffix(route.Path, "/") &&
		!strings.ContainsAny(route.Path, "?#% \t\r\n") && !strings.Contains(route.Path, "//") &&
		!strings.Contains(route.Path+"/", "/../") && !strings.Contains(route.Path+"/", "/./")
	v.check(valid, path+".path", route.Path, `a path prefix such as "/bids"`)
	v.unique(refs.usedPaths, path+".path", route.Path)
	v.check(route.Model == "", path+".model", route.Model, "no model on a service route")
	v.check(route.FirstTokenTimeout == 0, path+".first_token_timeout", "a timeout", "none on a service route")
	switch route.Mode {
	case RouteModeIdempotent:
		v.check(route.IdempotencyWindow == 0, path+".idempotency_window", "a window", "none on an idempotent route")
	case RouteModeOnce:
		v.check(route.IdempotencyWindow > 0, path+".idempotency_window", "no window", "a window on a route of mode once")
	default:
		v.check(false, path+".mode", string(route.Mode), `"idempotent" or "once"`)
	}
}
