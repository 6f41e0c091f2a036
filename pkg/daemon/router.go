// Package daemon assembles the router and agent processes from the other
// packages.
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
	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/router"
	"github.com/baobabhub/baobabhub/pkg/schedule"
	"github.com/baobabhub/baobabhub/pkg/slottable"
)

// Router is a router process.
type Router struct {
	settings       config.Router
	log            *eventlog.Logger
	router         *router.Router
	components     *components
	callerServer   *callerserver.Server
	callerListener net.Listener
	operators      *operatorServer
	slotConfig     slottable.Config
	admission      *admission.Remote
	leaving        atomic.Bool
	aborted        atomic.Bool
}

// NewRouter returns a router process with open listeners. It writes its log to
// logOutput. If newPolicy is not nil, it returns the routing policy to use instead
// of the scheduler.
func NewRouter(settings config.Router, logOutput io.Writer, newPolicy func(*schedule.Scheduler) schedule.Policy) (*Router, error) {
	log := eventlog.New(logOutput, "router", settings.VM.ID)
	components, err := newComponents(log, "router", settings.VM, settings.Peers, settings.Platform, settings.Bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Router{settings: settings, log: log, components: components}
	d.slotConfig = slottable.Config{
		Table: slottable.New(settings.SlotCount), Store: components.platform, Peers: components.peers,
		Agents: components.agentAddresses, Origin: components.origin,
	}
	d.admission = admission.NewRemote(admission.Config{
		Options: admission.DefaultOptions(), DataCentre: settings.VM.DataCentre, Bundles: components.bundles,
		Peers: components.peers, Slots: d.slotConfig, Origin: components.origin, OnReply: components.bundleSync.ObserveOrigin, Log: log,
	})
	scheduler := schedule.New(schedule.DefaultSettings().WithEngineImports(),
		schedule.Location{DataCentre: settings.VM.DataCentre, Region: settings.VM.Region},
		components.directory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	components.membership.OnRouterCount = scheduler.SetRouterCount
	var policy schedule.Policy = scheduler
	if newPolicy != nil {
		policy = newPolicy(scheduler)
	}
	options := router.DefaultOptions()
	options.MaxDispatches = settings.MaxDispatches
	d.router = router.New(router.Config{
		Identity: router.Identity{
			VMID: settings.VM.ID, BootID: components.bootID,
			Region: settings.VM.Region, DataCentre: settings.VM.DataCentre,
		},
		Options:   options,
		Log:       log,
		Bundles:   components.bundles,
		Directory: components.directory,
		Policy:    policy,
		Peers:     components.peers,
		Admission: d.admission,
		Slots:     d.slotConfig.Table,
		Observer:  routerEvents{bus: components.bus},
	})
	registerRouterEventHandlers(components.bus, log, metrics.NewRequestMetrics(components.metrics.Scope))
	if err := d.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	return d, nil
}

func (d *Router) listen() error {
	callers := d.settings.Callers
	encryption, err := serverEncryption(callers.TLS)
	if err != nil {
		return errors.Annotate(err, "callers' listener")
	}
	d.callerListener, err = net.Listen("tcp", callers.Address)
	if err != nil {
		return errors.Annotate(err, "callers' listener")
	}
	d.callerServer = callerserver.New(callerserver.Config{
		Handler: caller.NewHandler(d.router, caller.Options{
			MaxBodyBytes:  callers.MaxBodyBytes,
			MaxConcurrent: callers.MaxConcurrent,
			BodyTimeout:   time.Duration(callers.BodyTimeout),
			WriteTimeout:  time.Duration(callers.WriteTimeout),
			Draining:      d.leaving.Load,
		}),
		TLS:          encryption,
		RequestID:    func(header http.Header) string { return header.Get(caller.HeaderRequestID) },
		SetRequestID: func(header http.Header, id string) { header.Set(caller.HeaderRequestID, id) },
		Limits: func() fleet.ClientLimits {
			return fleet.ClientLimits{
				HeaderTimeout: time.Duration(callers.HeaderTimeout), HeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout,
			}
		},
		Log: d.log,
	})
	d.operators, err = newOperatorServer(d.settings.Operators, d, d.components.metrics)
	return errors.Trace(err)
}

// callerIdleTimeout is the time after which an idle connection of a caller is
// closed.
const callerIdleTimeout = 2 * time.Minute

// maxHeaderBytes limits the size of a request's headers.
const maxHeaderBytes = 32 << 10

// Address returns the address of the listener for callers.
func (d *Router) Address() string {
	return d.callerListener.Addr().String()
}

// Bundles returns the process's bundle store.
func (d *Router) Bundles() *bundle.Store {
	return d.components.bundles
}

// Run serves until ctx is done and then stops gracefully. The router reports that
// it is not ready and asks callers to close their connections, accepts requests
// for the duration of the leave notice, and then waits up to the drain timeout
// for the requests in progress.
func (d *Router) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.components.start(background)
	go slottable.Run(background, d.slotConfig)
	go d.admission.Run(background)
	d.operators.start()
	serveResult := make(chan error, 1)
	go func() {
		d.awaitReady(ctx)
		serveResult <- d.callerServer.Serve(d.callerListener)
	}()
	d.log.Log(eventlog.Started, "address", d.Address(), "boot", d.components.bootID)
	select {
	case err := <-serveResult:
		if d.aborted.Load() {
			d.operators.close()
			d.components.close()
			return nil
		}
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return d.stop()
}

const (
	// readyTimeout limits how long connections wait for a starting router.
	readyTimeout      = 2 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// awaitReady waits until the router can serve requests. Connections stay queued
// in the listener until then, so that a restart delays callers instead of
// refusing their requests.
func (d *Router) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.Ready() || !d.AllSlotOwnersKnown() {
		if !clock.Sleep(ctx, readyPollInterval) {
			return
		}
	}
}

// incompleteDrainDivisor sets the part of the drain timeout after which a planned stop
// refuses requests that have not arrived completely.
const incompleteDrainDivisor = 2

func (d *Router) stop() error {
	d.log.Log(eventlog.Stopping, "signal", "stop")
	d.router.Drain()
	d.leaving.Store(true)
	time.Sleep(time.Duration(d.settings.LeaveNotice))
	drainTimeout := time.Duration(d.settings.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	cut := d.callerServer.Drain(ctx, time.Now().Add(drainTimeout/incompleteDrainDivisor))
	d.operators.close()
	d.components.close()
	d.log.Log(eventlog.Stopped, "cut_requests", cut)
	if cut > 0 {
		return errors.Errorf("%d requests were cut by the planned stop", cut)
	}
	return nil
}

// Ready implements operator.Process.
func (d *Router) Ready() bool {
	return d.router.Ready()
}

// AllSlotOwnersKnown reports whether the router knows an owner of every slot.
func (d *Router) AllSlotOwnersKnown() bool {
	return len(d.slotConfig.Table.Records()) == d.slotConfig.Table.Count()
}

// SlotOwner returns the VM that owns a slot according to the latest record, or an
// empty string if the owner is unknown.
func (d *Router) SlotOwner(slot uint32) string {
	owner, _ := d.slotConfig.Table.Owner(slot)
	return owner.VM
}

// Abort makes Run return immediately. Like a crash, it closes the connections of
// requests in progress.
func (d *Router) Abort() {
	d.aborted.Store(true)
	_ = d.callerServer.Close()
}

// NewTrust returns the trust policy with the trusted keys and the required number
// of approvals from valid settings.
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

var (
	_ operator.FleetProcess = (*Router)(nil)
	_ platform.VMLister     = (*platform.Client)(nil)
)
