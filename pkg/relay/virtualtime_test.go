package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

// Headers of the test codec.
const (
	testHeaderID      = "Id"
	testHeaderStamp   = "Stamp"
	testHeaderNotRun  = "Not-Run"
	testHeaderTimeout = "Timeout-Ms"
	testHeaderKey     = "Key"
)

// testCodec implements call.Codec with the headers above.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) call.RequestMetadata {
	ms, _ := strconv.Atoi(h.Get(testHeaderTimeout))
	return call.RequestMetadata{ID: h.Get(testHeaderID), APIKey: h.Get(testHeaderKey), Deadline: time.Duration(ms) * time.Millisecond}
}

func (testCodec) ForwardHeader(h http.Header, f call.ForwardFields) http.Header {
	out := h.Clone()
	out.Set("Last-Event-Id", f.LastEventID)
	return out
}

func (testCodec) DecodeResponse(resp *http.Response, _ string) call.ResponseMetadata {
	return call.ResponseMetadata{
		RequestID: resp.Header.Get(testHeaderID), HasStamp: resp.Header.Get(testHeaderStamp) != "", NotRun: resp.Header.Get(testHeaderNotRun) != "",
	}
}

func (testCodec) CallerHeader(h http.Header) http.Header { return h.Clone() }

func (testCodec) SetRequestID(h http.Header, id string) { h.Set(testHeaderID, id) }

// scriptStep is what a target does next with a request.
type scriptStep struct {
	pause  time.Duration
	action scriptAction
}

// scriptAction is an action of a target.
type scriptAction int

const (
	// writeNext writes the next event of the stream.
	writeNext scriptAction = iota
	// breakOff closes the connection.
	breakOff
	// reject responds that the request has not run.
	reject
	// stayMute does nothing until the connection is closed.
	stayMute
)

// testIDMark stands for the ID of a request in a text.
const testIDMark = "<ID>"

// testWorld is a relay in virtual time, with targets at the ends of pipes. The n-th
// request that the targets receive follows the n-th script, and further ones the last.
type testWorld struct {
	events  int
	scripts [][]scriptStep
	// texts, if not nil, holds what the targets write in place of following scripts, in the order
	// of their requests. testIDMark stands for the request's ID.
	texts   []string
	startAt time.Time
	relay   *Relay
	log     strings.Builder

	// refuseConnsUntil is the time until which the targets refuse all connections but
	// the first.
	refuseConnsUntil time.Duration

	mu    sync.Mutex
	conns []net.Conn
	// received holds the addresses of the targets in the order of their requests.
	received []string
	// closedByRelay holds the times at which the relay closed the connection of a
	// request that its target still worked on.
	closedByRelay []time.Duration
}

// newTestWorld must be called in a synctest bubble. events is the number of events
// of a complete stream.
func newTestWorld(route fleet.Route, events, targets int, scripts ...[]scriptStep) *testWorld {
	w := &testWorld{events: events, scripts: scripts, startAt: time.Now()}
	var listed []fleet.Target
	for i := range targets {
		id := fmt.Sprint("t", i)
		listed = append(listed, fleet.Target{ID: id, Service: "s", Address: id, Slots: 8})
	}
	route.Prefix, route.Backends = "/", []fleet.Backend{{Service: "s", Weight: 1}}
	config := fleet.NewConfig(1, fleet.ClientLimits{}, []fleet.Route{route}, []fleet.Service{{Name: "s"}}, nil, nil)
	w.relay = New(Config{
		Codec: testCodec{}, Balancer: balance.New("p", "", time.Hour, rand.New(rand.NewPCG(1, 2))),
		Pools: targetconn.NewPoolsWithDialer(w.dial), Buffers: membudget.New(64 << 20), Log: eventlog.New(&w.log, "entry", "vm"), Metrics: tally.NoopScope, Now: w.now,
		CurrentConfig: func() *fleet.Config { return config }, Targets: func() []fleet.Target { return listed },
		OnLeaving: func(fleet.Boot) {}, OnLimit: func(string, fleet.Boot, time.Duration, call.TargetLimit) {}, Stopping: func() bool { return false }, Refusing: func() bool { return false }, DrainExpired: context.Background(),
		Processes: func() int { return 1 }, Retries: NewRetryBudgets(0, 100),
	})
	return w
}

func (w *testWorld) now() time.Duration { return time.Since(w.startAt) }

func (w *testWorld) dial(_ context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) > 0 && w.now() < w.refuseConnsUntil {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	w.conns = append(w.conns, local, remote)
	go w.serve(remote, address)
	return local, nil
}

// close ends the connections that the relay keeps open.
func (w *testWorld) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

// serve serves the one request of a connection to a target.
func (w *testWorld) serve(conn net.Conn, address string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	w.mu.Lock()
	number := len(w.received)
	w.received = append(w.received, address)
	w.mu.Unlock()
	if w.texts != nil {
		text := w.texts[min(number, len(w.texts)-1)]
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, testIDMark, req.Header.Get(testHeaderID)))
		return
	}
	w.follow(conn, req, w.scripts[min(number, len(w.scripts)-1)])
}

// follow follows a script until the stream is complete, and breaks off after its last
// step otherwise.
func (w *testWorld) follow(conn net.Conn, req *http.Request, script []scriptStep) {
	closed := make(chan struct{})
	go func() {
		// The relay sends nothing while it waits for a response.
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}()
	next := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	id := testHeaderID + ": " + req.Header.Get(testHeaderID) + "\r\n"
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n" + testHeaderStamp + ": s\r\n" + id + "\r\n"
	for _, step := range script {
		if !w.wait(step, closed) {
			return
		}
		switch step.action {
		case writeNext:
			_, _ = io.WriteString(conn, head+chunk(testEvent(next)))
			head = ""
			next++
		case reject:
			_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n"+testHeaderNotRun+": 1\r\n"+id+"\r\n")
			return
		case breakOff, stayMute:
			return
		}
		if next > w.events {
			_, _ = io.WriteString(conn, chunk(""))
			return
		}
	}
	w.wait(scriptStep{time.Millisecond, breakOff}, closed)
}

// wait waits for a step and reports false if the relay closed the connection first.
func (w *testWorld) wait(step scriptStep, closed <-chan struct{}) bool {
	pause := time.After(step.pause)
	if step.action == stayMute {
		pause = nil
	}
	select {
	case <-pause:
		return true
	case <-closed:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.closedByRelay = append(w.closedByRelay, w.now())
		return false
	}
}

// chunk returns a chunk of a chunked response; the empty one is the last.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func testEvent(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// testResult is what a caller gets.
type testResult struct {
	status int
	body   string
	// broken is set if the connection was closed before the end of the response.
	broken  bool
	endedAt time.Duration
}

// send sends a request whose caller leaves after callerTimeout.
func (w *testWorld) send(callerTimeout time.Duration) (result testResult) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	req.Host = ""
	req.Header.Set(testHeaderID, "r")
	req.Header.Set(testHeaderTimeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	recorder := httptest.NewRecorder()
	defer func() {
		result = testResult{status: recorder.Code, body: recorder.Body.String(), endedAt: w.now()}
		if value := recover(); value != nil {
			if value != http.ErrAbortHandler { //nolint:errorlint // net/http compares the value in the same way.
				panic(value)
			}
			result.broken = true
		}
	}()
	w.relay.ServeHTTP(recorder, req)
	return result
}

// inVirtualTime runs a test of one request in a synctest bubble.
func inVirtualTime(t *testing.T, route fleet.Route, events, targets int, callerTimeout time.Duration, scripts ...[]scriptStep) (*testWorld, testResult) {
	t.Helper()
	var world *testWorld
	var result testResult
	synctest.Test(t, func(*testing.T) {
		world = newTestWorld(route, events, targets, scripts...)
		result = world.send(callerTimeout)
		world.close()
		synctest.Wait()
	})
	return world, result
}
