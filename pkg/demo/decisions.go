package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// decisionRecorder is a writer that extracts the routing decisions from log lines
// and forwards the lines to next, if it is set.
type decisionRecorder struct {
	next io.Writer

	mu        sync.Mutex
	byRequest map[string]string
}

func newDecisionRecorder(next io.Writer) *decisionRecorder {
	return &decisionRecorder{next: next, byRequest: make(map[string]string)}
}

// decisionLine holds the displayed fields of a decision's log line.
type decisionLine struct {
	Event      eventlog.Number `json:"event"`
	Request    string          `json:"request_id"`
	Asked      int             `json:"asked"`
	Answered   int             `json:"answered"`
	Candidates []string        `json:"candidates"`
}

// Write implements io.Writer. Each call must pass exactly one log line.
func (d *decisionRecorder) Write(line []byte) (int, error) {
	var parsed decisionLine
	if err := json.Unmarshal(line, &parsed); err == nil && parsed.Event == eventlog.RoutingDecided.Number {
		d.recordDecision(&parsed)
	}
	if d.next == nil {
		return len(line), nil
	}
	return d.next.Write(line)
}

func (d *decisionRecorder) recordDecision(line *decisionLine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(line.Candidates) == 0 {
		d.byRequest[line.Request] = "no candidate"
		return
	}
	d.byRequest[line.Request] = fmt.Sprintf("%d of %d answered; best %s", line.Answered, line.Asked, line.Candidates[0])
}

// decisionTimeout is the longest time to wait for a decision's log line.
const decisionTimeout = time.Second

// decisionFor returns a description of the routing decision for a request. It waits
// for the log line, which may be written after the answer. It returns an empty
// string if the request has no ID or the wait times out.
func (d *decisionRecorder) decisionFor(requestID string) string {
	deadline := time.Now().Add(decisionTimeout)
	for {
		d.mu.Lock()
		text, ok := d.byRequest[requestID]
		d.mu.Unlock()
		if ok || requestID == "" || time.Now().After(deadline) {
			return text
		}
		time.Sleep(time.Millisecond)
	}
}
