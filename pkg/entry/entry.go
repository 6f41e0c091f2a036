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
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/relay"
	"github.com/baobabhub/baobabhub/pkg/rollout"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// Platform is what an entry process needs of the platform's adapter.
type Platform struct {
	Codec   call.Codec
	Store   kv.Store
	Engines EngineControl
	Keys    Keys
	// DecodeConfig decodes the operators' configuration.
	DecodeConfig func(data []byte) (*fleet.Config, error)
	// DecodeTarget decodes the entry of a target.
	DecodeTarget func(id string, data []byte) (fleet.Target, error)
	// DecodeWeightsVersion decodes the version named for a model.
	DecodeWeightsVersion func(data []byte) (model string, version int64, err error)
}

// EngineControl gives orders to engines.
type EngineControl interface {
	SendOrder(ctx context.Context, target *fleet.Target, c rollout.Command) (rollout.Reply, error)
	Report(ctx context.Context, target *fleet.Target) (rollout.Report, error)
	// CacheEvents waits for changes of what a cache store holds.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
	// CacheContent reads all that a cache store holds.
	CacheContent(ctx context.Context, address string) (CacheEvents, error)
}

// CacheEvents are changes of what a cache store holds, or its whole content.
type CacheEvents struct {
	// BootEpoch names the store's start; Next is where to go on.
	BootEpoch int64
	NextToken int64
	// EventsLost says that older changes are lost.
	EventsLost bool
	Changes    []balance.StoreChange
}

// Keys are the keys and prefixes in the store.
type Keys struct {
	// OperatorPrefix is the prefix of what the operators write.
	OperatorPrefix string
	// ConfigKey holds the configuration; Versions is the prefix of weights versions.
	ConfigKey             string
	WeightsVersionsPrefix string
	// TargetsPrefix is the prefix of the targets' entries.
	TargetsPrefix string
	// SystemPrefix is the prefix of the system's own keys; Routers and Leader lie below.
	SystemPrefix  string
	RoutersPrefix string
	LeaderKey     string
}

const (
	// memoryShare is the part of the memory limit that the runtime aims at.
	memoryShare = 0.8
	// pruneEvery is the time between clean-ups of connections and targets.
	pruneEvery = time.Second
)

// Entry is an entry process.
type Entry struct {
	settings Settings
	platform Platform
	log      *eventlog.Logger
	ring     *eventlog.RingWriter
	metrics  *metrics.Metrics
	boot     string
	began    time.Time

	config    atomic.Pointer[fleet.Config]
	directory *fleet.Directory
	balancer  *balance.Balancer
	limiter   *tokenrate.Limiter
	pools     *targetconn.Pools
	gossip    *gossip.Gossip
	relay     *relay.Relay
	members   *members
	lease     *leaseKeeper
	rollouts  *rollouts
	overdue   *overdue

	stopping atomic.Bool
	// concluded ends when the requests that are left must get their final
	// answer; conclude ends it.
	concluded context.Context
	conclude  context.CancelFunc
	ready     readiness
}

// New joins an entry process that logs to out. It serves nothing yet.
func New(settings Settings, platform Platform, out io.Writer) (*Entry, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	ring := eventlog.NewRingWriter(out)
	e := &Entry{
		settings:  settings,
		platform:  platform,
		ring:      ring,
		log:       eventlog.New(ring, "entry", settings.VM),
		metrics:   metrics.New("entry"),
		boot:      newBoot(),
		began:     time.Now(),
		directory: fleet.NewDirectory(),
		balancer:  balance.New(settings.VM, settings.DataCentre, settings.VersionDeadline, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pools:     targetconn.NewPools(),
	}
	e.concluded, e.conclude = context.WithCancel(context.Background())
	e.limiter = tokenrate.New(settings.FirstStart)
	e.members = newMembers(e)
	e.lease = newLeaseKeeper(e)
	e.overdue = newOverdue()
	e.rollouts = newRollouts(e)
	var err error
	e.gossip, err = gossip.New(gossip.Config{
		Address:  net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)),
		Peers:    e.members.addresses,
		State:    e.message,
		Received: e.received,
		Log:      e.log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.balancer.OnDrained(func() {
		e.gossip.Prompt()
		e.rollouts.poke()
	})
	e.relay = relay.New(relay.Config{
		Codec: platform.Codec, Balancer: e.balancer, Limiter: e.limiter, Pools: e.pools,
		Log: e.log, Metrics: e.metrics.Scope, Now: e.now,
		CurrentConfig: e.config.Load,
		Targets:       func() []fleet.Target { return e.directory.Targets(e.now()) },
		Stopping:      e.stopping.Load,
		DrainDeadline: e.concluded,
		Processes:     e.members.processes,
		Retries:       relay.NewRetryBudgets(settings.RetryRatio, settings.RetrySlack),
	})
	return e, nil
}

// newBoot names one start of the process.
func newBoot() string {
	return fmt.Sprintf("%d-%x", os.Getpid(), rand.Uint64())
}

// now is the time since the process began.
func (e *Entry) now() time.Duration {
	return time.Since(e.began)
}

// Run serves until stop ends, then drains, and returns when all is done.
func (e *Entry) Run(stop context.Context) error {
	duties, endDuties := context.WithCancel(context.Background())
	defer endDuties()
	var running sync.WaitGroup
	for _, duty := range e.duties() {
		running.Go(func() { duty(duties) })
	}
	go e.gossip.Receive()
	err := e.serve(stop)
	e.lease.release()
	endDuties()
	if closeErr := e.gossip.Close(); closeErr != nil && err == nil {
		err = closeErr
	}
	running.Wait()
	if err == nil {
		// The servers' shutdown waits for all requests, or fails.
		e.log.Log(eventlog.Stopped, "cut_requests", 0)
	} else {
		e.log.Log(eventlog.Stopped, "err", err)
	}
	e.ring.Close()
	return errors.Trace(err)
}

// LogSettingsReload notes that the settings file was read again on a signal; err
// says why it can't be used. Addresses and limits take effect at the next start.
func (e *Entry) LogSettingsReload(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	e.log.Log(eventlog.SettingsReloaded, "err", text)
}

func (e *Entry) duties() []func(context.Context) {
	return []func(context.Context){
		e.followOperator,
		e.followTargets,
		e.followCacheStores,
		e.members.follow,
		e.lease.run,
		e.gossip.Run,
		e.rollouts.run,
		e.housekeep,
	}
}

// housekeep closes what is unused and reports what the log left out.
func (e *Entry) housekeep(ctx context.Context) {
	for clock.Sleep(ctx, pruneEvery) {
		e.pools.Prune(time.Now())
		e.balancer.Prune(e.directory.Targets(e.now()))
		e.members.checkSilent()
		if dropped := e.ring.Dropped(); dropped > 0 {
			e.log.Log(eventlog.LinesDropped, "lines", dropped)
		}
	}
}
