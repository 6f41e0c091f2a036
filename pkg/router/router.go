// Package router serves callers on an entry VM: it checks API keys, reserves
// rate-limit tokens, selects a target and relays its answer. It keeps no durable
// state, so that a restarted router can serve immediately.
package router

import (
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/admission"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
	"github.com/baobabhub/baobabhub/pkg/slottable"
)

// Identity identifies a router process and its location.
type Identity struct {
	VMID       string
	BootID     uint64
	Region     string
	DataCentre string
}

// Options holds a router's timeouts and limits.
type Options struct {
	// ProbeWindow bounds the wait for probe answers.
	ProbeWindow schedule.ProbeWindowSettings
	// RetryBudget bounds retries as a share of requests.
	RetryBudget schedule.RetryBudgetSettings
	// FirstFrameTimeout bounds the wait for the first frame on a connection.
	FirstFrameTimeout time.Duration
	// FrameTimeout bounds the wait for each later frame.
	FrameTimeout time.Duration
	// ResumeTimeout bounds the time spent on resuming an answer stream without
	// receiving a new frame.
	ResumeTimeout time.Duration
	// MaxDispatches bounds the dispatches of one request.
	MaxDispatches int
}

// DefaultOptions returns the options that apply when the settings override none.
func DefaultOptions() Options {
	return Options{
		ProbeWindow:       schedule.DefaultProbeWindowSettings(),
		RetryBudget:       schedule.DefaultRetryBudgetSettings(),
		FirstFrameTimeout: 300 * time.Millisecond,
		FrameTimeout:      1500 * time.Millisecond,
		ResumeTimeout:     3 * time.Second,
		MaxDispatches:     4,
	}
}

// Config holds a router's options and dependencies.
type Config struct {
	Identity  Identity
	Options   Options
	Log       *eventlog.Logger
	Bundles   *bundle.Store
	Directory *schedule.Directory
	Policy    schedule.Policy
	Peers     *peer.Client
	Admission admission.Admitter
	// Observer receives decisions and finished requests. It may be nil.
	Observer Observer
	// Slots is the table of slot owners. If it is nil, at-most-once calls are
	// refused.
	Slots *slottable.Table
}

// Router implements caller.Backend. It is safe for concurrent use.
type Router struct {
	Config
	retries       *schedule.RetryBudget
	draining      atomic.Bool
	slotRefreshes slotRefreshLimiter
}

var _ caller.Backend = (*Router)(nil)

// New returns a Router with the given configuration.
func New(config Config) *Router {
	if config.Observer == nil {
		config.Observer = nopObserver{}
	}
	return &Router{
		Config:  config,
		retries: schedule.NewRetryBudget(config.Options.RetryBudget, time.Now()),
	}
}

// Drain makes the router report that it is not ready, so that the load balancer
// sends it no new connections. It still serves requests that arrive.
func (r *Router) Drain() {
	r.draining.Store(true)
}

// Ready implements caller.Backend.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.Bundles.Current() != nil && len(r.Directory.Targets()) > 0
}

// CheckKey implements caller.Backend.
func (r *Router) CheckKey(key string) *outcome.Refusal {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return notReadyRefusal()
	}
	_, refusal := keyOwner(snapshot.Index, key)
	return refusal
}

// Models implements caller.Backend.
func (r *Router) Models(key string) ([]string, *outcome.Refusal) {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil, notReadyRefusal()
	}
	owner, refusal := keyOwner(snapshot.Index, key)
	if refusal != nil {
		return nil, refusal
	}
	var names []string
	for i := range snapshot.Bundle.Routes {
		route := &snapshot.Bundle.Routes[i]
		if route.Kind == bundle.RouteKindModel && snapshot.Index.Allowed(route, owner.Account) {
			names = append(names, route.Model)
		}
	}
	return names, nil
}

// origin returns the sender's identity for messages to agents.
func (r *Router) origin() *peerpb.Origin {
	return &peerpb.Origin{
		VmId:          r.Identity.VMID,
		BootId:        r.Identity.BootID,
		BundleVersion: r.Bundles.Version(),
	}
}

// notReadyRetryAfter is the Retry-After time of requests to a starting router.
const notReadyRetryAfter = time.Second

func notReadyRefusal() *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeNotReady, notReadyRetryAfter, "no bundle is in force yet")
}

func unauthorizedRefusal() *outcome.Refusal {
	return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
}
