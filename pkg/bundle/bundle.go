// Package bundle defines the versioned configuration bundle of the fleet: client
// accounts, API keys, rates, routes and model versions. Operators sign, approve,
// publish and withdraw bundles.
package bundle

import "github.com/baobabhub/baobabhub/pkg/strictjson"

// RouteKind is the kind of targets that serve a route.
type RouteKind string

// Route kinds.
const (
	// RouteKindModel routes are served by model engines.
	RouteKindModel RouteKind = "model"
	// RouteKindService routes are served by a plain HTTP service.
	RouteKindService RouteKind = "service"
)

// RouteMode determines whether a call on a route may be repeated.
type RouteMode string

// Route modes.
const (
	// RouteModeIdempotent allows calls to be retried and hedged.
	RouteModeIdempotent RouteMode = "idempotent"
	// RouteModeOnce executes each call at most once.
	RouteModeOnce RouteMode = "once"
)

// Bundle is the complete configuration of the fleet at one version.
type Bundle struct {
	// Version increases with every bundle; withdrawing a bundle publishes the content
	// of an earlier one under a new version.
	Version uint64 `json:"version"`
	// Comment is free text for operators.
	Comment string `json:"comment,omitempty"`
	// KeySalt is the HMAC key of the API key hashes: 32 bytes, hexadecimal.
	KeySalt  string          `json:"key_salt"`
	Accounts []ClientAccount `json:"accounts"`
	// Models lists the models with their weights versions.
	Models []Model `json:"models"`
	// Routes maps requests to models and services.
	Routes []Route `json:"routes"`
	// Rollout limits the loading of weights across the fleet.
	Rollout Rollout `json:"rollout"`
}

// ClientAccount is a customer with its rate limit and API keys.
type ClientAccount struct {
	Name string `json:"name"`
	// RateTokensPerSecond and BurstTokens limit the account across all VMs.
	RateTokensPerSecond int64 `json:"rate_tokens_per_second"`
	BurstTokens         int64 `json:"burst_tokens"`
	// Weight is the account's share of a busy target relative to other accounts.
	Weight float64 `json:"weight"`
	// Keys are the account's API keys; an account can have several to allow rotation.
	Keys []Key `json:"keys"`
}

// Key is an API key, stored as a keyed hash.
type Key struct {
	// ID identifies the key in logs and commands.
	ID string `json:"id"`
	// Hash is the HMAC-SHA-256 of the key with the bundle's KeySalt, hexadecimal.
	Hash string `json:"hash"`
}

// Model is a model with the weights versions that serve its requests.
type Model struct {
	Name string `json:"name"`
	// BlockTokens is the number of tokens in a cache block.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is a lower bound on the average number of prompt bytes per token.
	BytesPerToken float64 `json:"bytes_per_token"`
	// MaxOutputTokens limits the length of a response. It also applies to requests
	// that set no limit.
	MaxOutputTokens int `json:"max_output_tokens"`
	// Versions are the weights versions that split the model's traffic by Share.
	Versions []ModelVersion `json:"versions"`
}

// ModelVersion is a weights version of a model.
type ModelVersion struct {
	WeightsVersion string `json:"weights_version"`
	// Share is the version's share of the traffic, relative to the shares of the
	// model's other versions.
	Share    float64  `json:"share"`
	Adapters []string `json:"adapters,omitempty"`
}

// Route maps requests to a pool of targets.
type Route struct {
	Name string `json:"name"`
	// Kind is RouteKindModel or RouteKindService.
	Kind RouteKind `json:"kind"`
	// Mode is RouteModeIdempotent or RouteModeOnce; model routes must be idempotent.
	Mode RouteMode `json:"mode"`
	// Path is the request path prefix of a service route, for example "/bids".
	Path string `json:"path,omitempty"`
	// Model is the model that a model route serves; requests select the route by it.
	Model string `json:"model,omitempty"`
	// Pool is the name of the target pool that serves the route.
	Pool string `json:"pool"`
	// Open allows requests without an API key.
	Open bool `json:"open,omitempty"`
	// Accounts lists the client accounts that may use the route. An empty list
	// allows all accounts.
	Accounts []string `json:"accounts,omitempty"`
	// Priority is passed on to engines that support request priorities.
	Priority int `json:"priority,omitempty"`
	// Timeout limits the duration of a request.
	Timeout Duration `json:"timeout"`
	// FirstTokenTimeout limits the time to the first token; model routes only.
	FirstTokenTimeout Duration `json:"first_token_timeout,omitempty"`
	// IdempotencyWindow is the retention time of results for replay. It applies to
	// RouteModeOnce only.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// CostTokens is the number of tokens that a service call consumes from the
	// account's rate.
	CostTokens int64 `json:"cost_tokens,omitempty"`
}

// Rollout limits how new weights are loaded and put into service.
type Rollout struct {
	// MaxConcurrentLoads is the number of engines that may load weights at the same
	// time.
	MaxConcurrentLoads int `json:"max_concurrent_loads"`
	// CanaryShare is the initial traffic share of a new version, from 0 to 1.
	CanaryShare float64 `json:"canary_share"`
	// CanaryTime is the time for which a canary must stay within its limits.
	CanaryTime Duration `json:"canary_time"`
	// MaxErrorRatio and MaxFirstTokenRatio limit a canary's error rate and time to
	// first token relative to the old version.
	MaxErrorRatio      float64 `json:"max_error_ratio"`
	MaxFirstTokenRatio float64 `json:"max_first_token_ratio"`
	// MinReadyShare is the share of a pool that must stay ready, from 0 to 1.
	MinReadyShare float64 `json:"min_ready_share"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration = strictjson.Duration
