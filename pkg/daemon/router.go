// Package daemon assembles the library into the router and agent processes.
package daemon

import (
	"context"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/admission"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/router"
	"github.com/baobabhub/baobabhub/pkg/schedule"
	"github.com/baobabhub/baobabhub/pkg/slottable"
)

// Router is a router process.
type Router struct {
	settings  config.Router
	log       *eventlog.Logger
	router    *router.Router
	shared    *shared
	callers   *http.Server
	callersAt net.Listener
	operators *operatorServer
	slots     slottable.Config
	admission *admission.Remote
	leaving   atomic.Bool
	aborted   atomic.Bool
}

// NewRouter opens a router's listeners. Log lines go to logTo. Policy replaces
// the project's own when set.
func NewRouter(settings config.Router, logTo io.Writer, policy func(*schedule.Scheduler) schedule.Policy) (*Router, error) {
	log := eventlog.New(logTo, "router", settings.VM.ID)
	common, err := newShared(log, "router", settings.VM, settings.Peers, settings.Platform, settings.Bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Router{settings: settings, log: log, shared: common}
	d.slots = slottable.Config{
		Table: slottable.New(settings.SlotCount), Store: common.platform, Peers: common.peers,
		Agents: common.agents, Origin: common.origin,
	}
	d.admission = admission.NewRemote(admission.Config{
		Options: admission.DefaultOptions(), DataCentre: settings.VM.DataCentre, Bundles: common.bundles,
		Peers: common.peers, Slots: d.slots, Origin: common.origin, OnReply: common.sync.ObserveOrigin, Log: log,
	})
	scheduler := schedule.New(schedule.DefaultSettings().WithEngineImports(),
		schedule.Location{DataCentre: settings.VM.DataCentre, Region: settings.VM.Region},
		common.directory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	common.membership.OnRouterCount = scheduler.SetRouterCount
	var chosen schedule.Policy = scheduler
	if policy != nil {
		chosen = policy(scheduler)
	}
	options := router.DefaultOptions()
	options.MaxDispatches = settings.MaxDispatches
	d.router = router.New(router.Config{
		Identity: router.Identity{
			VMID: settings.VM.ID, BootID: common.bootID,
			Region: settings.VM.Region, DataCentre: settings.VM.DataCentre,
		},
		Options:   options,
		Log:       log,
		Bundles:   common.bundles,
		Directory: common.directory,
		Policy:    chosen,
		Peers:     common.peers,
		Admission: d.admission,
		Slots:     d.slots.Table,
		Observer:  routerEvents{bus: common.bus},
	})
	handleRouterEvents(common.bus, log, metrics.NewRequests(common.metrics.Scope))
	if err := d.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	return d, nil
}

func (d *Router) listen() error {
	callers := d.settings.Callers
	listener, err := listen(callers.Address, callers.TLS)
	if err != nil {
		return errors.Annotate(err, "callers' listener")
	}
	d.callersAt = listener
	d.callers = &http.Server{
		Handler: caller.NewHandler(d.router, caller.Options{
			MaxBodyBytes:  callers.MaxBodyBytes,
			MaxConcurrent: callers.MaxConcurrent,
			BodyTimeout:   time.Duration(callers.BodyTimeout),
			WriteTimeout:  time.Duration(callers.WriteTimeout),
			Draining:      d.leaving.Load,
		}),
		ReadHeaderTimeout: time.Duration(callers.HeaderTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
	}
	d.operators, err = newOperatorServer(d.settings.Operators, d, d.shared.metrics)
	return errors.Trace(err)
}

// callerIdleTimeout closes a caller's connection without requests.
const callerIdleTimeout = 2 * time.Minute

// maxHeaderBytes bounds the headers of one request.
const maxHeaderBytes = 32 << 10

// Address returns the address of the callers' listener.
func (d *Router) Address() string {
	return d.callersAt.Addr().String()
}

// Bundles returns the process's bundle store.
func (d *Router) Bundles() *bundle.Store {
	return d.shared.bundles
}

// Run serves until ctx ends, then stops gracefully: it is not ready any more
// and asks callers to close their connections, still serves what comes for the
// time of the leave notice, and finishes all requests in progress within the
// drain timeout.
func (d *Router) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.shared.start(background)
	go slottable.Run(background, d.slots)
	go d.admission.Run(background)
	d.operators.start()
	served := make(chan error, 1)
	go func() {
		d.awaitReady(ctx)
		served <- d.callers.Serve(d.callersAt)
	}()
	d.log.Log(eventlog.Started, "address", d.Address(), "boot", d.shared.bootID)
	select {
	case err := <-served:
		if d.aborted.Load() {
			d.operators.close()
			d.shared.close()
			return nil
		}
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return d.stop()
}

const (
	// readyTimeout bounds the time that a starting router lets connections wait.
	readyTimeout = 2 * time.Second
	readyPoll    = 5 * time.Millisecond
)

// awaitReady lets connections wait in the listener until the router can serve
// them, so that a restart costs callers a moment and no refusal.
func (d *Router) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.Ready() || !d.AllSlotOwnersKnown() {
		if !clock.Sleep(ctx, readyPoll) {
			return
		}
	}
}

func (d *Router) stop() error {
	d.log.Log(eventlog.Stopping, "signal", "stop")
	d.router.Drain()
	d.leaving.Store(true)
	time.Sleep(time.Duration(d.settings.LeaveNotice))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeout))
	defer cancel()
	err := d.callers.Shutdown(ctx)
	cut := 0
	if err != nil {
		cut = 1
		_ = d.callers.Close()
	}
	d.operators.close()
	d.shared.close()
	d.log.Log(eventlog.Stopped, "cut_requests", cut)
	return errors.Trace(err)
}

// Ready implements operator.Process.
func (d *Router) Ready() bool {
	return d.router.Ready()
}

// AllSlotOwnersKnown says whether the router knows an owner of every slot.
func (d *Router) AllSlotOwnersKnown() bool {
	return len(d.slots.Table.Records()) == d.slots.Table.Count()
}

// SlotOwner returns the VM that owns a slot, as last heard; empty for unknown.
func (d *Router) SlotOwner(slot uint32) string {
	owner, _ := d.slots.Table.Owner(slot)
	return owner.VM
}

// Abort ends Run at once, as a crash would: open requests break.
func (d *Router) Abort() {
	d.aborted.Store(true)
	_ = d.callers.Close()
}

// NewTrust makes the set of trusted keys from checked settings.
func NewTrust(settings config.Bundles) (*bundle.TrustPolicy, error) {
	keys := make([]bundle.TrustedKey, 0, len(settings.TrustedKeys))
	for _, key := range settings.TrustedKeys {
		raw, err := hex.DecodeString(key.PublicKey)
		if err != nil {
			return nil, errors.Annotatef(err, "public key %q", key.ID)
		}
		keys = append(keys, bundle.TrustedKey{ID: key.ID, PublicKey: raw})
	}
	return bundle.NewTrustPolicy(keys, settings.MinApprovals)
}

// Interface checks.
var (
	_ operator.FleetProcess = (*Router)(nil)
	_ platform.VMLister     = (*platform.Client)(nil)
)
