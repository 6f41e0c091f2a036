package enginefake

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// Engine is a running fake engine. Its methods are safe for concurrent use.
type Engine struct {
	cfg     Config
	address string
	gate    *gate
	stop    context.CancelFunc
	done    <-chan struct{}
	tasks   sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	listener *gatedListener
	server   *http.Server
	closed   bool
	paused   bool
	stats    Stats
	volatileState
}

// volatileState is the state that an engine loses in a crash. Engine.mu guards
// it.
type volatileState struct {
	boot           uint64
	cache          *blockCache
	waiting        []*job
	running        []*job
	jobs           map[string]*job
	models         []engine.LoadedModel
	loadingVersion string
	role           string
	fencingToken   uint64

	events       []loggedEvent
	lastEventSeq uint64
	pending      *pendingChange
	eventsReady  notifier
	workReady    notifier
	reports      []timedReport
	lastPurge    time.Time
	// bootEnded is closed when the engine crashes or closes.
	bootEnded chan struct{}
}

// Start starts an engine. The caller must close it.
func Start(cfg Config) (*Engine, error) {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:   cfg,
		gate:  newGate(),
		stop:  stop,
		done:  ctx.Done(),
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		stats: newStats(),
	}
	e.address = cfg.Address
	e.volatileState = e.newVolatileState()
	if err := e.listen(); err != nil {
		stop()
		return nil, err
	}
	e.tasks.Go(e.runSteps)
	e.tasks.Go(e.runMaintenance)
	return e, nil
}

// newVolatileState returns the state after a start or restart, with a new boot
// ID.
func (e *Engine) newVolatileState() volatileState {
	return volatileState{
		boot:      max(e.boot+1, uint64(time.Now().UnixNano())),
		cache:     newBlockCache(e.cfg.TotalBlocks),
		jobs:      map[string]*job{},
		models:    append([]engine.LoadedModel(nil), e.cfg.Models...),
		role:      e.cfg.InitialRole,
		bootEnded: make(chan struct{}),
	}
}

// Addr returns the engine's address, host:port, which stays the same after a
// crash.
func (e *Engine) Addr() string {
	return e.address
}

// Boot returns the current boot ID, which increases at each restart.
func (e *Engine) Boot() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Close stops the engine and closes its connections.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	e.endBoot()
	server := e.server
	e.mu.Unlock()
	e.stop()
	e.gate.open()
	_ = server.Close()
	e.tasks.Wait()
}

// Crash closes every connection and discards the engine's state except its
// counters. The engine refuses connections for downtime and then serves again
// with a new boot ID.
func (e *Engine) Crash(downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.endBoot()
	// The next boot must not answer on this listener. The server doesn't close it if it does
	// not serve yet.
	_ = e.listener.Close()
	_ = e.server.Close()
	e.volatileState = e.newVolatileState()
	e.tasks.Go(func() { e.relisten(downtime) })
}

// relisten opens a new listener after downtime and retries until that succeeds
// or the engine closes.
func (e *Engine) relisten(downtime time.Duration) {
	const retryInterval = 10 * time.Millisecond
	timer := time.NewTimer(downtime)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-e.done:
			return
		}
		if e.listen() == nil {
			return
		}
		timer.Reset(retryInterval)
	}
}

// Freeze suspends the engine and blocks all reads and writes on its
// connections, including new ones.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
	e.gate.close()
}

// Thaw resumes the engine after Freeze and delivers the data that was blocked.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = false
	e.gate.open()
	e.workReady.broadcast()
}

// StallConnections blocks all reads and writes on the connections that are open
// now, until they close. New connections are not affected.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.stallConns()
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.clone()
}

// PoisonedHits returns Stats.PoisonedHits.
func (e *Engine) PoisonedHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.PoisonedHits
}

// CachedBlockHashes returns the hashes of the blocks currently cached for a
// weights version, in no particular order.
func (e *Engine) CachedBlockHashes(weightsVersion string) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var hashes []uint64
	for key := range e.cache.blocks {
		if key.version == weightsVersion {
			hashes = append(hashes, key.hash)
		}
	}
	return hashes
}

// endBoot wakes every goroutine that waits on state of the current boot. The
// caller holds e.mu.
func (e *Engine) endBoot() {
	close(e.bootEnded)
	e.eventsReady.broadcast()
	e.workReady.broadcast()
	for _, j := range e.jobs {
		j.changed.broadcast()
	}
}

// listen opens a listener on the engine's address and serves requests on it.
func (e *Engine) listen() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Trace(err)
	}
	e.address = listener.Addr().String()
	e.listener = &gatedListener{Listener: listener, gate: e.gate, conns: map[*gatedConn]struct{}{}}
	server := &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Minute}
	e.server = server
	gated := e.listener
	e.tasks.Go(func() { _ = server.Serve(gated) })
	return nil
}
