// Package localfleet runs the library's routers and agents with small fakes of
// the platform and the targets inside one process on loopback ports.
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

// Config sets up a fleet.
type Config struct {
	Deployment  Deployment
	RouterCount int
	Seed        uint64
	// Engine is the pattern of all engines; models and addresses are filled in.
	Engine enginefake.Config
	// LogOutput takes the log lines of all processes.
	LogOutput io.Writer
	// Policy replaces the routers' scheduling policy; nil for the project's own.
	Policy func(*schedule.Scheduler) schedule.Policy
	// Tune changes a process's settings before it starts; nil for none.
	ConfigureAgent  func(*config.Agent)
	ConfigureRouter func(*config.Router)
}

// Target is one target with its agent.
type Target struct {
	VMID    string
	Pool    string
	Engine  *enginefake.Engine
	Service *servicefake.Service
	Agent   *Process[*daemon.Agent]
	// Link holds the agent's connections to peers and platform.
	Link *Link

	settings config.Agent
	// listener is the first agent's listener, open from the start so that
	// nobody else takes its port.
	listener net.Listener
}

// Process is one running daemon.
type Process[D daemonProcess] struct {
	Daemon D
	cancel context.CancelFunc
	// ended closes when Run has returned err.
	ended chan struct{}
	err   error
}

type daemonProcess interface {
	Run(ctx context.Context) error
	Address() string
}

func start[D daemonProcess](d D) *Process[D] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process[D]{Daemon: d, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = d.Run(ctx)
	}()
	return p
}

// Stop stops the daemon gracefully and waits for its end. It may be called again.
func (p *Process[D]) Stop() error {
	p.cancel()
	<-p.ended
	return p.err
}

// Fleet is a running fleet.
type Fleet struct {
	Config     Config
	KVServer   *kvfake.Server
	KVAddress  string
	KVClient   *platform.Client
	Targets    []*Target
	Routers    []*Process[*daemon.Router]
	SigningKey ed25519.PrivateKey

	seen    *enginefake.Seen
	vms     []platform.VM
	trusted []config.TrustedKey
}

// signerID is the name of the fleet's operator key.
const signerID = "operator"

// Start starts a fleet and publishes its bundle.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Config: c, seen: enginefake.NewSeen()}
	f.newSigner()
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
	return f, errors.Trace(f.waitReady(ctx))
}

// newSigner makes an operator's key from the seed.
func (f *Fleet) newSigner() {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, fmt.Sprintf("local fleet %d", f.Config.Seed))
	f.SigningKey = ed25519.NewKeyFromSeed(seed)
	public, _ := f.SigningKey.Public().(ed25519.PublicKey)
	f.trusted = []config.TrustedKey{{ID: signerID, PublicKey: hex.EncodeToString(public)}}
}

// Publish signs a bundle and puts it in force through the key-value service.
func (f *Fleet) Publish(ctx context.Context, b bundle.Bundle) error {
	signed, err := bundle.Sign(b, signerID, f.SigningKey)
	if err != nil {
		return errors.Trace(err)
	}
	before, err := bundlesync.ReadPublished(ctx, f.KVClient)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(bundlesync.Publish(ctx, f.KVClient, before, signed))
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

// StartAgent starts a target's agent, again after its end.
func (f *Fleet) StartAgent(target *Target) error {
	listener := target.listener
	target.listener = nil
	if listener == nil {
		var err error
		if listener, err = target.Link.listen(target.settings.PeerAddress); err != nil {
			return errors.Trace(err)
		}
	}
	agent, err := daemon.NewAgentWithListener(listener, target.settings, f.Config.LogOutput)
	if err != nil {
		return errors.Trace(err)
	}
	target.Agent = start(agent)
	return nil
}

// TargetByVM returns the target of a VMID; nil for none.
func (f *Fleet) TargetByVM(vm string) *Target {
	for _, target := range f.Targets {
		if target.VMID == vm {
			return target
		}
	}
	return nil
}

func (f *Fleet) newTarget(pool Pool, i int) (*Target, error) {
	target := &Target{VMID: fmt.Sprintf("%s-%02d", pool.Name, i), Pool: pool.Name}
	address, err := f.startFake(pool, target)
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
	if target.listener, err = target.Link.listen(peerAddress); err != nil {
		return nil, err
	}
	dataCentre := f.Config.Deployment.DataCentres[i%len(f.Config.Deployment.DataCentres)]
	settings := config.DefaultAgent()
	settings.VM = config.VM{ID: target.VMID, Region: f.Config.Deployment.Region, DataCentre: dataCentre}
	settings.PeerAddress = peerAddress
	settings.Target.Kind = pool.Kind
	settings.Target.Address = address
	settings.Target.Pool = pool.Name
	settings.Platform.Address = target.Link.platformAddress()
	settings.Bundles.TrustedKeys = f.trusted
	settings.Slots.Count = SlotCount
	if err := f.tune(target, &settings); err != nil {
		return nil, err
	}
	target.settings = settings
	f.vms = append(f.vms, platform.VM{
		ID: target.VMID, Role: platform.RoleTarget, State: platform.VMLive,
		Region: f.Config.Deployment.Region, DataCentre: dataCentre, Pool: pool.Name, Address: peerAddress,
	})
	return target, nil
}

// tune lets the fleet's user change an agent's settings. The listed address is
// free meanwhile, so that the user can put something else there.
func (f *Fleet) tune(target *Target, settings *config.Agent) error {
	if f.Config.ConfigureAgent == nil {
		return nil
	}
	_ = target.listener.Close()
	f.Config.ConfigureAgent(settings)
	var err error
	target.listener, err = target.Link.listen(settings.PeerAddress)
	return errors.Trace(err)
}

func (f *Fleet) startFake(pool Pool, target *Target) (string, error) {
	if pool.Kind == config.TargetService {
		service, err := servicefake.Start(servicefake.Config{})
		if err != nil {
			return "", errors.Trace(err)
		}
		target.Service = service
		return service.Addr(), nil
	}
	pattern := f.Config.Engine
	pattern.Models = pool.Models
	pattern.Seen = f.seen
	pattern.Seed = f.Config.Seed + uint64(len(f.Targets))
	fake, err := enginefake.Start(pattern)
	if err != nil {
		return "", errors.Trace(err)
	}
	target.Engine = fake
	return fake.Addr(), nil
}

// AddRouter starts router number i, after the ones before it.
func (f *Fleet) AddRouter(i int) error {
	router, err := f.LaunchRouter(i)
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, router)
	return nil
}

// LaunchRouter starts a router with the settings of number i.
func (f *Fleet) LaunchRouter(i int) (*Process[*daemon.Router], error) {
	settings := config.DefaultRouter()
	dataCentre := f.Config.Deployment.DataCentres[i%len(f.Config.Deployment.DataCentres)]
	settings.VM = config.VM{ID: fmt.Sprintf("entry-%02d", i), Region: f.Config.Deployment.Region, DataCentre: dataCentre}
	settings.Callers.Address = "127.0.0.1:0"
	settings.LeaveNotice = 0
	settings.Platform.Address = f.KVAddress
	settings.Bundles.TrustedKeys = f.trusted
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
	return start(router), nil
}

// readyPoll is the time between looks at the fleet's readiness.
const readyPoll = 10 * time.Millisecond

// waitReady waits until all processes have the bundle and routers see targets
// and an owner of every slot.
func (f *Fleet) waitReady(ctx context.Context) error {
	for !f.ready() {
		if !clock.Sleep(ctx, readyPoll) {
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

// Close ends all processes at once.
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
		<-t.Agent.ended
	}
	t.Link.close()
	if t.Engine != nil {
		t.Engine.Close()
	}
	if t.Service != nil {
		t.Service.Close()
	}
}
