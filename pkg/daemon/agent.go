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
	settings  config.Agent
	log       *eventlog.Logger
	agent     *agent.Agent
	shared    *shared
	server    *peer.Server
	operators *operatorServer
	slots     *runner.Runner
	// records reaches the key-value service under a call budget of its own.
	records *platform.Client
	// work is the context of all answers; it outlives the request to stop.
	work     context.Context
	stopWork context.CancelFunc
}

// NewAgent opens an agent's listeners. Log lines go to logTo.
func NewAgent(settings config.Agent, logTo io.Writer) (*Agent, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "peer listener")
	}
	return NewAgentWithListener(listener, settings, logTo)
}

// NewAgentWithListener is NewAgent with an open listener for peers.
func NewAgentWithListener(listener net.Listener, settings config.Agent, logTo io.Writer) (*Agent, error) {
	log := eventlog.New(logTo, "agent", settings.VM.ID)
	common, err := newShared(log, "agent", settings.VM, settings.Peers, settings.Platform, settings.Bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Agent{settings: settings, log: log, shared: common, records: newRecordStore(settings.Platform)}
	d.work, d.stopWork = context.WithCancel(context.Background())
	d.agent = agent.New(d.work, d.agentConfig())
	d.server, err = peer.ListenOn(listener, common.peerServer, d.agent)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.slots = d.newSlots()
	d.agent.SetSlotRunner(d.slots)
	d.operators, err = newOperatorServer(settings.Operators, d, common.metrics)
	return d, errors.Trace(err)
}

// Call budget of the records of at-most-once calls, apart from the leases'.
const (
	recordCallsPerSecond = 60
	recordCallBurst      = 120
)

func newRecordStore(settings config.Platform) *platform.Client {
	c := platform.DefaultConfig(settings.Address)
	c.CallTimeout = time.Duration(settings.CallTimeout)
	c.CallsPerSecond, c.CallBurst = recordCallsPerSecond, recordCallBurst
	return platform.NewClient(c)
}

// slotReadPeriod is the time between whole reads of the slots' records beside
// the watch.
const slotReadPeriod = 20 * time.Second

func (d *Agent) newSlots() *runner.Runner {
	vm := d.settings.VM
	return runner.New(runner.Options{
		Config: ownership.DefaultConfig(d.settings.Slots.Count, time.Duration(d.settings.Slots.LeaseTTL)),
		Self: ownership.LocalProcess{
			Member: ownership.Member{
				VM: vm.ID, Address: d.settings.PeerAddress, DataCentre: vm.DataCentre, Region: vm.Region,
			},
			BootID: d.shared.bootID,
		},
		Store:  d.shared.platform,
		Lister: d.shared.platform,
		Peers: &peer.SlotPeers{
			Client: d.shared.peers, Address: d.shared.addressOf, Origin: d.shared.origin,
		},
		SlotHandler: d.agent.SlotHolder(),
		Log:         d.log,
		ReadPeriod:  slotReadPeriod,
	})
}

func (d *Agent) agentConfig() agent.Config {
	target := d.settings.Target
	c := agent.Config{
		Identity: agent.Identity{
			VM: d.settings.VM.ID, BootID: d.shared.bootID, Region: d.settings.VM.Region,
			DataCentre: d.settings.VM.DataCentre, Pool: target.Pool, Address: d.settings.PeerAddress,
		},
		Options:     agent.DefaultOptions(),
		Log:         d.log,
		Bundles:     d.shared.bundles,
		Directory:   d.shared.directory,
		Peers:       d.shared.peers,
		RecordStore: d.records,
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
		Dial: dial, Silence: time.Duration(target.SilenceTimeout), Call: call,
	})
	return c
}

// serviceCallTimeout bounds a service call whose route sets a longer time.
const serviceCallTimeout = time.Minute

// Address returns the address of the peers' listener.
func (d *Agent) Address() string {
	return d.server.Address()
}

// Bundles returns the process's bundle store.
func (d *Agent) Bundles() *bundle.Store {
	return d.shared.bundles
}

// Run serves until ctx ends, then stops gracefully: no new work, all answers
// finished within the drain timeout.
func (d *Agent) Run(ctx context.Context) error {
	defer d.stopWork()
	d.shared.start(d.work)
	d.operators.start()
	go d.agent.Run(d.work)
	go d.slots.Run(d.work)
	served := make(chan error, 1)
	go func() { served <- d.server.Serve(d.work) }()
	d.log.Log(eventlog.Started, "address", d.Address(), "boot", d.shared.bootID)
	select {
	case err := <-served:
		d.close()
		return errors.Trace(err)
	case <-ctx.Done():
	}
	d.stop()
	d.stopWork()
	return errors.Trace(<-served)
}

// readLinger lets routers read the last frames before connections close.
const readLinger = 200 * time.Millisecond

func (d *Agent) stop() {
	d.log.Log(eventlog.Stopping, "signal", "stop")
	d.agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeout))
	defer cancel()
	d.drainRecords(ctx)
	d.handOver(ctx)
	cut := d.agent.Drain(ctx)
	time.Sleep(readLinger)
	d.close()
	d.log.Log(eventlog.Stopped, "cut_requests", cut)
}

func (d *Agent) close() {
	d.operators.close()
	d.shared.close()
	d.records.Close()
}

// Kill ends all work at once, as a crash does: nothing is drained, handed over
// or revoked. Run returns.
func (d *Agent) Kill() {
	d.stopWork()
}

// recordDrainTimeout bounds the wait of a hand-over for at-most-once calls in
// progress. Callers of later ones wait as long; those left get their answers
// all the same, but their outcomes are not recorded.
const recordDrainTimeout = 2 * time.Second

func (d *Agent) drainRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordDrainTimeout)
	defer cancel()
	d.agent.DrainRecords(ctx)
}

// handOverTimeout bounds the search for new owners of the agent's slots; the
// ones left are taken over once the agent's lease is revoked.
const handOverTimeout = 2 * time.Second

func (d *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.slots.HandOverAll(ctx)
}

// Ready implements operator.Process.
func (d *Agent) Ready() bool {
	return d.shared.bundles.Current() != nil
}

// Status implements operator.Process.
func (d *Agent) Status() any {
	return d.agent.CurrentStatus()
}

var _ operator.Process = (*Agent)(nil)
