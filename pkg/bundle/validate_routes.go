package bundle

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// routeNames holds what routes refer to and what they must not repeat.
type routeNames struct {
	accounts, models    map[string]bool
	names, served, path map[string]string
}

func (v *validator) routes(b Bundle) {
	known := routeNames{
		accounts: map[string]bool{}, models: map[string]bool{},
		names: map[string]string{}, served: map[string]string{}, path: map[string]string{},
	}
	for _, account := range b.Accounts {
		known.accounts[account.Name] = true
	}
	for _, model := range b.Models {
		known.models[model.Name] = true
	}
	for i, route := range b.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.name(path+".name", route.Name)
		v.unique(known.names, path+".name", route.Name)
		v.name(path+".pool", route.Pool)
		v.duration(path+".timeout", route.Timeout, 1, MaxRouteTimeout)
		v.whole(path+".priority", int64(route.Priority), -MaxPriority, MaxPriority)
		v.whole(path+".cost_tokens", route.CostTokens, 0, MaxRateTokens)
		v.duration(path+".first_token_timeout", route.FirstTokenTimeout, 0, route.Timeout)
		v.duration(path+".idempotency_window", route.IdempotencyWindow, 0, MaxRouteTimeout)
		v.routeAccounts(path, route, known)
		switch route.Kind {
		case RouteKindModel:
			v.modelRoute(path, route, known)
		case RouteKindService:
			v.serviceRoute(path, route, known)
		default:
			v.check(false, path+".kind", string(route.Kind), `"model" or "service"`)
		}
	}
}

func (v *validator) routeAccounts(path string, route Route, known routeNames) {
	seen := map[string]string{}
	for i, account := range route.Accounts {
		accountPath := fmt.Sprintf("%s.accounts[%d]", path, i)
		v.check(known.accounts[account], accountPath, account, "the name of an account")
		v.unique(seen, accountPath, account)
	}
	v.check(!route.Open || len(route.Accounts) == 0, path+".accounts", fmt.Sprintf("%d entries", len(route.Accounts)),
		"no entries on an open route")
}

func (v *validator) modelRoute(path string, route Route, known routeNames) {
	v.check(known.models[route.Model], path+".model", route.Model, "the name of a model")
	v.unique(known.served, path+".model", route.Model)
	v.check(route.Mode == RouteModeIdempotent, path+".mode", string(route.Mode), `"idempotent" on a model route`)
	v.check(route.Path == "", path+".path", route.Path, "no path on a model route")
	v.check(route.IdempotencyWindow == 0, path+".idempotency_window", "a window", "none on a model route")
}

func (v *validator) serviceRoute(path string, route Route, known routeNames) {
	clean := strings.HasPrefix(route.Path, "/") && utf8.ValidString(route.Path) && !strings.HasSuffix(route.Path, "/") &&
		!strings.ContainsAny(route.Path, "?#% \t\r\n") && !strings.Contains(route.Path, "//") &&
		!strings.Contains(route.Path+"/", "/../") && !strings.Contains(route.Path+"/", "/./")
	v.check(clean, path+".path", route.Path, `a path prefix such as "/bids"`)
	v.unique(known.path, path+".path", route.Path)
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
