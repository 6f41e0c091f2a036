// Package agent is the process beside each target: it answers probes with the
// freshest view of its target, queues prompts in front of it, relays answers,
// and serves the slots that it owns.
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

// Identity is what an agent knows of itself from its settings.
type Identity struct {
	VM         string
	BootID     uint64
	Region     string
	DataCentre string
	Pool       string
	// Address is the host:port at which peers reach the agent.
	Address string
	// EngineAddress is the host:port from which other engines import cache
	// blocks; empty for none.
	EngineAddress string
}

// Options bounds an agent's work.
type Options struct {
	// OrphanTimeout ends an answer that no router reads.
	OrphanTimeout time.Duration
	// AnswerLinger keeps an ended answer for a router that resumes it.
	AnswerLinger time.Duration
	// HeartbeatPeriod is the time between heartbeats on an idle answer stream.
	HeartbeatPeriod time.Duration
	// ResumeTimeout bounds the attempts to resume a broken engine stream.
	ResumeTimeout time.Duration
	// MaxServiceCalls bounds the calls in progress at a plain service.
	MaxServiceCalls int
}

// DefaultOptions are the options that settings start from.
func DefaultOptions() Options {
	return Options{
		OrphanTimeout:   5 * time.Second,
		AnswerLinger:    10 * time.Second,
		HeartbeatPeriod: 500 * time.Millisecond,
		ResumeTimeout:   3 * time.Second,
		MaxServiceCalls: 256,
	}
}

// Agent serves the peer protocol beside one target. The target is a model
// engine or a plain service, never both.
type Agent struct {
	peerpb.DRPCAgentUnimplementedServer

	identity Identity
	options  Options
	log      *eventlog.Logger

	target  *Target
	imports *importer
	service service.Caller
	calls   chan struct{}

	answers   *answers
	slots     *runner.Runner
	ledgers   *ledgers
	records   *records
	lenders   lenders
	peers     *peer.Client
	leaving   atomic.Bool
	bundles   *bundle.Store
	directory *schedule.Directory
	// work is the context of all answers in work; it outlives single calls.
	work context.Context
}

// Config joins what an agent is made of. Engine and Service: exactly one is set.
type Config struct {
	Identity Identity
	Options  Options
	Log      *eventlog.Logger
	Engine   engine.Engine
	Service  service.Caller
	Bundles  *bundle.Store
	// Directory is shared with the process's membership runner.
	Directory *schedule.Directory
	// Peers reaches other agents; nil for none.
	Peers *peer.Client
	// RecordStore is the store of the records of at-most-once calls; nil for none.
	// Its call budget is its own, so that records can't use up that of the
	// leases.
	RecordStore kv.Store
	// SlotCount is the fleet's number of slots; 0 for none.
	SlotCount int
}

// New returns an agent. Its work ends with ctx.
func New(ctx context.Context, config Config) *Agent {
	agent := &Agent{
		identity:  config.Identity,
		options:   config.Options,
		log:       config.Log,
		service:   config.Service,
		calls:     make(chan struct{}, config.Options.MaxServiceCalls),
		answers:   newAnswers(),
		ledgers:   newLedgers(config.SlotCount, config.Bundles, config.Log),
		peers:     config.Peers,
		bundles:   config.Bundles,
		directory: config.Directory,
		work:      ctx,
	}
	agent.records = newRecords(agent, config.RecordStore)
	if config.Engine != nil {
		agent.target = newTarget(config.Engine, config.Identity, config.Bundles, config.Log)
		agent.imports = newImporter(agent.target, config.Peers, config.Directory, config.Log)
	}
	return agent
}

// sweepPeriod is the time between looks for orphaned and ended answers.
const sweepPeriod = 500 * time.Millisecond

// Run does the agent's periodic duties until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	if a.target != nil {
		go a.target.run(ctx)
	}
	go a.ledgers.run(ctx)
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.answers.sweep(now, a.options.OrphanTimeout, a.options.AnswerLinger)
		}
	}
}

// Leave makes the agent refuse new work.
func (a *Agent) Leave() {
	a.leaving.Store(true)
}

// drainPoll is the time between looks at the work left.
const drainPoll = 20 * time.Millisecond

// Drain waits until all answers have ended and been read, or ctx ends. It
// returns the number of answers that were still in work.
func (a *Agent) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		left := a.answers.undelivered(time.Now(), a.options.OrphanTimeout) + len(a.calls) + len(a.records.calls)
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}

// origin is the part of every message that tells who sends it.
func (a *Agent) origin() *peerpb.Origin {
	return &peerpb.Origin{
		VmId:          a.identity.VM,
		BootId:        a.identity.BootID,
		BundleVersion: a.bundles.Version(),
	}
}
