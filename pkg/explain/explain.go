// Package explain finds a request's decisions in the processes' log lines.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// maxLineBytes bounds one log line; longer ones are skipped.
const maxLineBytes = 1 << 20

// Field is one field of a log line, its value as JSON.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Step is one event of a request.
type Step struct {
	Time    time.Time       `json:"time"`
	Process string          `json:"process"`
	VM      string          `json:"vm"`
	Event   eventlog.Number `json:"event"`
	Name    string          `json:"name"`
	// Text is the catalogue's explanation; empty for unknown events.
	Text string `json:"text"`
	// Fields are the event's own, in the catalogue's order, others after them.
	Fields []Field `json:"fields"`
}

// Trace collects the steps of one request. The zero value is not ready for
// use; call New.
type Trace struct {
	id    string
	known map[eventlog.Number]eventlog.Event
	steps []Step
	// SkippedLines counts lines that were too long or no JSON objects.
	SkippedLines int
}

// New returns an empty Request.
func New(requestID string) *Trace {
	r := &Trace{id: requestID, known: map[eventlog.Number]eventlog.Event{}}
	for _, event := range eventlog.Catalogue {
		r.known[event.Number] = event
	}
	return r
}

// ReadLog takes the request's lines out of a log.
func (r *Trace) ReadLog(log io.Reader) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	tooLong := false
	for {
		line, err := lines.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			tooLong = true
			continue
		case tooLong:
			tooLong = false
			r.SkippedLines++
		case len(line) > 0:
			r.take(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// take adds the step of one line if it is the request's.
func (r *Trace) take(line []byte) {
	var head struct {
		RequestID string          `json:"request_id"`
		Time      time.Time       `json:"ts"`
		Process   string          `json:"process"`
		VM        string          `json:"vm"`
		Event     eventlog.Number `json:"event"`
		Name      string          `json:"name"`
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line, &fields) != nil || json.Unmarshal(line, &head) != nil {
		r.SkippedLines++
		return
	}
	if head.RequestID != r.id {
		return
	}
	event := r.known[head.Event]
	r.steps = append(r.steps, Step{
		Time: head.Time, Process: head.Process, VM: head.VM,
		Event: head.Event, Name: head.Name, Text: event.Description, Fields: ordered(event, fields),
	})
}

// commonFields stand in every line of a request.
var commonFields = []string{"ts", "process", "vm", "event", "name", "request_id"}

func ordered(event eventlog.Event, fields map[string]json.RawMessage) []Field {
	for _, name := range commonFields {
		delete(fields, name)
	}
	found := []Field{}
	for _, name := range event.Fields {
		if value, ok := fields[name]; ok {
			found = append(found, Field{Name: name, Value: value})
			delete(fields, name)
		}
	}
	others := make([]Field, 0, len(fields))
	for name, value := range fields {
		others = append(others, Field{Name: name, Value: value})
	}
	slices.SortFunc(others, func(x, y Field) int { return cmp.Compare(x.Name, y.Name) })
	return append(found, others...)
}

// Steps returns the steps by time; those of one time in the order of reading.
func (r *Trace) Steps() []Step {
	steps := append([]Step{}, r.steps...)
	slices.SortStableFunc(steps, func(x, y Step) int { return x.Time.Compare(y.Time) })
	return steps
}

// FormatSteps returns steps for a person, times counted from the first one.
func FormatSteps(requestID string, steps []Step) string {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s, %d events\n", requestID, len(steps))
	for _, step := range steps {
		fmt.Fprintf(&text, "%+10.3f ms  %s %s  %d %s\n", float64(step.Time.Sub(steps[0].Time).Microseconds())/1000,
			step.Process, step.VM, step.Event, step.Name)
		if step.Text != "" {
			fmt.Fprintf(&text, "    %s\n", step.Text)
		}
		for _, field := range step.Fields {
			fmt.Fprintf(&text, "    %s: %s\n", field.Name, plain(field.Value))
		}
	}
	return text.String()
}

// plain returns a value without the quotes of a JSON string; a list's entries
// stand one a line.
func plain(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(value, &list) == nil && len(list) > 0 {
		return "\n      " + strings.Join(list, "\n      ")
	}
	return string(value)
}
