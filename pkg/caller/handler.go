package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Options holds the limits and timeouts of the HTTP interface.
type Options struct {
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// MaxConcurrent bounds the number of requests in progress.
	MaxConcurrent int
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a response.
	WriteTimeout time.Duration
	// Draining reports whether the process is stopping. If so, responses ask
	// callers to close the connection. It may be nil.
	Draining func() bool
}

const (
	requestIDBytes     = 12
	overloadRetryAfter = time.Second
)

type handler struct {
	backend    Backend
	options    Options
	inProgress chan struct{}
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(backend Backend, options Options) http.Handler {
	h := &handler{
		backend:    backend,
		options:    options,
		inProgress: make(chan struct{}, options.MaxConcurrent),
	}
	mux := chi.NewRouter()
	mux.Use(withWriteDeadlines(&h.options))
	mux.Get("/healthz", h.serveHealth)
	mux.Get("/readyz", h.serveReady)
	mux.Get("/v1/models", h.serveModels)
	mux.Post("/v1/chat/completions", h.limitConcurrency(h.serveChatCompletion))
	mux.Post("/v1/completions", h.limitConcurrency(h.serveTextCompletion))
	mux.NotFound(h.limitConcurrency(h.serveService))
	mux.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, invalidRequest("method not allowed"))
	})
	return mux
}

// limitConcurrency refuses requests beyond MaxConcurrent.
func (h *handler) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.inProgress <- struct{}{}:
			defer func() { <-h.inProgress }()
			next(w, r)
		default:
			writeRefusal(w, outcome.NotRunRetryAfter(outcome.CodeOverloaded, overloadRetryAfter,
				"too many requests in progress"))
		}
	}
}

func (h *handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.backend.Ready() {
		writeRefusal(w, outcome.NotRunRetryAfter(outcome.CodeNotReady, time.Second, "not ready"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *handler) serveModels(w http.ResponseWriter, r *http.Request) {
	names, refusal := h.backend.Models(bearerToken(r.Header))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeModels(w, names)
}

func (h *handler) serveChatCompletion(w http.ResponseWriter, r *http.Request) {
	h.serveCompletion(w, r, true)
}

func (h *handler) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	h.serveCompletion(w, r, false)
}

func (h *handler) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	request, refusal := parseCompletion(r.Header.Get("Content-Type"), body, chat)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	request.RequestID = newRequestID()
	request.APIKey = bearerToken(r.Header)
	w.Header().Set(HeaderRequestID, request.RequestID)
	writer := newCompletionWriter(w, request)
	if refusal := h.backend.Complete(r.Context(), request, writer); refusal != nil {
		writer.writeError(refusal)
	}
}

func (h *handler) serveService(w http.ResponseWriter, r *http.Request) {
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	call := ServiceCall{
		RequestID:      newRequestID(),
		APIKey:         bearerToken(r.Header),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Header:         r.Header,
		Body:           body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	w.Header().Set(HeaderRequestID, call.RequestID)
	answer, refusal := h.backend.Call(r.Context(), call)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeServiceAnswer(w, answer)
}

// readBody reads a request body within the limits on its size and time. It checks
// the key first and does not read the body of a request with an unknown key.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	controller := http.NewResponseController(w)
	if refusal := h.backend.CheckKey(bearerToken(r.Header)); refusal != nil {
		// Without these, net/http would wait for the rest of the body before
		// sending the response, and again afterwards to reuse the connection.
		w.Header().Set("Connection", "close")
		_ = controller.SetReadDeadline(time.Now())
		return nil, refusal
	}
	if r.ContentLength > h.options.MaxBodyBytes {
		return nil, outcome.NotRun(outcome.CodeBodyTooLarge, "request body is too large")
	}
	_ = controller.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes))
	if err != nil {
		return nil, bodyReadRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyReadRefusal(err error) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.NotRun(outcome.CodeBodyTooLarge, "request body is too large")
	}
	if errors.Is(err, context.Canceled) {
		return outcome.NotRun(outcome.CodeCancelled, "caller left")
	}
	return invalidRequest("request body could not be read")
}

func newRequestID() string {
	var id [requestIDBytes]byte
	// rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
