// Package fleet holds an entry process's view of the deployment: the operators'
// configuration (routes, services, client accounts) and the live targets.
//
// The package is independent of the transport; the platform adapter decodes
// into its types.
package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestKind classifies the requests of a route by how often they may run.
type RequestKind int

// Request kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with server-sent events. They run at most
	// once unless their route is resumable.
	Stream
)

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   ClientLimits
	// HasAccounts reports whether requests need an API key.
	HasAccounts bool
	// Isolation identifies the set of isolated accounts; empty if there is none. What the others
	// have cached under another set may have been made by an account that is isolated now.
	Isolation string

	routes   map[string][]Route
	accounts map[string]*Account
	keys     map[string]*Account
	stores   []string
	// ranks holds the position of each urgency among those that requests may have.
	ranks map[urgency]int
}

// ClientLimits holds the limits on the requests of callers.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// FirstByteObjective is the time to the first byte that callers expect.
	FirstByteObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another target.
	Resumable bool
	Backends  []Backend
}

// Retryable reports whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Backend is a service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a group of equivalent targets, or a cache store.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that a target accepts in
	// total, from all processes.
	MaxConns int
	// HasEngines reports whether the targets are model engines.
	HasEngines bool
	// CacheStore is the address of the KV cache store; empty for other
	// services.
	CacheStore string
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no cache entries with others.
	Isolated bool
	// TokensPerSecond and Burst limit the use of the account; a
	// TokensPerSecond of 0 means no limit.
	TokensPerSecond float64
	Burst           float64
	// DefaultCost is the cost of a request without token counts.
	DefaultCost float64
	// CountsRequests makes the limit apply to requests instead of tokens.
	CountsRequests bool
}

// LongestResumableTimeout returns the longest timeout of the routes whose streams callers may
// resume.
func (c *Config) LongestResumableTimeout() time.Duration {
	longest := time.Duration(0)
	for _, routes := range c.routes {
		for i := range routes {
			if routes[i].Kind == Stream && routes[i].Resumable {
				longest = max(longest, routes[i].Timeout)
			}
		}
	}
	return longest
}

// NewConfig returns a Config with the given parts. keys maps API keys to
// account names.
func NewConfig(version int64, limits ClientLimits, routes []Route, services []Service, accounts []Account, keys map[string]string) *Config {
	c := &Config{
		Version:     version,
		Limits:      limits,
		Services:    make(map[string]Service, len(services)),
		HasAccounts: len(accounts) > 0,
		stores:      cacheStores(services),
		routes:      map[string][]Route{},
		accounts:    make(map[string]*Account, len(accounts)),
		keys:        make(map[string]*Account, len(keys)),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, hostRoutes := range c.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range accounts {
		c.accounts[accounts[i].Name] = &accounts[i]
	}
	for key, name := range keys {
		c.keys[key] = c.accounts[name]
	}
	c.Isolation = isolationOf(accounts)
	c.ranks = rankUrgencies(routes, accounts)
	return c
}

// isolationOf returns the identifier of the set of isolated accounts.
func isolationOf(accounts []Account) string {
	var names []string
	for i := range accounts {
		if accounts[i].Isolated {
			names = append(names, accounts[i].Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	hash := xxhash.New()
	for _, name := range names {
		// Writing to a hash does not fail.
		_, _ = hash.WriteString(strconv.Itoa(len(name)) + ":" + name)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// Match returns the route on host with the longest prefix of path.
func (c *Config) Match(host, path string) (Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Authenticate returns the account that an API key belongs to.
func (c *Config) Authenticate(key string) (*Account, bool) {
	account, ok := c.keys[key]
	return account, ok && account != nil
}

// Account returns the account with the given name.
func (c *Config) Account(name string) (*Account, bool) {
	account, ok := c.accounts[name]
	return account, ok
}

// RoutesTo returns the routes that lead to a service.
func (c *Config) RoutesTo(service string) []Route {
	var found []Route
	for _, routes := range c.routes {
		for i := range routes {
			if slices.ContainsFunc(routes[i].Backends, func(b Backend) bool { return b.Service == service }) {
				found = append(found, routes[i])
			}
		}
	}
	return found
}

// EachAccount calls fn with each account.
func (c *Config) EachAccount(fn func(*Account)) {
	for _, account := range c.accounts {
		fn(account)
	}
}

// CacheStores returns the sorted addresses of the deployment's KV cache
// stores.
func (c *Config) CacheStores() []string { return c.stores }

func cacheStores(services []Service) []string {
	var stores []string
	for _, service := range services {
		if service.CacheStore != "" {
			stores = append(stores, service.CacheStore)
		}
	}
	slices.Sort(stores)
	return stores
}
