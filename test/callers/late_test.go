package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// lateInterval is the interval at which callers begin requests of each kind after the stop signal, and
	// lateSpan the time in which they do. It is longer than the process lives.
	lateInterval = 200 * time.Millisecond
	lateSpan     = 4500 * time.Millisecond
	// lateRunTime is the time that the target takes for each request. With the longest upload it is within the
	// timeout of each route. All that is sent to the target in the leave notice of 2.5 s ends within the grace
	// period of 5 s.
	lateRunTime = time.Second
	// latePieces is the number of pieces in which uploads are sent.
	latePieces = 20
	// eventCount is the number of events of a stream.
	eventCount = 10
)

// lateKind is a kind of request that begins during a planned stop.
type lateKind struct {
	name string
	path string
	// uploadTime is the time in which the body is sent.
	uploadTime time.Duration
	// isKept is set if the connection has carried a request before the stop.
	isKept bool
}

// lateKinds returns requests to a path with short and long uploads, on new and kept connections.
func lateKinds(path string) []lateKind {
	var kinds []lateKind
	for _, uploadTime := range []time.Duration{0, time.Second, 1500 * time.Millisecond} {
		for _, isKept := range []bool{false, true} {
			name := fmt.Sprintf("upload of %s, kept connection %v", uploadTime, isKept)
			kinds = append(kinds, lateKind{name: name, path: path, uploadTime: uploadTime, isKept: isKept})
		}
	}
	return kinds
}

// lateRequest is what its caller saw of a request.
type lateRequest struct {
	status int
	body   string
	err    error
}

// send sends a request of the kind and reads its answer, after it has waited for begin.
func (k *lateKind) send(w *world, id string, begin time.Time) lateRequest {
	conn, err := net.DialTimeout("tcp4", w.callerAddress, writeTimeout)
	if k.isKept && err == nil {
		reader := bufio.NewReader(conn)
		send(conn, lateHead("/safe/1", "kept-"+id, 0))
		if answer := readAnswer(reader); answer.err != nil {
			return answer
		}
	}
	time.Sleep(time.Until(begin))
	if !k.isKept {
		if err == nil {
			_ = conn.Close()
		}
		conn, err = net.DialTimeout("tcp4", w.callerAddress, writeTimeout)
	}
	if err != nil {
		return lateRequest{err: err}
	}
	defer func() { _ = conn.Close() }()
	answers := make(chan lateRequest, 1)
	go func() { answers <- readAnswer(bufio.NewReader(conn)) }()
	if k.uploadTime == 0 {
		send(conn, lateHead(k.path, id, 0))
	} else {
		send(conn, lateHead(k.path, id, latePieces))
		sendPieces(conn, strings.Repeat("x", latePieces), 1, k.uploadTime/latePieces)
	}
	return <-answers
}

func lateHead(path, id string, bodyBytes int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: key-1\r\nContent-Length: %d\r\n\r\n",
		path, platformfake.HeaderRequestID, id, platformfake.HeaderAPIKey, bodyBytes)
}

func readAnswer(reader *bufio.Reader) lateRequest {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return lateRequest{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return lateRequest{status: resp.StatusCode, body: string(body), err: err}
}

// lateAnswer returns the answer of the target to a path.
func lateAnswer(path string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "answer of i-0"
	}
	var text strings.Builder
	for n := range eventCount {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", n+1)
	}
	return text.String()
}

// TestLateInGrace guards against requests that come late in a planned stop, are passed on to a target, and
// get no answer of it because the process ends.
func TestLateInGrace(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) { testLateInGrace(t, path) })
	}
}

func testLateInGrace(t *testing.T, path string) {
	w := newWorld(t)
	w.target.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		w.target.SetStamp(rw)
		if strings.HasPrefix(r.Header.Get(platformfake.HeaderRequestID), "kept-") {
			_, _ = io.WriteString(rw, "answer of i-0")
			return
		}
		for part := range strings.SplitAfterSeq(lateAnswer(path), "\n\n") {
			time.Sleep(lateRunTime / time.Duration(1+strings.Count(lateAnswer(path), "\n\n")))
			_, _ = io.WriteString(rw, part)
			_ = http.NewResponseController(rw).Flush()
		}
	})
	stopAt := time.Now().Add(time.Second)
	time.AfterFunc(time.Until(stopAt), func() { _ = w.cmd.Process.Signal(syscall.SIGTERM) })
	var mu sync.Mutex
	requests := map[string]lateRequest{}
	var wg sync.WaitGroup
	for _, kind := range lateKinds(path) {
		for after := time.Duration(0); after < lateSpan; after += lateInterval {
			wg.Go(func() {
				id := fmt.Sprintf("%s, begun after %s", kind.name, after)
				request := kind.send(w, id, stopAt.Add(after))
				mu.Lock()
				defer mu.Unlock()
				requests[id] = request
			})
		}
	}
	wg.Wait()
	<-w.exited
	if code := w.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process has exited with status %d", code)
	}
	w.checkLate(path, requests)
}

// checkLate requires that each request that has reached the target got its whole answer, and that
// the others were refused or not taken.
func (w *world) checkLate(path string, requests map[string]lateRequest) {
	served, refused := 0, 0
	for _, received := range w.target.ReceivedRequests() {
		id := received.Header.Get(platformfake.HeaderRequestID)
		request, ok := requests[id]
		switch {
		case !ok && strings.HasPrefix(id, "kept-"):
		case request.err != nil || request.status != http.StatusOK || request.body != lateAnswer(path):
			w.t.Errorf("request %s has reached the target, and its caller got status %d, %d bytes, error %v", id, request.status, len(request.body), request.err)
		default:
			served++
		}
	}
	for _, request := range requests {
		if request.status == http.StatusServiceUnavailable || request.status == http.StatusRequestTimeout {
			refused++
		}
	}
	w.report()
	w.t.Logf("%d requests: %d served, %d refused", len(requests), served, refused)
}
