// Package localfleet runs routers and agents in one process on loopback ports,
// with fakes of the platform and the targets.
package localfleet

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/fake/servicefake"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// Config configures a fleet.
type Config struct {
	Deployment  Deployment
	RouterCount int
	Seed        uint64
	// Engine is the template for all fake engines. Start sets each engine's
	// models and seed, and the ComputedBlocks that all engines share.
	Engine enginefake.Config
	// LogOutput receives the log lines of all processes.
	LogOutput io.Writer
	// Policy overrides the routers' scheduling policy; nil selects the default.
	Policy func(*schedule.Scheduler) schedule.Policy
	// ConfigureAgent and ConfigureRouter, if not nil, modify the settings of
	// each agent and router before it starts.
	ConfigureAgent  func(*config.Agent)
	ConfigureRouter func(*config.Router)
}

// Target is a fake target with its agent. Exactly one of Engine and Service is
// set.
type Target struct {
	VMID    string
	Pool    string
	Engine  *enginefake.Engine
	Service *servicefake.Service
	Agent   *Process[*daemon.Agent]
	// Link can pause the agent's connections from peers and to the platform.
	Link *Link

	settings config.Agent
	// initialListener is the listener of the first agent process. It stays open
	// until the agent starts so that no other process can bind its port.
	initialListener net.Listener
}

// Process is a running daemon.
type Process[D runnableDaemon] struct {
	Daemon D
	cancel context.CancelFunc
	// done is closed after Run has returned and err is set.
	done chan struct{}
	err  error
}

type runnableDaemon interface {
	Run(ctx context.Context) error
	Address() string
}

func startProcess[D runnableDaemon](runnable D) *Process[D] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process[D]{Daemon: runnable, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = runnable.Run(ctx)
	}()
	return p
}

// Stop stops the daemon gracefully, waits until Run has returned and returns
// its error. It may be called more than once.
func (p *Process[D]) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// Fleet is a running set of routers, agents and fakes.
type Fleet struct {
	Config     Config
	KVServer   *kvfake.Server
	KVAddress  string
	KVClient   *platform.Client
	Targets    []*Target
	Routers    []*Process[*daemon.Router]
	SigningKey ed25519.PrivateKey

	computedBlocks *enginefake.ComputedBlocks
	vms            []platform.VM
	trustedKeys    []config.TrustedKey
}

// signerID identifies the fleet's operator key.
const signerID = "operator"

// Start starts a fleet, publishes its first bundle and waits until all
// processes are ready.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Config: c, computedBlocks: enginefake.NewComputedBlocks()}
	f.deriveSigner()
	f.KVServer = kvfake.New(c.Seed)
	addr, err := f.KVServer.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	f.KVAddress = addr
	f.KVClient = platform.NewClient(platform.DefaultConfig(addr))
	if err := f.Publish(ctx, c.Deployment.Bundle(c.Engine.BlockTokens)); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	if err := f.startTargets(); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	for i := range c.RouterCount {
		if err := f.AddRouter(i); err != nil {
			f.Close()
			return nil, errors.Trace(err)
		}
	}
	return f, errors.Trace(f.waitUntilReady(ctx))
}

// deriveSigner derives the operator's key pair from the fleet's seed.
func (f *Fleet) deriveSigner() {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, fmt.Sprintf("local fleet %d", f.Config.Seed))
	f.SigningKey = ed25519.NewKeyFromSeed(seed)
	public, _ := f.SigningKey.Public().(ed25519.PublicKey)
	f.trustedKeys = []config.TrustedKey{{ID: signerID, PublicKey: hex.EncodeToString(public)}}
}

// Publish signs a bundle and publishes it through the key-value service.
func (f *Fleet) Publish(ctx context.Context, b bundle.Bundle) error {
	signed, err := bundle.Sign(b, signerID, f.SigningKey)
	if err != nil {
		return errors.Trace(err)
	}
	published, err := bundlesync.ReadPublished(ctx, f.KVClient)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(bundlesync.Publish(ctx, f.KVClient, published, signed))
}

func (f *Fleet) startTargets() error {
	for _, pool := range f.Config.Deployment.Pools {
		for i := range pool.TargetCount {
			target, err := f.newTarget(pool, i)
			if err != nil {
				return err
			}
			f.Targets = append(f.Targets, target)
		}
	}
	f.KVServer.SetVMs(f.vms)
	for _, target := range f.Targets {
		if err := f.StartAgent(target); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts a target's agent, or starts it again after it has stopped.
func (f *Fleet) StartAgent(target *Target) error {
	listener := target.initialListener
	target.initialListener = nil
	if listener == nil {
		var err error
		if listener, err = target.Link.listenForPeers(target.settings.PeerAddress); err != nil {
			return errors.Trace(err)
		}
	}
	agent, err := daemon.NewAgentWithListener(listener, target.settings, f.Config.LogOutput)
	if err != nil {
		return errors.Trace(err)
	}
	target.Agent = startProcess(agent)
	return nil
}

// TargetByVM returns the target on a VM, or nil if there is none.
func (f *Fleet) TargetByVM(vmID string) *Target {
	for _, target := range f.Targets {
		if target.VMID == vmID {
			return target
		}
	}
	return nil
}

func (f *Fleet) newTarget(pool Pool, index int) (*Target, error) {
	target := &Target{VMID: fmt.Sprintf("%s-%02d", pool.Name, index), Pool: pool.Name}
	address, err := f.startFakeTarget(pool, target)
	if err != nil {
		return nil, err
	}
	if target.Link, err = newLink(f.KVServer); err != nil {
		return nil, err
	}
	peerAddress, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	if target.initialListener, err = target.Link.listenForPeers(peerAddress); err != nil {
		return nil, err
	}
	dataCentre := f.Config.Deployment.DataCentres[index%len(f.Config.Deployment.DataCentres)]
	settings := config.DefaultAgent()
	settings.VM = config.VM{ID: target.VMID, Region: f.Config.Deployment.Region, DataCentre: dataCentre}
	settings.PeerAddress = peerAddress
	settings.Target.Kind = pool.Kind
	settings.Target.Address = address
	settings.Target.Pool = pool.Name
	settings.Platform.Address = target.Link.platformAddress()
	settings.Bundles.TrustedKeys = f.trustedKeys
	settings.Slots.Count = SlotCount
	if err := f.configureAgent(target, &settings); err != nil {
		return nil, err
	}
	target.settings = settings
	f.vms = append(f.vms, platform.VM{
		ID: target.VMID, Role: platform.RoleTarget, State: platform.VMLive,
		Region: f.Config.Deployment.Region, DataCentre: dataCentre, Pool: pool.Name, Address: peerAddress,
	})
	return target, nil
}

// configureAgent calls ConfigureAgent, if set, on an agent's settings. It
// closes the listener at the peer address first, so that ConfigureAgent can
// bind that address itself and move the agent to another one.
func (f *Fleet) configureAgent(target *Target, settings *config.Agent) error {
	if f.Config.ConfigureAgent == nil {
		return nil
	}
	_ = target.initialListener.Close()
	f.Config.ConfigureAgent(settings)
	var err error
	target.initialListener, err = target.Link.listenForPeers(settings.PeerAddress)
	return errors.Trace(err)
}

func (f *Fleet) startFakeTarget(pool Pool, target *Target) (string, error) {
	if pool.Kind == config.TargetService {
		service, err := servicefake.Start(servicefake.Config{})
		if err != nil {
			return "", errors.Trace(err)
		}
		target.Service = service
		return service.Addr(), nil
	}
	engineConfig := f.Config.Engine
	engineConfig.Models = pool.Models
	engineConfig.ComputedBlocks = f.computedBlocks
	engineConfig.Seed = f.Config.Seed + uint64(len(f.Targets))
	engine, err := enginefake.Start(engineConfig)
	if err != nil {
		return "", errors.Trace(err)
	}
	target.Engine = engine
	return engine.Addr(), nil
}

// AddRouter starts a router with the settings for an index and appends it to
// Routers.
func (f *Fleet) AddRouter(index int) error {
	router, err := f.LaunchRouter(index)
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, router)
	return nil
}

// LaunchRouter starts a router with the settings for an index without adding it
// to Routers.
func (f *Fleet) LaunchRouter(index int) (*Process[*daemon.Router], error) {
	settings := config.DefaultRouter()
	dataCentre := f.Config.Deployment.DataCentres[index%len(f.Config.Deployment.DataCentres)]
	settings.VM = config.VM{ID: fmt.Sprintf("entry-%02d", index), Region: f.Config.Deployment.Region, DataCentre: dataCentre}
	settings.Callers.Address = "127.0.0.1:0"
	settings.LeaveNotice = 0
	settings.Platform.Address = f.KVAddress
	settings.Bundles.TrustedKeys = f.trustedKeys
	settings.SlotCount = SlotCount
	for _, vm := range f.vms {
		settings.Peers.Seeds = append(settings.Peers.Seeds, vm.Address)
	}
	if f.Config.ConfigureRouter != nil {
		f.Config.ConfigureRouter(&settings)
	}
	router, err := daemon.NewRouter(settings, f.Config.LogOutput, f.Config.Policy)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return startProcess(router), nil
}

// readyPollInterval is the interval between checks of the fleet's readiness.
const readyPollInterval = 10 * time.Millisecond

// waitUntilReady blocks until every process is ready and every router knows the
// owner of each slot.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	for !f.ready() {
		if !clock.Sleep(ctx, readyPollInterval) {
			return errors.Annotate(ctx.Err(), "fleet not ready")
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, router := range f.Routers {
		if !router.Daemon.Ready() || !router.Daemon.AllSlotOwnersKnown() {
			return false
		}
	}
	for _, target := range f.Targets {
		if !target.Agent.Daemon.Ready() {
			return false
		}
	}
	return true
}

// Close stops the routers gracefully, kills the agents and closes the fakes.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, router := range f.Routers {
		group.Go(func() { _ = router.Stop() })
	}
	group.Wait()
	for _, target := range f.Targets {
		group.Go(target.close)
	}
	group.Wait()
	f.KVClient.Close()
	f.KVServer.Close()
}

func (t *Target) close() {
	if t.Agent != nil {
		t.Agent.Daemon.Kill()
		<-t.Agent.done
	}
	t.Link.close()
	if t.Engine != nil {
		t.Engine.Close()
	}
	if t.Service != nil {
		t.Service.Close()
	}
}
