// Package operator provides the HTTP interface of a process for operators: status,
// metrics and health checks.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Process provides the state of a process to operators.
type Process interface {
	// Status returns the process's state, which is encoded as JSON.
	Status() any
	// Ready reports whether the process is ready to serve requests.
	Ready() bool
}

// FleetProcess is a Process that can query all agents for their bundle versions.
type FleetProcess interface {
	Process
	// Fleet queries all agents. Agents that do not reply before ctx is done are
	// included with Answered set to false.
	Fleet(ctx context.Context) FleetStatus
}

// fleetTimeout limits the time to query all agents.
const fleetTimeout = 3 * time.Second

// NewHandler returns the HTTP handler for operators of a process. It serves /fleet
// only if the process is a FleetProcess.
func NewHandler(process Process, metrics http.Handler) http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !process.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Get("/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, process.Status())
	})
	if fleet, ok := process.(FleetProcess); ok {
		mux.Get("/fleet", func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), fleetTimeout)
			defer cancel()
			writeJSON(w, fleet.Fleet(ctx))
		})
	}
	mux.Handle("/metrics", metrics)
	return mux
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
