// Package fleet holds what an entry process knows of the deployment: the
// operators' configuration (routes, services, client accounts) and the targets
// that are alive. It knows no transport; the platform adapter decodes into its
// types.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RequestKind says how often a request of a route may run.
type RequestKind int

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests answer with server-sent events; they run at most once
	// unless their route is resumable.
	Stream
)

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   ClientLimits
	// HasAccounts says whether requests need an API key.
	HasAccounts bool

	routes   map[string][]Route
	accounts map[string]*Account
	keys     map[string]*Account
	stores   []string
}

// ClientLimits bound what a caller may send.
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
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// FirstByteObjective is the time to the first byte that callers count on.
	FirstByteObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	Backends  []Backend
}

// Retryable says whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a group of equal targets, or a cache store.
type Service struct {
	Name string
	// MaxConns is the most connections that one target accepts from all callers.
	MaxConns int
	// HasEngines says that the targets are model engines.
	HasEngines bool
	// CacheStore is the address of the KV cache store; empty for other services.
	CacheStore string
}

// Account is one client account.
type Account struct {
	Name string
	// Priority overrides the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no cache with others.
	Isolated bool
	// TokensPerSecond and Burst limit the account; 0 tokens mean no limit.
	TokensPerSecond float64
	Burst           float64
	// DefaultCost is the cost of a request that names no tokens.
	DefaultCost float64
	// CountsRequests says that the limit counts requests instead of tokens.
	CountsRequests bool
}

// NewConfig joins decoded parts into a Config. keys maps API keys to account names.
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
	for _, ofHost := range c.routes {
		slices.SortStableFunc(ofHost, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range accounts {
		c.accounts[accounts[i].Name] = &accounts[i]
	}
	for key, name := range keys {
		c.keys[key] = c.accounts[name]
	}
	return c
}

// Match returns the route with the longest prefix of path on a host.
func (c *Config) Match(host, path string) (Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Authenticate returns the account that holds an API key.
func (c *Config) Authenticate(key string) (*Account, bool) {
	account, ok := c.keys[key]
	return account, ok && account != nil
}

// Account returns an account by name.
func (c *Config) Account(name string) (*Account, bool) {
	account, ok := c.accounts[name]
	return account, ok
}

// CacheStores returns the addresses of the deployment's KV cache stores, sorted.
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
