// Package eventlog writes events as JSON lines. Every event has a number and a name,
// which are listed in docs/EVENTS.md.
package eventlog

import (
	"io"

	"github.com/go-kit/log"
)

// maxFieldBytes bounds a text or an error in a line; a longer one is cut.
const maxFieldBytes = 4 << 10

// Number identifies a kind of event. The numbers of removed events are not reused.
type Number int

// Event describes a kind of event.
type Event struct {
	Number Number
	// Name is a short name in snake_case.
	Name string
	// Description describes the event for the catalogue.
	Description string
	// Fields lists the names of the event's own fields.
	Fields []string
}

// Logger writes the events of one process.
type Logger struct {
	logger log.Logger
}

// New returns a Logger that writes JSON lines to w. Each line contains the time and
// the given process and vm in addition to the event's own fields. The Logger is safe
// for concurrent use.
func New(w io.Writer, process, vm string) *Logger {
	out := log.NewJSONLogger(log.NewSyncWriter(w))
	out = log.With(out, "ts", log.DefaultTimestampUTC, "process", process, "vm", vm)
	return &Logger{logger: out}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{logger: log.NewNopLogger()}
}

// Log writes an event. keyvals holds alternating field names and values.
func (l *Logger) Log(event Event, keyvals ...any) {
	line := make([]any, 0, len(keyvals)+4)
	line = append(line, "event", int(event.Number), "name", event.Name)
	for _, value := range keyvals {
		line = append(line, shorten(value))
	}
	_ = l.logger.Log(line...)
}

// shorten returns a value of a line, cut to maxFieldBytes if it is a text or an error.
func shorten(value any) any {
	var text string
	switch value := value.(type) {
	case string:
		text = value
	case error:
		text = value.Error()
	default:
		return value
	}
	if len(text) <= maxFieldBytes {
		return value
	}
	return text[:maxFieldBytes] + "..."
}
