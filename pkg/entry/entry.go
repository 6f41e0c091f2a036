package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/hedge"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/relay"
	"github.com/baobabhub/baobabhub/pkg/rollout"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// Platform holds the platform adapter's parts that an entry process depends on.
type Platform struct {
	Codec call.Codec
	Store kv.Store
	// Eras holds the newest known era of Store.
	Eras    *kv.EraTracker
	Engines EngineControl
	// RunQuery asks engines which run a connection leads to.
	RunQuery call.RunQuery
	Keys     Keys
	// DecodeConfig decodes the configuration that the operators wrote.
	DecodeConfig func(data []byte) (*fleet.Config, error)
	// DecodeTarget decodes a target's store entry.
	DecodeTarget func(id string, data []byte) (fleet.Target, error)
	// DecodeWeightsVersion decodes a model's announced weights version.
	DecodeWeightsVersion func(data []byte) (model string, version int64, err error)
	// DecodeRollout decodes an order to move a service to another software version.
	// EncodeRolloutStatus and DecodeRolloutStatus convert the record of its result.
	DecodeRollout       func(data []byte) (canary.Order, error)
	EncodeRolloutStatus func(record canary.Record) ([]byte, error)
	DecodeRolloutStatus func(data []byte) (canary.Record, error)
}

// EngineControl sends load orders to engines and reads the state of engines and
// cache stores.
type EngineControl interface {
	SendOrder(ctx context.Context, target *fleet.Target, order rollout.LoadOrder) (rollout.OrderResponse, error)
	Report(ctx context.Context, target *fleet.Target) (rollout.Report, error)
	// CacheEvents returns changes to a cache store's content after position
	// since. It waits at most wait for the first one.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
	// CacheContent returns the full content of a cache store.
	CacheContent(ctx context.Context, address string) (CacheEvents, error)
}

// CacheEvents holds changes to a cache store's content, or its full content.
type CacheEvents struct {
	// BootEpoch identifies the run of the store. NextToken is the position from
	// which to request further events.
	BootEpoch int64
	NextToken int64
	// EventsLost reports that events before these are missing.
	EventsLost bool
	Changes    []balance.StoreChange
}

// Keys holds the keys and key prefixes in the store.
type Keys struct {
	// OperatorPrefix is the prefix of the keys that operators write.
	OperatorPrefix string
	// ConfigKey is the key of the configuration. WeightsVersionsPrefix is the
	// prefix of the models' announced weights versions.
	ConfigKey             string
	WeightsVersionsPrefix string
	// RolloutsPrefix is the prefix of the orders to move services to other software versions,
	// and RolloutStatusPrefix that of the results, which the leader writes.
	RolloutsPrefix      string
	RolloutStatusPrefix string
	// TargetsPrefix is the prefix of the target entries.
	TargetsPrefix string
	// SystemPrefix is the prefix of the keys that the entry processes write.
	// RoutersPrefix, the prefix of their records, LeaderKey, the leader's key,
	// QuarantineKey, which holds what is known of crashes, and SoftwareKey, which holds
	// the software versions that may have begun streams, are below it.
	SystemPrefix  string
	RoutersPrefix string
	LeaderKey     string
	QuarantineKey string
	SoftwareKey   string
}

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is
	// set as the Go runtime's soft limit.
	memoryLimitFraction = 0.8
	// pruneInterval is the interval of the cleanup of connections, targets and
	// peers.
	pruneInterval = time.Second
)

// Entry is an entry process.
type Entry struct {
	settings  Settings
	platform  Platform
	log       *eventlog.Logger
	ring      *eventlog.AsyncWriter
	metrics   *metrics.Metrics
	bootID    string
	startTime time.Time

	config       atomic.Pointer[fleet.Config]
	directory    *fleet.Directory
	balancer     *balance.Balancer
	limiter      *tokenrate.Limiter
	pools        *targetconn.Pools
	gossip       *gossip.Gossip
	relay        *relay.Relay
	members      *memberList
	lease        *leaseManager
	rollouts     *rolloutManager
	leaving      *runNews
	runEnds      *runEnds
	unreachable  *unreachableReports
	drainReports *drainReporter
	quarantine   *quarantineKeeper
	// streamOrigins holds the software versions that began streams.
	streamOrigins *streamOrigins
	// software holds the software versions that may begin streams.
	software *softwareKeeper
	// canary carries out the orders to move services to other software versions; nil if that is
	// switched off.
	canary *canaryKeeper
	// unreadableTargets holds the revisions of the targets' entries that name no target to use,
	// by ID. Only followTargets uses it.
	unreadableTargets map[string]uint64
	// hubSequence counts the states of the own group that this process has sent.
	// Only the goroutine that sends them uses it.
	hubSequence     uint64
	stateSchedule   *stateSchedule
	overdueDetector *overdueConfigDetector

	stopping atomic.Bool
	// refusing is set after the leave notice, when new requests are refused.
	refusing atomic.Bool
	// drainEnd is the uptime in nanoseconds at which drainExpired is cancelled; 0 before a stop.
	drainEnd atomic.Int64
	// cutRequests is the number of requests that the drain left unanswered.
	cutRequests int64
	// drainExpired is cancelled by expireDrain when the requests still in
	// progress must be answered without waiting for their targets.
	drainExpired context.Context
	expireDrain  context.CancelFunc
	ready        readiness
	memory       memoryBudgets
}

// New creates an entry process that logs to out. Run starts it.
func New(settings Settings, platform Platform, out io.Writer) (*Entry, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	ring := eventlog.NewAsyncWriter(out)
	e := &Entry{
		settings:  settings,
		platform:  platform,
		ring:      ring,
		log:       eventlog.New(ring, "entry", settings.VM),
		metrics:   metrics.New("entry"),
		bootID:    newBootID(),
		startTime: time.Now(),
		directory: fleet.NewDirectory(),
		balancer:  balance.New(settings.VM, settings.DataCentre, settings.VersionDeadline, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pools:     targetconn.NewPools(),

		unreadableTargets: map[string]uint64{},
		memory:            newMemoryBudgets(&settings),
	}
	e.drainExpired, e.expireDrain = context.WithCancel(context.Background())
	e.directory.SetReportInterval(settings.ReportInterval)
	e.balancer.SetAdaptive(settings.OverloadControl)
	e.limiter = tokenrate.New(settings.FirstStart)
	e.stateSchedule = newStateSchedule()
	e.members = newMemberList(e)
	e.lease = newLeaseManager(e)
	e.overdueDetector = newOverdueConfigDetector()
	e.rollouts = newRolloutManager(e)
	e.leaving = newRunNews(e, e.directory.MarkLeaving, eventlog.TargetLeaving)
	e.runEnds = newRunEnds(e)
	e.unreachable = newUnreachableReports()
	e.drainReports = newDrainReporter(e)
	e.quarantine = newQuarantineKeeper(e)
	e.streamOrigins = newStreamOrigins(e)
	e.software = newSoftwareKeeper(e)
	if settings.VersionRollouts {
		e.canary = newCanaryKeeper(e)
	}
	var err error
	e.gossip, err = gossip.New(gossip.Config{
		Address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)),
		Group:   e.members.groupAddresses, GroupMessage: e.groupMessage,
		Hubs: e.members.hubAddresses, HubMessage: e.hubMessage,
		All: e.members.allAddresses, UrgentMessage: e.urgentMessage,
		OnMessage: e.handlePeerMessage,
		Log:       e.log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.balancer.OnDrained(func() {
		e.drainReports.request()
		e.rollouts.requestPlan()
	})
	e.relay = e.newRelay()
	return e, nil
}

// newRelay returns the handler for callers.
func (e *Entry) newRelay() *relay.Relay {
	config := relay.Config{
		Codec: e.platform.Codec, Balancer: e.balancer, Limiter: e.limiter, Pools: e.pools, Buffers: e.memory.responses, Bodies: e.memory.intake, WriteTimeout: e.settings.CallerWriteTimeout,
		Log: e.log, Metrics: e.metrics.Scope, Now: e.uptime,
		CurrentConfig: e.config.Load,
		Targets:       func() []fleet.Target { return e.directory.Targets(e.uptime()) },
		OnLeaving:     e.leaving.observe,
		TargetRuns:    e.runEnds,
		OnLimit:       e.recordLimit,
		Quarantine:    e.quarantine,
		StreamOrigins: e.streamOrigins,
		RunQuery:      e.platform.RunQuery,
		Stopping:      e.stopping.Load,
		Refusing:      e.refusing.Load,
		DrainEnd:      func() time.Duration { return time.Duration(e.drainEnd.Load()) },
		DrainExpired:  e.drainExpired,
		Processes:     e.members.processCount,
		Retries:       relay.NewRetryBudgets(e.settings.RetryRatio, e.settings.RetryBurst),
		Hedges:        hedge.New(e.settings.HedgeShare),

		OverloadControl: e.settings.OverloadControl,
	}
	if e.canary != nil {
		config.VersionRollouts = e.canary
	}
	return relay.New(config)
}

// hasRunEnded reports whether a run of a target is known to have ended.
func (e *Entry) hasRunEnded(run fleet.Boot) bool {
	return e.ready.targetsListed.Load() && e.directory.HasEnded(run)
}

// newBootID returns an identifier for this run of the process.
func newBootID() string {
	return fmt.Sprintf("%d-%x", os.Getpid(), rand.Uint64())
}

// uptime returns the time since New.
func (e *Entry) uptime() time.Duration {
	return time.Since(e.startTime)
}

// Run serves requests until stopCtx is cancelled, drains the process and
// returns once all background tasks have ended.
func (e *Entry) Run(stopCtx context.Context) error {
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	defer cancelTasks()
	var wg sync.WaitGroup
	for _, task := range e.backgroundTasks() {
		wg.Go(func() { task(taskCtx) })
	}
	go e.gossip.Receive()
	err := e.serve(stopCtx)
	e.lease.release()
	cancelTasks()
	if closeErr := e.gossip.Close(); closeErr != nil && err == nil {
		err = closeErr
	}
	wg.Wait()
	if e.stopping.Load() {
		e.log.Log(eventlog.Stopped, "cut_requests", e.cutRequests)
	} else {
		e.log.Log(eventlog.Stopped, "err", err)
	}
	e.ring.Close()
	return errors.Trace(err)
}

// LogSettingsReload logs that the settings file was reloaded on a signal, or
// err if the file is invalid. Addresses and limits take effect at the next
// start.
func (e *Entry) LogSettingsReload(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	e.log.Log(eventlog.SettingsReloaded, "err", text)
}

func (e *Entry) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		e.followOperatorKeys,
		e.followTargets,
		e.followCacheStores,
		e.members.follow,
		e.lease.run,
		e.gossip.Run,
		e.drainReports.run,
		e.quarantine.detector.run,
		e.quarantine.run,
		e.software.run,
		e.streamOrigins.answerRecordQuestions,
		e.streamOrigins.sync,
		e.rollouts.run,
		e.runHousekeeping,
		e.canary.runJudge,
		e.canary.runRecords,
	}
}

// runHousekeeping periodically closes unused connections, discards stale target
// and peer state, and logs the number of dropped log lines.
func (e *Entry) runHousekeeping(ctx context.Context) {
	for clock.Sleep(ctx, pruneInterval) {
		e.pools.Prune(time.Now())
		targets := e.directory.Targets(e.uptime())
		e.balancer.Prune(targets)
		e.pruneLimits(targets)
		e.runEnds.confirmRegistered()
		e.directory.Prune(e.uptime())
		e.software.observeTargets()
		e.members.markSilentPeers()
		e.streamOrigins.repeat()
		e.quarantine.expire()
		e.canary.prune(targets)
		e.memory.record(e.metrics.Scope)
		if dropped := e.ring.Dropped(); dropped > 0 {
			e.log.Log(eventlog.LinesDropped, "lines", dropped)
		}
	}
}
