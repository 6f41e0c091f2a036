// Package kvfake is a small stand-in of the platform: its key-value service
// and its list of VMs, held in memory and served over HTTP and JSON.
//
//	GET    /v1/kv?key=K                             one entry, 404
//	GET    /v1/kv?prefix=P                          platform.ListReply
//	PUT    /v1/kv                                   platform.PutRequest, 409, 410 for a lapsed lease
//	DELETE /v1/kv?key=K&expect_revision=N           204, 404, 409
//	GET    /v1/watch?prefix=P&after=N&wait_ms=W     platform.WatchReply, 416 when compacted
//	POST   /v1/leases                               platform.LeaseRequest, answers platform.LeaseReply
//	POST   /v1/leases/{id}/renew                    204, 410
//	DELETE /v1/leases/{id}                          204
//	GET    /v1/vms                                  platform.VMsReply
//
// Any call may answer 429 (above the service's rates) or 503 (outage). The
// fault interface of tests is PUT /admin/faults (Faults), GET /admin/faults,
// GET /admin/counters (Counters) and PUT /admin/vms (platform.VMsReply).
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

// Default rates of the service.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// sweepPeriod is the time between two looks for lapsed leases.
const sweepPeriod = 10 * time.Millisecond

// Counters counts calls since the start, refused ones apart.
type Counters struct {
	// Reads counts gets, lists, watches and VM lists that were let in.
	Reads uint64 `json:"reads"`
	// Writes counts puts, deletions and lease calls that were let in.
	Writes uint64 `json:"writes"`
	// RateLimited counts calls answered 429.
	RateLimited uint64 `json:"limited"`
	// Refused counts calls answered 503.
	Refused uint64 `json:"refused"`
}

// Server is the fake platform. Its methods are safe for concurrent use.
type Server struct {
	handler http.Handler

	mu       sync.Mutex
	data     *data
	faults   Faults
	counters Counters
	reads    *rate.Limiter
	writes   *rate.Limiter
	random   *rand.Rand
	vms      []vmList
	// pausedAt is the start of an outage that stops the lease clock.
	pausedAt time.Time

	stop chan struct{}
	done chan struct{}
	once sync.Once
	http *http.Server
}

// New returns a running Server without a listener. Close ends it.
func New(seed uint64) *Server {
	s := &Server{
		data:   newData(),
		faults: DefaultFaults(),
		random: rand.New(rand.NewPCG(seed, seed)),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	s.applyRates()
	s.handler = s.routes()
	go s.sweep()
	return s
}

// Start listens on addr, which must be a loopback address such as
// 127.0.0.1:0, and serves there. It returns the address in use.
func (s *Server) Start(addr string) (string, error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", errors.Trace(err)
	}
	if !resolved.IP.IsLoopback() {
		return "", errors.NotValidf("address %s outside loopback", addr)
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Close ends the server and every waiting call.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.stop)
		<-s.done
		if s.http != nil {
			_ = s.http.Close()
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Counters returns the calls counted so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.readGate)
		r.Get(platform.PathKV, s.serveGet)
		r.Get(platform.PathWatch, s.serveWatch)
		r.Get(platform.PathVMs, s.serveVMs)
	})
	r.Group(func(r chi.Router) {
		r.Use(s.writeGate)
		r.Put(platform.PathKV, s.servePut)
		r.Delete(platform.PathKV, s.serveDelete)
		r.Post(platform.PathLeases, s.serveGrant)
		r.Post(platform.PathLeases+"/{id}/renew", s.serveRenew)
		r.Delete(platform.PathLeases+"/{id}", s.serveRevoke)
	})
	r.Get("/admin/faults", s.adminGetFaults)
	r.Put("/admin/faults", s.adminPutFaults)
	r.Get("/admin/counters", s.adminCounters)
	r.Put("/admin/vms", s.adminVMs)
	return r
}

// sweep deletes the keys of lapsed leases until the server stops.
func (s *Server) sweep() {
	defer close(s.done)
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			if s.pausedAt.IsZero() {
				s.data.lapse(now)
			}
			s.mu.Unlock()
		}
	}
}
