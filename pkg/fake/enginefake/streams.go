package enginefake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// lineWriter writes a stream of JSON lines and flushes each batch.
type lineWriter struct {
	encoder *json.Encoder
	control *http.ResponseController
}

// newLineWriter sends the answer's header.
func newLineWriter(w http.ResponseWriter) *lineWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	return &lineWriter{encoder: json.NewEncoder(w), control: control}
}

// write writes lines and says whether the connection still takes them.
func writeLines[T any](w *lineWriter, lines ...T) bool {
	for _, line := range lines {
		if w.encoder.Encode(line) != nil {
			return false
		}
	}
	return w.control.Flush() == nil
}

// streamChunks writes a job's chunks from a number on until its end.
func (e *Engine) streamChunks(w http.ResponseWriter, r *http.Request, j *job, from uint64, ended <-chan struct{}) {
	out := newLineWriter(w)
	heartbeat := time.NewTicker(e.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		chunks, done, broken, changed := e.chunksFrom(j, from)
		if !writeLines(out, chunks...) {
			return
		}
		from += uint64(len(chunks))
		if broken {
			panic(http.ErrAbortHandler)
		}
		if done {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !writeLines(out, engine.Chunk{}) {
				return
			}
		case <-r.Context().Done():
			return
		case <-ended:
			panic(http.ErrAbortHandler)
		}
	}
}

// chunksFrom returns the chunks of a job that are ready.
func (e *Engine) chunksFrom(j *job, from uint64) (chunks []engine.Chunk, done, broken bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := from - 1; at < uint64(len(j.chunks)) {
		chunks = j.chunks[at:]
	}
	return chunks, j.done, j.broken, j.changed.wait()
}

// serveEvents follows the cache event log. A caller that names another boot
// gets the present one from its start.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	boot, _ := strconv.ParseUint(r.URL.Query().Get("boot"), 10, 64)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	if boot != e.boot {
		boot, after = e.boot, 0
	}
	ended := e.ended
	e.mu.Unlock()
	out := newLineWriter(w)
	heartbeat := time.NewTicker(e.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		event, ok, due, grown := e.nextEvent(after)
		if ok {
			after = event.Seq
			if !writeLines(out, event) {
				return
			}
			continue
		}
		var ready <-chan time.Time
		if !due.IsZero() {
			ready = time.After(time.Until(due))
			grown = nil
		}
		select {
		case <-grown:
		case <-ready:
		case <-heartbeat.C:
			if !writeLines(out, engine.CacheEvent{BootID: boot}) {
				return
			}
		case <-r.Context().Done():
			return
		case <-ended:
			panic(http.ErrAbortHandler)
		}
	}
}
