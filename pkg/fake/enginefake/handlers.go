package enginefake

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 16 << 20

// routes returns the engine's HTTP handler.
func (e *Engine) routes() http.Handler {
	router := chi.NewRouter()
	router.Post(engine.PathGenerate, e.serveGenerate)
	router.Get(engine.PathStreams, e.serveResume)
	router.Delete(engine.PathStreams, e.serveCancel)
	router.Get(engine.PathEvents, e.serveEvents)
	router.Get(engine.PathLoad, e.serveLoad)
	router.Post(engine.PathOrders, e.serveOrder)
	router.Post(engine.PathImports, e.serveImport)
	router.Post(pathExports, e.serveExport)
	router.Get("/v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	return router
}

// serveGenerate enqueues a request and streams its answer.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	j, err := e.newJob(req)
	if err == nil {
		e.enqueue(j)
	}
	bootEnded := e.bootEnded
	e.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	e.streamChunks(w, r, j, 1, bootEnded)
}

// serveResume streams an answer again from a given chunk number on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		writeError(w, errors.WithType(errors.New("bad chunk number"), engine.ErrRejected))
		return
	}
	j, bootEnded := e.findJob(r)
	if j == nil {
		writeError(w, engine.ErrUnknownStream)
		return
	}
	e.streamChunks(w, r, j, from, bootEnded)
}

// serveCancel cancels a request.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	j, _ := e.findJob(r)
	if j == nil {
		writeError(w, engine.ErrUnknownStream)
		return
	}
	e.mu.Lock()
	e.cancel(j)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// findJob returns the job with the id in the query, or nil if there is none,
// and the channel that is closed at the end of the boot.
func (e *Engine) findJob(r *http.Request) (*job, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[r.URL.Query().Get("id")], e.bootEnded
}

// serveLoad returns the load report.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.delayedReport()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// serveOrder applies an order.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.applyOrder(order); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveImport imports blocks from another engine or a store.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var request engine.ImportRequest
	if !readJSON(w, r, &request) {
		return
	}
	n, err := e.importBlocks(r.Context(), request)
	if err != nil {
		writeError(w, errors.WithType(err, engine.ErrRejected))
		return
	}
	writeJSON(w, http.StatusOK, engine.ImportResult{Blocks: n})
}

// serveExport returns cached blocks to another engine.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request engine.ImportRequest
	if readJSON(w, r, &request) {
		writeJSON(w, http.StatusOK, e.exportBlocks(request))
	}
}

// readJSON decodes a request body and reports whether that succeeded. If not,
// it writes the error response.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(value)
	if err != nil {
		writeError(w, errors.WithType(err, engine.ErrRejected))
		return false
	}
	return true
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes a response with the status and error code for err.
func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusInternalServerError, engine.ErrorCode("internal")
	switch {
	case errors.Is(err, errDuplicate):
		status, code = http.StatusConflict, engine.CodeDuplicate
	case errors.Is(err, engine.ErrRejected):
		status, code = http.StatusUnprocessableEntity, engine.CodeRejected
	case errors.Is(err, engine.ErrStaleFencingToken):
		status, code = http.StatusPreconditionFailed, engine.CodeStaleFencingToken
	case errors.Is(err, engine.ErrUnknownStream):
		status, code = http.StatusNotFound, engine.CodeUnknownStream
	}
	writeJSON(w, status, engine.ErrorBody{Code: code, Message: err.Error()})
}
