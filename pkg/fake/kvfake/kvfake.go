// Package kvfake implements a small fake of the platform for tests: its
// key-value service and its list of VMs, kept in memory and served as JSON over
// HTTP.
//
//	GET    /v1/kv?key=K                             kv.Entry, 404
//	GET    /v1/kv?prefix=P                          platform.ListReply
//	PUT    /v1/kv                                   platform.PutRequest, returns platform.RevisionReply, 409, 410 for an expired lease
//	DELETE /v1/kv?key=K&expect_revision=N           204, 404, 409
//	GET    /v1/watch?prefix=P&after=N&wait_ms=W     platform.WatchReply, 416 if changes after N are compacted
//	POST   /v1/leases                               platform.LeaseRequest, returns platform.LeaseReply
//	POST   /v1/leases/{id}/renew                    204, 410
//	DELETE /v1/leases/{id}                          204
//	GET    /v1/vms                                  platform.VMsReply
//
// Any of these calls may return 429 (rate limit exceeded) or 503 (outage, or
// lost response of a write). Tests control the fake by GET and PUT
// /admin/faults (Faults), GET /admin/counters (Counters) and PUT /admin/vms
// (platform.VMsReply).
package kvfake

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Default rate limits of the service.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// leaseExpiryInterval is the interval between checks for expired leases.
const leaseExpiryInterval = 10 * time.Millisecond

// Counters counts the calls since the start of the server.
type Counters struct {
	// Reads counts the accepted get, list, watch and VM list calls.
	Reads uint64 `json:"reads"`
	// Writes counts the accepted put, delete and lease calls.
	Writes uint64 `json:"writes"`
	// RateLimited counts the calls rejected with status 429.
	RateLimited uint64 `json:"limited"`
	// Refused counts the calls rejected with status 503 during an outage.
	Refused uint64 `json:"refused"`
}

// Server is the fake platform. Its methods are safe for concurrent use.
type Server struct {
	handler http.Handler

	mu           sync.Mutex
	store        *store
	faults       Faults
	counters     Counters
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	rng          *rand.Rand
	vmLists      []vmList
	// leasesPausedAt is the time at which the current outage paused lease
	// expiry, or zero if lease expiry isn't paused.
	leasesPausedAt time.Time

	// stopping is closed by Close, and expiryDone when runLeaseExpiry returns.
	stopping   chan struct{}
	expiryDone chan struct{}
	closeOnce  sync.Once
	httpServer *http.Server
}

// New returns a running Server without a listener. The caller must close it.
// seed seeds the random choice of lost responses.
func New(seed uint64) *Server {
	s := &Server{
		store:      newStore(),
		faults:     DefaultFaults(),
		rng:        rand.New(rand.NewPCG(seed, seed)),
		stopping:   make(chan struct{}),
		expiryDone: make(chan struct{}),
	}
	s.resetLimiters()
	s.handler = s.routes()
	go s.runLeaseExpiry()
	return s
}

// Start listens on addr, which must be a loopback address such as
// 127.0.0.1:0, and serves requests. It returns the listener's address.
func (s *Server) Start(addr string) (string, error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", errors.Trace(err)
	}
	if !resolved.IP.IsLoopback() {
		return "", errors.NotValidf("non-loopback address %s", addr)
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.httpServer = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.httpServer.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Close stops the server and ends every pending call.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.stopping)
		<-s.expiryDone
		if s.httpServer != nil {
			_ = s.httpServer.Close()
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// routes returns the server's HTTP handler. Faults don't affect the admin
// paths.
func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.limitReads)
		r.Get(platform.PathKV, s.serveGet)
		r.Get(platform.PathWatch, s.serveWatch)
		r.Get(platform.PathVMs, s.serveVMs)
	})
	r.Group(func(r chi.Router) {
		r.Use(s.limitWrites)
		r.Put(platform.PathKV, s.servePut)
		r.Delete(platform.PathKV, s.serveDelete)
		r.Post(platform.PathLeases, s.serveGrant)
		r.Post(platform.PathLeases+"/{id}/renew", s.serveRenew)
		r.Delete(platform.PathLeases+"/{id}", s.serveRevoke)
	})
	r.Get("/admin/faults", s.serveGetFaults)
	r.Put("/admin/faults", s.servePutFaults)
	r.Get("/admin/counters", s.serveCounters)
	r.Put("/admin/vms", s.servePutVMs)
	return r
}

// runLeaseExpiry expires leases until the server stops.
func (s *Server) runLeaseExpiry() {
	defer close(s.expiryDone)
	ticker := time.NewTicker(leaseExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			if s.leasesPausedAt.IsZero() {
				s.store.expireLeases(now)
			}
			s.mu.Unlock()
		}
	}
}
