// Package servicefake is a plain service for tests: an HTTP server on loopback
// that takes bids, redemptions and seat holds and counts how often each ran.
//
// POST or PUT of any path is one action: the JSON body's field "key" is its
// business key, and its answer is {"key":…,"result":…}, where the result
// depends on the key alone. GET of any other path is a lookup. GET /executions
// gives the counts as Executions in JSON. The request id comes in the header
// service.HeaderRequestID. Faults are set by SetFault.
package servicefake

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/service"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 1 << 20

// PathExecutions gives the counts.
const PathExecutions = "/executions"

// Config sets up a service.
type Config struct {
	// Address is the listener's host:port; default a free loopback port.
	Address string
}

// Fault says what goes wrong with actions and lookups.
type Fault struct {
	// CloseBefore cuts the connection before the action runs.
	CloseBefore bool
	// CloseAfter cuts it after the action ran, so that the answer is lost.
	CloseAfter bool
	// CrashBefore and CrashAfter cut every connection at that point.
	CrashBefore, CrashAfter bool
	// Delay is added before the action runs.
	Delay time.Duration
	// MaxCalls bounds how many calls meet the fault; 0 for all.
	MaxCalls int
}

// Executions are the counts of actions that ran.
type Executions struct {
	// ByRequest and ByKey count by request id and by business key.
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
	// Lookups counts lookups that ran.
	Lookups int `json:"lookups"`
}

// Result is the body of an action's answer.
type Result struct {
	Key    string `json:"key"`
	Result string `json:"result"`
}

// ResultOf returns the result of an action by its business key.
func ResultOf(key string) string {
	return "done-" + strconv.FormatUint(xxhash.Sum64String(key), 16)
}

// Service is one running service, safe for concurrent use.
type Service struct {
	listener net.Listener
	server   *http.Server
	tasks    sync.WaitGroup

	mu     sync.Mutex
	fault  Fault
	left   int
	counts Executions
	frozen chan struct{}
	closed chan struct{}
	conns  map[net.Conn]struct{}
}

// Start starts a service. The caller closes it.
func Start(cfg Config) (*Service, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Service{
		listener: listener,
		counts:   Executions{ByRequest: map[string]int{}, ByKey: map[string]int{}},
		closed:   make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
	}
	router := chi.NewRouter()
	router.Get(PathExecutions, s.serveExecutions)
	router.Get("/*", s.serveLookup)
	router.Post("/*", s.serveAction)
	router.Put("/*", s.serveAction)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute, ConnState: s.follow}
	s.tasks.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

// Addr returns the service's address, host:port.
func (s *Service) Addr() string {
	return s.listener.Addr().String()
}

// Close stops the service and cuts its connections.
func (s *Service) Close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.mu.Unlock()
	_ = s.server.Close()
	s.tasks.Wait()
}

// SetFault sets what goes wrong from now on.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.left = fault, fault.MaxCalls
}

// Freeze makes every call wait before it runs, until Thaw.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Crash cuts every open connection. The counts stay, being the test's own.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Executions returns a copy of the counts.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{
		ByRequest: maps.Clone(s.counts.ByRequest),
		ByKey:     maps.Clone(s.counts.ByKey),
		Lookups:   s.counts.Lookups,
	}
}

// follow keeps the set of open connections.
func (s *Service) follow(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// serveExecutions gives the counts.
func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

// serveLookup answers a lookup.
func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	s.run(w, r, r.URL.Path, func() { s.counts.Lookups++ })
}

// serveAction runs an action.
func (s *Service) serveAction(w http.ResponseWriter, r *http.Request) {
	var action struct {
		Key string `json:"key"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &action)
	}
	if err != nil || action.Key == "" {
		http.Error(w, "bad action", http.StatusBadRequest)
		return
	}
	s.run(w, r, action.Key, func() {
		s.counts.ByRequest[r.Header.Get(service.HeaderRequestID)]++
		s.counts.ByKey[action.Key]++
	})
}

// run executes a call once between the fault's points. The execution is
// counted even when its caller has left, as a service that took it would.
func (s *Service) run(w http.ResponseWriter, r *http.Request, key string, execute func()) {
	fault := s.takeFault()
	if !s.waitThaw() {
		panic(http.ErrAbortHandler)
	}
	if fault.Delay > 0 {
		timer := time.NewTimer(fault.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.closed:
			panic(http.ErrAbortHandler)
		}
	}
	s.fail(fault.CloseBefore, fault.CrashBefore)
	s.mu.Lock()
	execute()
	s.mu.Unlock()
	s.fail(fault.CloseAfter, fault.CrashAfter)
	if r.Context().Err() == nil {
		writeJSON(w, Result{Key: key, Result: ResultOf(key)})
	}
}

// takeFault returns the fault that a call meets.
func (s *Service) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if fault.MaxCalls > 0 {
		if s.left == 0 {
			return Fault{}
		}
		s.left--
	}
	return fault
}

// waitThaw waits until the service isn't frozen, and says whether it serves.
func (s *Service) waitThaw() bool {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return true
	case <-s.closed:
		return false
	}
}

// fail cuts this connection or all of them.
func (s *Service) fail(cut, crash bool) {
	if crash {
		s.Crash()
	}
	if cut || crash {
		panic(http.ErrAbortHandler)
	}
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
