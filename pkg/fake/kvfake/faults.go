package kvfake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/platform"
	"golang.org/x/time/rate"
)

// Faults are the knobs of the fake. The zero value of a knob is no fault,
// except that a rate of 0 lets no call in.
type Faults struct {
	// WritesPerSecond and ReadsPerSecond are the service's rates.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// OutageStopsLeases stops the lease clock during an outage.
	OutageStopsLeases bool `json:"outage_stops_leases"`
	// DelayMillis is waited before each call takes effect.
	DelayMillis int64 `json:"delay_ms"`
	// LostResponseShare of the writes, 0 to 1, take effect and answer 503.
	LostResponseShare float64 `json:"lost_answer_share"`
	// StallWatches leaves every watch without an answer until its caller
	// goes; other calls work.
	StallWatches bool `json:"silent_watches"`
	// VMLagMillis is the age of the list that GET /v1/vms answers.
	VMLagMillis int64 `json:"vm_lag_ms"`
}

// DefaultFaults returns no faults and the default rates.
func DefaultFaults() Faults {
	return Faults{WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond}
}

// Faults returns the knobs in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all knobs.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	stopped := faults.Outage && faults.OutageStopsLeases
	switch {
	case stopped && s.pausedAt.IsZero():
		s.pausedAt = now
	case !stopped && !s.pausedAt.IsZero():
		s.data.extend(now.Sub(s.pausedAt))
		s.pausedAt = time.Time{}
	}
	s.faults = faults
	s.applyRates()
}

func (s *Server) applyRates() {
	f := s.faults
	s.reads = rate.NewLimiter(rate.Limit(f.ReadsPerSecond), int(f.ReadsPerSecond))
	s.writes = rate.NewLimiter(rate.Limit(f.WritesPerSecond), int(f.WritesPerSecond))
}

func (s *Server) readGate(next http.Handler) http.Handler {
	return s.gate(next, func() bool { return s.reads.Allow() }, &s.counters.Reads)
}

func (s *Server) writeGate(next http.Handler) http.Handler {
	return s.gate(next, func() bool { return s.writes.Allow() }, &s.counters.Writes)
}

// gate applies outage, rates and delay to one call.
func (s *Server) gate(next http.Handler, allow func() bool, count *uint64) http.Handler {
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
			*count++
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

// loses draws whether a write's answer is lost. The caller locks.
func (s *Server) loses() bool {
	return s.faults.LostResponseShare > 0 && s.random.Float64() < s.faults.LostResponseShare
}

func (s *Server) adminGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Server) adminPutFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) adminCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func (s *Server) adminVMs(w http.ResponseWriter, r *http.Request) {
	var list platform.VMsReply
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(list.VMs)
	w.WriteHeader(http.StatusNoContent)
}
