// Package router serves callers on an entry VMID: it checks keys, asks for
// admission, picks a target and relays the answer. It keeps nothing that
// matters: a restarted router serves at once.
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

// Identity is what a router knows of itself from its settings.
type Identity struct {
	VMID       string
	BootID     uint64
	Region     string
	DataCentre string
}

// Options bounds a router's work.
type Options struct {
	// ProbeWindow bounds the wait for probe answers.
	ProbeWindow schedule.ProbeWindowSettings
	// RetryBudget bounds retries as a share of requests.
	RetryBudget schedule.RetryBudgetSettings
	// AckTimeout is the longest wait for an agent's first frame.
	AckTimeout time.Duration
	// SilenceTimeout is the longest wait for any later frame.
	SilenceTimeout time.Duration
	// ResumeTimeout bounds the attempts to resume one answer stream.
	ResumeTimeout time.Duration
	// MaxDispatches bounds the dispatches of one request.
	MaxDispatches int
}

// DefaultOptions are the options that settings start from.
func DefaultOptions() Options {
	return Options{
		ProbeWindow:    schedule.DefaultProbeWindowSettings(),
		RetryBudget:    schedule.DefaultRetryBudgetSettings(),
		AckTimeout:     300 * time.Millisecond,
		SilenceTimeout: 1500 * time.Millisecond,
		ResumeTimeout:  3 * time.Second,
		MaxDispatches:  4,
	}
}

// Config joins what a router is made of.
type Config struct {
	Identity  Identity
	Options   Options
	Log       *eventlog.Logger
	Bundles   *bundle.Store
	Directory *schedule.Directory
	Policy    schedule.Policy
	Peers     *peer.Client
	Admission admission.Admitter
	// Observer is told of decisions and finished requests; nil for nobody.
	Observer Observer
	// Slots tells the owners of slots; nil refuses at-most-once calls.
	Slots *slottable.Table
}

// Router implements caller.Backend. It is safe for concurrent use.
type Router struct {
	Config
	retries *schedule.RetryBudget
	leaving atomic.Bool
	refresh slotRefresh
}

var _ caller.Backend = (*Router)(nil)

// New returns a router.
func New(config Config) *Router {
	if config.Observer == nil {
		config.Observer = noObserver{}
	}
	return &Router{
		Config:  config,
		retries: schedule.NewRetryBudget(config.Options.RetryBudget, time.Now()),
	}
}

// Drain makes the router not ready, so that the balancer sends no new
// connections. Requests that still come are served.
func (r *Router) Drain() {
	r.leaving.Store(true)
}

// Ready implements caller.Backend.
func (r *Router) Ready() bool {
	return !r.leaving.Load() && r.Bundles.Current() != nil && len(r.Directory.Targets()) > 0
}

// CheckKey implements caller.Backend.
func (r *Router) CheckKey(token string) *outcome.Refusal {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return notReady()
	}
	_, refusal := keyOwner(snapshot.Index, token)
	return refusal
}

// Models implements caller.Backend.
func (r *Router) Models(token string) ([]string, *outcome.Refusal) {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil, notReady()
	}
	owner, refusal := keyOwner(snapshot.Index, token)
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

// origin is the part of every message that tells who sends it.
func (r *Router) origin() *peerpb.Origin {
	return &peerpb.Origin{
		VmId:          r.Identity.VMID,
		BootId:        r.Identity.BootID,
		BundleVersion: r.Bundles.Version(),
	}
}

// notReadyRetryAfter is when a request may come back to a starting router.
const notReadyRetryAfter = time.Second

func notReady() *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeNotReady, notReadyRetryAfter, "no bundle is in force yet")
}

func unauthorized() *outcome.Refusal {
	return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
}
