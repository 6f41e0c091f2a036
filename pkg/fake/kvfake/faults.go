package kvfake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/platform"
	"golang.org/x/time/rate"
)

// Faults are the fault settings of the fake. A zero setting injects no fault,
// except that a rate limit of 0 rejects every call.
type Faults struct {
	// WritesPerSecond and ReadsPerSecond are the service's rate limits.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// OutageStopsLeases pauses lease expiry during an outage.
	OutageStopsLeases bool `json:"outage_stops_leases"`
	// DelayMillis is the delay before each call is executed.
	DelayMillis int64 `json:"delay_ms"`
	// LostResponseShare is the fraction of writes, 0 to 1, that are executed
	// but return status 503.
	LostResponseShare float64 `json:"lost_answer_share"`
	// StallWatches makes every watch hang until its client disconnects. Other
	// calls are not affected.
	StallWatches bool `json:"silent_watches"`
	// VMLagMillis is the age of the list that GET /v1/vms returns.
	VMLagMillis int64 `json:"vm_lag_ms"`
}

// DefaultFaults returns the default rate limits without any faults.
func DefaultFaults() Faults {
	return Faults{WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond}
}

// Faults returns the current fault settings.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all fault settings and resets the rate limiters.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	pauseLeases := faults.Outage && faults.OutageStopsLeases
	switch {
	case pauseLeases && s.leasesPausedAt.IsZero():
		s.leasesPausedAt = now
	case !pauseLeases && !s.leasesPausedAt.IsZero():
		s.store.extendLeases(now.Sub(s.leasesPausedAt))
		s.leasesPausedAt = time.Time{}
	}
	s.faults = faults
	s.resetLimiters()
}

// resetLimiters replaces the rate limiters according to the fault settings. The
// caller holds s.mu.
func (s *Server) resetLimiters() {
	f := s.faults
	s.readLimiter = rate.NewLimiter(rate.Limit(f.ReadsPerSecond), int(f.ReadsPerSecond))
	s.writeLimiter = rate.NewLimiter(rate.Limit(f.WritesPerSecond), int(f.WritesPerSecond))
}

// limitReads injects faults into read calls and limits their rate.
func (s *Server) limitReads(next http.Handler) http.Handler {
	return s.injectFaults(next, func() bool { return s.readLimiter.Allow() }, &s.counters.Reads)
}

// limitWrites injects faults into write calls and limits their rate.
func (s *Server) limitWrites(next http.Handler) http.Handler {
	return s.injectFaults(next, func() bool { return s.writeLimiter.Allow() }, &s.counters.Writes)
}

// injectFaults returns a handler that applies the outage, the rate limit and
// the delay to each call, and counts the call. s.mu is held while allow runs.
func (s *Server) injectFaults(next http.Handler, allow func() bool, counter *uint64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		outage := s.faults.Outage
		allowed := !outage && allow()
		delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
		switch {
		case outage:
			s.counters.Refused++
		case !allowed:
			s.counters.RateLimited++
		default:
			*counter++
		}
		s.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !allowed {
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}

// shouldLoseResponse reports whether the response of a write is lost. It
// decides at random, with probability Faults.LostResponseShare. The caller
// holds s.mu.
func (s *Server) shouldLoseResponse() bool {
	return s.faults.LostResponseShare > 0 && s.rng.Float64() < s.faults.LostResponseShare
}

func (s *Server) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func (s *Server) servePutVMs(w http.ResponseWriter, r *http.Request) {
	var request platform.VMsReply
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(request.VMs)
	w.WriteHeader(http.StatusNoContent)
}
