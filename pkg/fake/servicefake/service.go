// Package servicefake implements a fake service for tests: an HTTP server on
// loopback that executes actions, such as bids, redemptions and seat holds, and
// counts the executions of each.
//
// POST or PUT to any path executes one action. The field "key" of the JSON body
// is the action's business key. The response is {"key":…,"result":…}, where the
// result depends only on the key. GET /executions returns the counts as
// Executions in JSON; GET of any other path is a lookup. The request id is in
// the header service.HeaderRequestID. SetFault injects faults.
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

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// PathExecutions is the path that returns the Executions by GET.
const PathExecutions = "/executions"

// Config configures a service.
type Config struct {
	// Address is the listen address, host:port; by default a free loopback
	// port.
	Address string
}

// Fault is a fault that the service injects into calls, both actions and
// lookups.
type Fault struct {
	// CloseBefore closes the connection before the call is executed.
	CloseBefore bool
	// CloseAfter closes the connection after the call was executed, so that the
	// response is lost.
	CloseAfter bool
	// CrashBefore and CrashAfter close every connection before or after the
	// call is executed.
	CrashBefore, CrashAfter bool
	// Delay is the delay before the call is executed.
	Delay time.Duration
	// MaxCalls limits the number of calls with the fault; 0 means no limit.
	MaxCalls int
}

// Executions counts the executed calls.
type Executions struct {
	// ByRequest and ByKey count the actions by request id and by business key.
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
	// Lookups counts the lookups.
	Lookups int `json:"lookups"`
}

// Result is the body of a successful response.
type Result struct {
	Key    string `json:"key"`
	Result string `json:"result"`
}

// ResultOf returns the result for a business key, or for the path of a lookup.
func ResultOf(key string) string {
	return "done-" + strconv.FormatUint(xxhash.Sum64String(key), 16)
}

// Service is a running fake service. Its methods are safe for concurrent use.
type Service struct {
	listener net.Listener
	server   *http.Server
	tasks    sync.WaitGroup

	mu              sync.Mutex
	fault           Fault
	remainingFaults int
	executions      Executions
	// thawed is closed by Thaw; it is nil while the service isn't frozen.
	thawed chan struct{}
	closed chan struct{}
	conns  map[net.Conn]struct{}
}

// Start starts a service. The caller must close it.
func Start(cfg Config) (*Service, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Service{
		listener:   listener,
		executions: Executions{ByRequest: map[string]int{}, ByKey: map[string]int{}},
		closed:     make(chan struct{}),
		conns:      map[net.Conn]struct{}{},
	}
	router := chi.NewRouter()
	router.Get(PathExecutions, s.serveExecutions)
	router.Get("/*", s.serveLookup)
	router.Post("/*", s.serveAction)
	router.Put("/*", s.serveAction)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute, ConnState: s.trackConn}
	s.tasks.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

// Addr returns the service's address, host:port.
func (s *Service) Addr() string {
	return s.listener.Addr().String()
}

// Close stops the service and closes its connections.
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

// SetFault replaces the fault for future calls.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.remainingFaults = fault, fault.MaxCalls
}

// Freeze delays the execution of new calls until Thaw.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw resumes the execution of calls after Freeze.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// Crash closes every open connection. It keeps the execution counts, which
// belong to the test and not to the simulated service.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Executions returns a copy of the execution counts.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{
		ByRequest: maps.Clone(s.executions.ByRequest),
		ByKey:     maps.Clone(s.executions.ByKey),
		Lookups:   s.executions.Lookups,
	}
}

// trackConn maintains the set of open connections. It is the server's
// ConnState hook.
func (s *Service) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// serveExecutions returns the execution counts.
func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

// serveLookup executes a lookup.
func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	s.serveCall(w, r, r.URL.Path, func() { s.executions.Lookups++ })
}

// serveAction executes an action.
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
	s.serveCall(w, r, action.Key, func() {
		s.executions.ByRequest[r.Header.Get(service.HeaderRequestID)]++
		s.executions.ByKey[action.Key]++
	})
}

// serveCall executes a call and injects the current fault before and after. The
// execution counts even if the client has disconnected, because a real service
// also completes a call that it has accepted.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, key string, execute func()) {
	fault := s.faultForCall()
	if !s.waitUntilThawed() {
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
	s.injectFault(fault.CloseBefore, fault.CrashBefore)
	s.mu.Lock()
	execute()
	s.mu.Unlock()
	s.injectFault(fault.CloseAfter, fault.CrashAfter)
	if r.Context().Err() == nil {
		writeJSON(w, Result{Key: key, Result: ResultOf(key)})
	}
}

// faultForCall returns the fault for the next call and counts it against
// Fault.MaxCalls.
func (s *Service) faultForCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if fault.MaxCalls > 0 {
		if s.remainingFaults == 0 {
			return Fault{}
		}
		s.remainingFaults--
	}
	return fault
}

// waitUntilThawed waits while the service is frozen. It returns false if the
// service is closed first.
func (s *Service) waitUntilThawed() bool {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-s.closed:
		return false
	}
}

// injectFault closes the connection of the current call, all connections, or
// none.
func (s *Service) injectFault(closeConn, crash bool) {
	if crash {
		s.Crash()
	}
	if closeConn || crash {
		panic(http.ErrAbortHandler)
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
