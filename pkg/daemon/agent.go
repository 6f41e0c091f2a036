package daemon

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/agent"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/service"
)

// Agent is an agent process.
type Agent struct {
	settings   config.Agent
	log        *eventlog.Logger
	agent      *agent.Agent
	components *components
	peerServer *peer.Server
	operators  *operatorServer
	slotRunner *runner.Runner
	// recordClient accesses the key-value service with its own call budget.
	recordClient *platform.Client
	// workContext is the context of all answers. It stays valid during a graceful
	// stop.
	workContext context.Context
	cancelWork  context.CancelFunc
}

// NewAgent returns an agent process with open listeners. It writes its log to
// logOutput.
func NewAgent(settings config.Agent, logOutput io.Writer) (*Agent, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "peer listener")
	}
	return NewAgentWithListener(listener, settings, logOutput)
}

// NewAgentWithListener is like NewAgent but uses the given listener for peers.
func NewAgentWithListener(listener net.Listener, settings config.Agent, logOutput io.Writer) (*Agent, error) {
	log := eventlog.New(logOutput, "agent", settings.VM.ID)
	components, err := newComponents(log, "agent", settings.VM, settings.Peers, settings.Platform, settings.Bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Agent{settings: settings, log: log, components: components, recordClient: newRecordClient(settings.Platform)}
	d.workContext, d.cancelWork = context.WithCancel(context.Background())
	d.agent = agent.New(d.workContext, d.agentConfig())
	d.peerServer, err = peer.ListenOn(listener, components.peerServerTLS, d.agent)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.slotRunner = d.newSlotRunner()
	d.agent.SetSlotRunner(d.slotRunner)
	d.operators, err = newOperatorServer(settings.Operators, d, components.metrics)
	return d, errors.Trace(err)
}

// Call budget for the records of at-most-once calls. It is separate from the
// budget for leases.
const (
	recordCallsPerSecond = 60
	recordCallBurst      = 120
)

func newRecordClient(settings config.Platform) *platform.Client {
	c := platform.DefaultConfig(settings.Address)
	c.CallTimeout = time.Duration(settings.CallTimeout)
	c.CallsPerSecond, c.CallBurst = recordCallsPerSecond, recordCallBurst
	return platform.NewClient(c)
}

// slotReadPeriod is the interval between full reads of the slot records, which
// complement the watch.
const slotReadPeriod = 20 * time.Second

func (d *Agent) newSlotRunner() *runner.Runner {
	vm := d.settings.VM
	return runner.New(runner.Options{
		Config: ownership.DefaultConfig(d.settings.Slots.Count, time.Duration(d.settings.Slots.LeaseTTL)),
		Self: ownership.LocalProcess{
			Member: ownership.Member{
				VM: vm.ID, Address: d.settings.PeerAddress, DataCentre: vm.DataCentre, Region: vm.Region,
			},
			BootID: d.components.bootID,
		},
		Store:  d.components.platform,
		Lister: d.components.platform,
		Peers: &peer.SlotPeers{
			Client: d.components.peers, Address: d.components.peerAddress, Origin: d.components.origin,
		},
		SlotHandler: d.agent.SlotHandler(),
		Log:         d.log,
		ReadPeriod:  slotReadPeriod,
	})
}

func (d *Agent) agentConfig() agent.Config {
	target := d.settings.Target
	c := agent.Config{
		Identity: agent.Identity{
			VM: d.settings.VM.ID, BootID: d.components.bootID, Region: d.settings.VM.Region,
			DataCentre: d.settings.VM.DataCentre, Pool: target.Pool, Address: d.settings.PeerAddress,
		},
		Options:     agent.DefaultOptions(),
		Log:         d.log,
		Bundles:     d.components.bundles,
		Directory:   d.components.directory,
		Peers:       d.components.peers,
		RecordStore: d.recordClient,
		SlotCount:   d.settings.Slots.Count,
	}
	dial := time.Duration(d.settings.Peers.DialTimeout)
	call := time.Duration(target.CallTimeout)
	if target.Kind == config.TargetService {
		c.Service = service.NewHTTP(target.Address, service.Timeouts{Dial: dial, Call: serviceCallTimeout})
		return c
	}
	c.Identity.EngineAddress = target.Address
	c.Engine = engine.NewHTTP(target.Address, engine.Timeouts{
		Dial: dial, Idle: time.Duration(target.SilenceTimeout), Call: call,
	})
	return c
}

// serviceCallTimeout is the upper limit for the duration of a service call, even
// if its route sets a longer timeout.
const serviceCallTimeout = time.Minute

// Address returns the address of the listener for peers.
func (d *Agent) Address() string {
	return d.peerServer.Address()
}

// Bundles returns the process's bundle store.
func (d *Agent) Bundles() *bundle.Store {
	return d.components.bundles
}

// Run serves until ctx is done and then stops gracefully: the agent accepts no
// new work, and answers in progress have until the drain timeout to finish.
func (d *Agent) Run(ctx context.Context) error {
	defer d.cancelWork()
	d.components.start(d.workContext)
	d.operators.start()
	go d.agent.Run(d.workContext)
	go d.slotRunner.Run(d.workContext)
	serveResult := make(chan error, 1)
	go func() { serveResult <- d.peerServer.Serve(d.workContext) }()
	d.log.Log(eventlog.Started, "address", d.Address(), "boot", d.components.bootID)
	select {
	case err := <-serveResult:
		d.close()
		return errors.Trace(err)
	case <-ctx.Done():
	}
	d.stop()
	d.cancelWork()
	return errors.Trace(<-serveResult)
}

// drainCloseDelay is the delay between the end of the drain and the closing of
// connections, in which routers read the last frames.
const drainCloseDelay = 200 * time.Millisecond

func (d *Agent) stop() {
	d.log.Log(eventlog.Stopping, "signal", "stop")
	d.agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeout))
	defer cancel()
	d.drainRecords(ctx)
	d.handOverSlots(ctx)
	unfinished := d.agent.Drain(ctx)
	time.Sleep(drainCloseDelay)
	d.close()
	d.log.Log(eventlog.Stopped, "cut_requests", unfinished)
}

func (d *Agent) close() {
	d.operators.close()
	d.components.close()
	d.recordClient.Close()
}

// Kill cancels all work immediately and makes Run return. Like a crash, it does
// not drain answers, hand over slots or revoke the lease.
func (d *Agent) Kill() {
	d.cancelWork()
}

// recordDrainTimeout limits how long a hand-over of slots waits for at-most-once
// calls in progress. New calls wait during this time. Calls that are still
// running after the timeout are answered, but their outcomes are not recorded.
const recordDrainTimeout = 2 * time.Second

func (d *Agent) drainRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordDrainTimeout)
	defer cancel()
	d.agent.DrainRecords(ctx)
}

// handOverTimeout limits how long a stopping agent tries to hand over its slots.
// Other agents take over the remaining slots once the lease is revoked.
const handOverTimeout = 2 * time.Second

func (d *Agent) handOverSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.slotRunner.HandOverAll(ctx)
}

// Ready implements operator.Process.
func (d *Agent) Ready() bool {
	return d.components.bundles.Current() != nil
}

// Status implements operator.Process.
func (d *Agent) Status() any {
	return d.agent.CurrentStatus()
}

var _ operator.Process = (*Agent)(nil)
