package enginefake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// ndjsonWriter writes a stream of newline-delimited JSON.
type ndjsonWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

// newNDJSONWriter sends the response header and returns a writer for the body.
func newNDJSONWriter(w http.ResponseWriter) *ndjsonWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	return &ndjsonWriter{encoder: json.NewEncoder(w), controller: controller}
}

// writeLines writes and flushes lines, and reports whether that succeeded.
func writeLines[T any](w *ndjsonWriter, lines ...T) bool {
	for _, line := range lines {
		if w.encoder.Encode(line) != nil {
			return false
		}
	}
	return w.controller.Flush() == nil
}

// streamChunks writes a job's chunks from a chunk number on until the job ends.
// It aborts the response if the job is cancelled or the boot ends.
func (e *Engine) streamChunks(w http.ResponseWriter, r *http.Request, j *job, from uint64, bootEnded <-chan struct{}) {
	out := newNDJSONWriter(w)
	heartbeat := time.NewTicker(e.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		chunks, done, cancelled, changed := e.chunksFrom(j, from)
		if !writeLines(out, chunks...) {
			return
		}
		from += uint64(len(chunks))
		if cancelled {
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
		case <-bootEnded:
			panic(http.ErrAbortHandler)
		}
	}
}

// chunksFrom returns the existing chunks of a job from a chunk number on, the
// job's state, and a channel that is closed at its next change.
func (e *Engine) chunksFrom(j *job, from uint64) (chunks []engine.Chunk, done, cancelled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset := from - 1; offset < uint64(len(j.chunks)) {
		chunks = j.chunks[offset:]
	}
	return chunks, j.done, j.cancelled, j.changed.wait()
}

// serveEvents streams the cache event log. If the query names another boot,
// the stream is the log of the current boot from its start.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	boot, _ := strconv.ParseUint(r.URL.Query().Get("boot"), 10, 64)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	if boot != e.boot {
		boot, after = e.boot, 0
	}
	bootEnded := e.bootEnded
	e.mu.Unlock()
	out := newNDJSONWriter(w)
	heartbeat := time.NewTicker(e.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		event, ok, deliverAt, logGrown := e.nextEvent(after)
		if ok {
			after = event.Seq
			if !writeLines(out, event) {
				return
			}
			continue
		}
		var deliverTimer <-chan time.Time
		if !deliverAt.IsZero() {
			deliverTimer = time.After(time.Until(deliverAt))
			logGrown = nil
		}
		select {
		case <-logGrown:
		case <-deliverTimer:
		case <-heartbeat.C:
			if !writeLines(out, engine.CacheEvent{BootID: boot}) {
				return
			}
		case <-r.Context().Done():
			return
		case <-bootEnded:
			panic(http.ErrAbortHandler)
		}
	}
}
