package callers

import (
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
	// stopCallers is the number of callers that send requests one after another while the
	// process stops; a third of them closes its connection after each.
	stopCallers = 30
	// stopRunTime is the time that the target takes for each of their requests.
	stopRunTime = 200 * time.Millisecond
	// stopAfter is the time from the first request to the stop signal.
	stopAfter = 500 * time.Millisecond
)

// TestStopUnderLoad guards against requests that have reached a target and get no complete
// answer because the process stops, beside a crowd whose bodies stop half-way.
func TestStopUnderLoad(t *testing.T) {
	w := newWorld(t)
	w.target.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(stopRunTime)
		w.target.SetStamp(rw)
		_, _ = io.WriteString(rw, "answer of i-0")
	})
	w.crowd(w.callerAddress, bodyCallers, func(caller int, conn net.Conn) {
		send(conn, head(paths[caller%2], caller, contentLength)+"\r\n"+unfinished[:pieceBytes])
	})
	time.AfterFunc(stopAfter, func() { _ = w.cmd.Process.Signal(syscall.SIGTERM) })
	var mu sync.Mutex
	answered := map[string]bool{}
	var wg sync.WaitGroup
	for caller := range stopCallers {
		wg.Go(func() {
			client := &http.Client{Timeout: replyTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: caller%3 == 0}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				id := fmt.Sprintf("load-%d-%d", caller, n)
				resp, err := w.askOnce(client, id)
				if err != nil && strings.Contains(err.Error(), "connection refused") {
					return
				}
				if err != nil || resp == http.StatusServiceUnavailable {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				answered[id] = resp == http.StatusOK
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	select {
	case <-w.exited:
	case <-time.After(patience):
		t.Error("the process has not exited")
	}
	if code := w.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process has exited with status %d", code)
		w.report()
	}
	for _, received := range w.target.ReceivedRequests() {
		if id := received.Header.Get(platformfake.HeaderRequestID); !answered[id] {
			t.Errorf("request %s has reached the target and got no complete answer", id)
		}
	}
	t.Logf("%d requests", len(w.target.ReceivedRequests()))
}

// askOnce sends a request that may not be repeated and returns the status of its complete
// answer.
func (w *world) askOnce(client *http.Client, id string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.callerAddress+"/once/1", io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return 0, err
	}
	req.Host, req.ContentLength = "h", 1
	req.Header.Set(platformfake.HeaderRequestID, id)
	req.Header.Set(platformfake.HeaderAPIKey, "key-1")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
