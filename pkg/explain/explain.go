// Package explain collects the events of a request from the logs of several
// processes.
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

// maxLineBytes is the maximum length of a log line; longer lines are skipped.
const maxLineBytes = 1 << 20

// Field is a field of a log line with its JSON value.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Step is a logged event of a request.
type Step struct {
	Time    time.Time       `json:"time"`
	Process string          `json:"process"`
	VM      string          `json:"vm"`
	Event   eventlog.Number `json:"event"`
	Name    string          `json:"name"`
	// Text is the event's description in the catalogue; empty for unknown events.
	Text string `json:"text"`
	// Fields holds the event's own fields in the order of the catalogue, followed by all
	// other fields in alphabetical order.
	Fields []Field `json:"fields"`
}

// Trace collects the steps of one request. Use New to create one; the zero value is
// not usable.
type Trace struct {
	id     string
	events map[eventlog.Number]eventlog.Event
	steps  []Step
	// SkippedLines is the number of lines skipped because they were too long or not
	// valid JSON objects.
	SkippedLines int
}

// New returns an empty Trace for the request with the given ID.
func New(requestID string) *Trace {
	t := &Trace{id: requestID, events: map[eventlog.Number]eventlog.Event{}}
	for _, event := range eventlog.Catalogue {
		t.events[event.Number] = event
	}
	return t
}

// ReadLog reads a log, which has one JSON object per line, and adds the request's
// steps.
func (t *Trace) ReadLog(log io.Reader) error {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	tooLong := false
	for {
		line, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			tooLong = true
			continue
		case tooLong:
			tooLong = false
			t.SkippedLines++
		case len(line) > 0:
			t.addLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// addLine adds the step of a line if the line belongs to the request.
func (t *Trace) addLine(line []byte) {
	var common struct {
		RequestID string          `json:"request_id"`
		Time      time.Time       `json:"ts"`
		Process   string          `json:"process"`
		VM        string          `json:"vm"`
		Event     eventlog.Number `json:"event"`
		Name      string          `json:"name"`
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line, &fields) != nil || json.Unmarshal(line, &common) != nil {
		t.SkippedLines++
		return
	}
	if common.RequestID != t.id {
		return
	}
	event := t.events[common.Event]
	t.steps = append(t.steps, Step{
		Time: common.Time, Process: common.Process, VM: common.VM,
		Event: common.Event, Name: common.Name, Text: event.Description, Fields: orderFields(event, fields),
	})
}

// commonFields lists the fields that every log line of a request contains.
var commonFields = []string{"ts", "process", "vm", "event", "name", "request_id"}

// orderFields returns the fields other than commonFields: first the event's own in the
// order of the catalogue, then all others by name.
func orderFields(event eventlog.Event, fields map[string]json.RawMessage) []Field {
	for _, name := range commonFields {
		delete(fields, name)
	}
	ordered := []Field{}
	for _, name := range event.Fields {
		if value, ok := fields[name]; ok {
			ordered = append(ordered, Field{Name: name, Value: value})
			delete(fields, name)
		}
	}
	others := make([]Field, 0, len(fields))
	for name, value := range fields {
		others = append(others, Field{Name: name, Value: value})
	}
	slices.SortFunc(others, func(x, y Field) int { return cmp.Compare(x.Name, y.Name) })
	return append(ordered, others...)
}

// Steps returns the steps sorted by time. Steps with equal times remain in the order in
// which they were read.
func (t *Trace) Steps() []Step {
	steps := append([]Step{}, t.steps...)
	slices.SortStableFunc(steps, func(x, y Step) int { return x.Time.Compare(y.Time) })
	return steps
}

// FormatSteps formats steps as human-readable text, with times relative to the first step.
func FormatSteps(requestID string, steps []Step) string {
	var out strings.Builder
	fmt.Fprintf(&out, "request %s, %d events\n", requestID, len(steps))
	for _, step := range steps {
		fmt.Fprintf(&out, "%+10.3f ms  %s %s  %d %s\n", float64(step.Time.Sub(steps[0].Time).Microseconds())/1000,
			step.Process, step.VM, step.Event, step.Name)
		if step.Text != "" {
			fmt.Fprintf(&out, "    %s\n", step.Text)
		}
		for _, field := range step.Fields {
			fmt.Fprintf(&out, "    %s: %s\n", field.Name, formatValue(field.Value))
		}
	}
	return out.String()
}

// formatValue formats a JSON value as text. Strings are not quoted, and each entry of a
// list of strings is on a separate line.
func formatValue(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var entries []string
	if json.Unmarshal(value, &entries) == nil && len(entries) > 0 {
		return "\n      " + strings.Join(entries, "\n      ")
	}
	return string(value)
}
