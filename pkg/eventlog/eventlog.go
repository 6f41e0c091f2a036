// Package eventlog writes numbered events as JSON lines. Every event has a
// number and a name in the catalogue docs/EVENTS.md.
package eventlog

import (
	"io"

	"github.com/go-kit/log"
)

// Number identifies one kind of event. Numbers are never used again.
type Number int

// Event is one kind of event.
type Event struct {
	Number Number
	// Name is short, in snake_case.
	Name string
	// Description is the catalogue's explanation.
	Description string
	// Fields names the event's own fields.
	Fields []string
}

// Logger writes events of one process.
type Logger struct {
	out log.Logger
}

// New returns a Logger that writes JSON lines to w. Each line holds process
// and vm besides the event's own fields. It is safe for concurrent use.
func New(w io.Writer, process, vm string) *Logger {
	out := log.NewJSONLogger(log.NewSyncWriter(w))
	out = log.With(out, "ts", log.DefaultTimestampUTC, "process", process, "vm", vm)
	return &Logger{out: out}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{out: log.NewNopLogger()}
}

// Log writes one event with alternating field names and values.
func (l *Logger) Log(event Event, keyvals ...any) {
	line := make([]any, 0, len(keyvals)+4)
	line = append(line, "event", int(event.Number), "name", event.Name)
	line = append(line, keyvals...)
	_ = l.out.Log(line...)
}
