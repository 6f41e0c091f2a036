// Package agent implements the process that runs next to each target. It answers
// probes with the latest state of its target, queues prompts for the target,
// relays answers and serves the slots that it owns.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
	"github.com/baobabhub/baobabhub/pkg/service"
)

// Identity describes an agent, its location and the addresses that reach it.
type Identity struct {
	VM         string
	BootID     uint64
	Region     string
	DataCentre string
	Pool       string
	// Address is the host:port at which peers reach the agent.
	Address string
	// EngineAddress is the host:port from which other engines import cache
	// blocks. It is empty if the target is not an engine.
	EngineAddress string
}

// Options holds the limits and timeouts of an agent.
type Options struct {
	// OrphanTimeout is the time without a reader after which an answer is
	// cancelled.
	OrphanTimeout time.Duration
	// AnswerRetention is the time for which an ended answer is kept, so that a
	// router can resume it.
	AnswerRetention time.Duration
	// HeartbeatPeriod is the interval between heartbeats on an idle answer stream.
	HeartbeatPeriod time.Duration
	// ResumeTimeout limits the time spent on resuming a broken engine stream.
	ResumeTimeout time.Duration
	// MaxServiceCalls limits the number of concurrent calls to a plain service.
	MaxServiceCalls int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		OrphanTimeout:   5 * time.Second,
		AnswerRetention: 10 * time.Second,
		HeartbeatPeriod: 500 * time.Millisecond,
		ResumeTimeout:   3 * time.Second,
		MaxServiceCalls: 256,
	}
}

// Agent serves the peer protocol for one target, which is either a model engine
// or a plain service.
type Agent struct {
	peerpb.DRPCAgentUnimplementedServer

	identity Identity
	options  Options
	log      *eventlog.Logger

	target       *Target
	importer     *importer
	service      service.Client
	serviceCalls chan struct{}

	answers    *answerRegistry
	slotRunner *runner.Runner
	ledgers    *ledgers
	records    *recordManager
	lenders    lenderTracker
	peers      *peer.Client
	leaving    atomic.Bool
	bundles    *bundle.Store
	directory  *schedule.Directory
	// workCtx is the parent context of all answers in progress. It outlives the
	// peer calls that start them.
	workCtx context.Context
}

// Config holds the settings and dependencies of an agent. Exactly one of Engine
// and Service is set.
type Config struct {
	Identity Identity
	Options  Options
	Log      *eventlog.Logger
	Engine   engine.Engine
	Service  service.Client
	Bundles  *bundle.Store
	// Directory is shared with the membership runner of the process.
	Directory *schedule.Directory
	// Peers is the client for other agents. If it is nil, the agent calls no peers.
	Peers *peer.Client
	// RecordStore is the store for the idempotency records of at-most-once calls. If
	// it is nil, the agent keeps no records. It has a call budget of its own, so
	// that record writes can't use up the budget of the leases.
	RecordStore kv.Store
	// SlotCount is the number of slots in the fleet. 0 disables slots.
	SlotCount int
}

// New returns an agent. Cancelling ctx cancels all answers in progress.
func New(ctx context.Context, config Config) *Agent {
	agent := &Agent{
		identity:     config.Identity,
		options:      config.Options,
		log:          config.Log,
		service:      config.Service,
		serviceCalls: make(chan struct{}, config.Options.MaxServiceCalls),
		answers:      newAnswerRegistry(),
		ledgers:      newLedgers(config.SlotCount, config.Bundles, config.Log),
		peers:        config.Peers,
		bundles:      config.Bundles,
		directory:    config.Directory,
		workCtx:      ctx,
	}
	agent.records = newRecordManager(agent, config.RecordStore)
	if config.Engine != nil {
		agent.target = newTarget(config.Engine, config.Identity, config.Bundles, config.Log)
		agent.importer = newImporter(agent.target, config.Peers, config.Directory, config.Log)
	}
	return agent
}

// sweepInterval is the interval between checks for orphaned and expired answers.
const sweepInterval = 500 * time.Millisecond

// Run runs the agent's background tasks until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	if a.target != nil {
		go a.target.run(ctx)
	}
	go a.ledgers.run(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.answers.sweep(now, a.options.OrphanTimeout, a.options.AnswerRetention)
		}
	}
}

// Leave marks the agent as leaving, so that it refuses new work.
func (a *Agent) Leave() {
	a.leaving.Store(true)
}

// drainPollInterval is the interval between checks of the remaining work.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until all answers have ended and been read and all calls have
// returned, or until ctx is done. It returns the number of answers and calls that
// remain.
func (a *Agent) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		remaining := a.answers.countUndelivered(time.Now(), a.options.OrphanTimeout) + len(a.serviceCalls) + len(a.records.calls)
		if remaining == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return remaining
		case <-ticker.C:
		}
	}
}

// origin returns the sender description that every message carries.
func (a *Agent) origin() *peerpb.Origin {
	return &peerpb.Origin{
		VmId:          a.identity.VM,
		BootId:        a.identity.BootID,
		BundleVersion: a.bundles.Version(),
	}
}
