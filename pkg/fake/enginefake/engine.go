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

// Engine is one running fake engine. Its methods are safe for concurrent use.
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
	memory
}

// memory is what an engine loses when it crashes.
type memory struct {
	boot    uint64
	cache   *blockCache
	waiting []*job
	running []*job
	jobs    map[string]*job
	models  []engine.LoadedModel
	loading string
	role    string
	fence   uint64

	events      []loggedEvent
	lastSeq     uint64
	change      *pendingChange
	eventsReady signal
	workReady   signal
	history     []datedReport
	purgedAt    time.Time
	// ended closes when the boot ends.
	ended chan struct{}
}

// Start starts an engine. The caller closes it.
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
	e.memory = e.emptyMemory()
	if err := e.listen(); err != nil {
		stop()
		return nil, err
	}
	e.tasks.Go(e.runSteps)
	e.tasks.Go(e.runReports)
	return e, nil
}

// emptyMemory returns the state after a start.
func (e *Engine) emptyMemory() memory {
	return memory{
		boot:   max(e.boot+1, uint64(time.Now().UnixNano())),
		cache:  newBlockCache(e.cfg.TotalBlocks),
		jobs:   map[string]*job{},
		models: append([]engine.LoadedModel(nil), e.cfg.Models...),
		role:   e.cfg.InitialRole,
		ended:  make(chan struct{}),
	}
}

// Addr returns the engine's address, host:port. It outlives crashes.
func (e *Engine) Addr() string {
	return e.address
}

// Boot returns the number of the present boot.
func (e *Engine) Boot() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Close stops the engine and cuts its connections.
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
	e.gate.release()
	_ = server.Close()
	e.tasks.Wait()
}

// Crash cuts every connection and loses all memory. The engine refuses
// connections for down and then comes back with a new boot number.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	server := e.server
	e.endBoot()
	e.memory = e.emptyMemory()
	e.tasks.Go(func() {
		_ = server.Close()
		e.comeBack(down)
	})
	e.mu.Unlock()
}

// comeBack listens again after a crash.
func (e *Engine) comeBack(down time.Duration) {
	const retryInterval = 10 * time.Millisecond
	timer := time.NewTimer(down)
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

// Freeze stops the engine and the bytes of all connections, new ones included.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
	e.gate.shut()
}

// Thaw ends Freeze; bytes that waited arrive.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = false
	e.gate.release()
	e.workReady.broadcast()
}

// StallConnections makes the open connections stop delivering; new ones work.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.silence()
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

// CachedBlockHashes returns the hashes of the blocks that a weights version has in
// the cache now, in no order.
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

// endBoot wakes everyone who waits for something of this boot.
func (e *Engine) endBoot() {
	close(e.ended)
	e.eventsReady.broadcast()
	e.workReady.broadcast()
	for _, j := range e.jobs {
		j.changed.broadcast()
	}
}

// listen opens the listener and serves it.
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
