// Package bundle holds the versioned bundle that operators approve, roll and
// withdraw: client accounts, keys, rates, routes and model versions.
package bundle

import "github.com/baobabhub/baobabhub/pkg/strictjson"

// RouteKind says what stands behind a route.
type RouteKind string

// Kinds of route.
const (
	// RouteKindModel leads to model engines.
	RouteKindModel RouteKind = "model"
	// RouteKindService leads to a plain service.
	RouteKindService RouteKind = "service"
)

// RouteMode says whether a call may be repeated.
type RouteMode string

// Modes of route.
const (
	// RouteModeIdempotent calls may be retried and hedged.
	RouteModeIdempotent RouteMode = "idempotent"
	// RouteModeOnce calls run at most once.
	RouteModeOnce RouteMode = "once"
)

// Bundle is one whole configuration of the fleet.
type Bundle struct {
	// Version only grows; a withdrawal is a new version.
	Version uint64 `json:"version"`
	// Comment is for operators.
	Comment string `json:"comment,omitempty"`
	// KeySalt keys the hashes of API keys; 32 bytes, hexadecimal.
	KeySalt string `json:"key_salt"`
	// Accounts are the client accounts.
	Accounts []ClientAccount `json:"accounts"`
	// Models are the models with their weights versions.
	Models []Model `json:"models"`
	// Routes lead callers to models and services.
	Routes []Route `json:"routes"`
	// Rollout bounds how weights are loaded over the fleet.
	Rollout Rollout `json:"rollout"`
}

// ClientAccount is one customer.
type ClientAccount struct {
	Name string `json:"name"`
	// RateTokensPerSecond and BurstTokens bound the account over all VMs together.
	RateTokensPerSecond int64 `json:"rate_tokens_per_second"`
	BurstTokens         int64 `json:"burst_tokens"`
	// Weight is the account's share of a busy target, relative to others.
	Weight float64 `json:"weight"`
	// Keys are the account's keys, several at once for rotation.
	Keys []Key `json:"keys"`
}

// Key is an API key, kept as a keyed hash.
type Key struct {
	// ID names the key in logs and commands.
	ID string `json:"id"`
	// Hash is HMAC-SHA-256 of the key under the bundle's KeySalt, hexadecimal.
	Hash string `json:"hash"`
}

// Model is one model with the versions that callers may be routed to.
type Model struct {
	Name string `json:"name"`
	// BlockTokens is the number of tokens in a cache block.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is the least average number of prompt bytes in a token.
	BytesPerToken float64 `json:"bytes_per_token"`
	// MaxOutputTokens bounds an answer, and is the default limit.
	MaxOutputTokens int `json:"max_output_tokens"`
	// Versions share the model's traffic by Share.
	Versions []ModelVersion `json:"versions"`
}

// ModelVersion is one weights version of a model.
type ModelVersion struct {
	WeightsVersion string `json:"weights_version"`
	// Share is the version's part of the traffic, relative to its siblings.
	Share    float64  `json:"share"`
	Adapters []string `json:"adapters,omitempty"`
}

// Route leads requests to a pool of targets.
type Route struct {
	Name string `json:"name"`
	// Kind is model or service.
	Kind RouteKind `json:"kind"`
	// Mode is idempotent or once; model routes are idempotent.
	Mode RouteMode `json:"mode"`
	// Path is the caller's path prefix of a service route, "/bids".
	Path string `json:"path,omitempty"`
	// Model is the model of a model route; callers name it in the request.
	Model string `json:"model,omitempty"`
	// Pool names the targets behind the route.
	Pool string `json:"pool"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Accounts that may use the route; empty for all.
	Accounts []string `json:"accounts,omitempty"`
	// Priority is passed to engines that honour it.
	Priority int `json:"priority,omitempty"`
	// Timeout bounds a request on this route.
	Timeout Duration `json:"timeout"`
	// FirstTokenTimeout bounds the wait for the first token; model routes only.
	FirstTokenTimeout Duration `json:"first_token_timeout,omitempty"`
	// IdempotencyWindow is how long results are kept; once routes only.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// CostTokens is what one service call takes from the account's rate.
	CostTokens int64 `json:"cost_tokens,omitempty"`
}

// Rollout bounds how weights are loaded.
type Rollout struct {
	// MaxConcurrentLoads is the number of engines that may load at once.
	MaxConcurrentLoads int `json:"max_concurrent_loads"`
	// CanaryShare is the first traffic share of a new version, 0 to 1.
	CanaryShare float64 `json:"canary_share"`
	// CanaryTime is how long a canary must stay within bounds.
	CanaryTime Duration `json:"canary_time"`
	// MaxErrorRatio and MaxFirstTokenRatio bound a canary against the old version.
	MaxErrorRatio      float64 `json:"max_error_ratio"`
	MaxFirstTokenRatio float64 `json:"max_first_token_ratio"`
	// MinReadyShare is the share of a pool that must stay ready, 0 to 1.
	MinReadyShare float64 `json:"min_ready_share"`
}

// Duration is a time.Duration written as "250ms" in JSON.
type Duration = strictjson.Duration
