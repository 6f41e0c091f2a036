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

// Options bounds what callers may send.
type Options struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests in progress.
	MaxConcurrent int
	// BodyTimeout bounds the reading of a request body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write of a part of an answer.
	WriteTimeout time.Duration
	// Draining says whether the process is stopping; nil for never. Answers then
	// ask their callers to close the connection.
	Draining func() bool
}

const (
	requestIDBytes    = 12
	overloadRetryTime = time.Second
)

type handler struct {
	backend Backend
	options Options
	slots   chan struct{}
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(backend Backend, options Options) http.Handler {
	h := &handler{
		backend: backend,
		options: options,
		slots:   make(chan struct{}, options.MaxConcurrent),
	}
	mux := chi.NewRouter()
	mux.Use(bounding(&h.options))
	mux.Get("/healthz", h.health)
	mux.Get("/readyz", h.ready)
	mux.Get("/v1/models", h.models)
	mux.Post("/v1/chat/completions", h.bounded(h.chatCompletion))
	mux.Post("/v1/completions", h.bounded(h.textCompletion))
	mux.NotFound(h.bounded(h.service))
	mux.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, invalid("method not allowed"))
	})
	return mux
}

// bounded refuses requests beyond the bound on concurrency.
func (h *handler) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
			next(w, r)
		default:
			writeRefusal(w, outcome.NotRunRetryAfter(outcome.CodeOverloaded, overloadRetryTime,
				"too many requests in progress"))
		}
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.backend.Ready() {
		writeRefusal(w, outcome.NotRunRetryAfter(outcome.CodeNotReady, time.Second, "not ready"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *handler) models(w http.ResponseWriter, r *http.Request) {
	names, refusal := h.backend.Models(bearerToken(r.Header))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeModels(w, names)
}

func (h *handler) chatCompletion(w http.ResponseWriter, r *http.Request) {
	h.completion(w, r, true)
}

func (h *handler) textCompletion(w http.ResponseWriter, r *http.Request) {
	h.completion(w, r, false)
}

func (h *handler) completion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	completion, refusal := parseCompletion(r.Header.Get("Content-Type"), body, chat)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	completion.RequestID = newRequestID()
	completion.Token = bearerToken(r.Header)
	w.Header().Set(HeaderRequestID, completion.RequestID)
	answer := newAnswer(w, completion)
	if refusal := h.backend.Complete(r.Context(), completion, answer); refusal != nil {
		answer.fail(refusal)
	}
}

func (h *handler) service(w http.ResponseWriter, r *http.Request) {
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	call := ServiceCall{
		RequestID:      newRequestID(),
		Token:          bearerToken(r.Header),
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

// readBody reads a body within its bounds of size and time. Bodies under an
// unknown key are not read.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	control := http.NewResponseController(w)
	if refusal := h.backend.CheckKey(bearerToken(r.Header)); refusal != nil {
		// Otherwise the server would wait for the body, before the answer and
		// after it.
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(time.Now())
		return nil, refusal
	}
	if r.ContentLength > h.options.MaxBodyBytes {
		return nil, outcome.NotRun(outcome.CodeBodyTooLarge, "request body is too large")
	}
	_ = control.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyRefusal(err error) *outcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.NotRun(outcome.CodeBodyTooLarge, "request body is too large")
	}
	if errors.Is(err, context.Canceled) {
		return outcome.NotRun(outcome.CodeCancelled, "caller left")
	}
	return invalid("request body could not be read")
}

func newRequestID() string {
	var id [requestIDBytes]byte
	// Read never fails; the runtime stops the process without randomness.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
