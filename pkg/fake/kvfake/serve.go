package kvfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
)

// maxRetainedVMLists limits the number of VM lists kept for Faults.VMLagMillis.
const maxRetainedVMLists = 1000

// vmList is a list of VMs with the time at which it was set.
type vmList struct {
	setAt time.Time
	vms   []platform.VM
}

// SetVMs replaces the list of VMs. Clients see the new list after
// Faults.VMLagMillis.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmList{setAt: time.Now(), vms: slices.Clone(vms)})
	if len(s.vmLists) > maxRetainedVMLists {
		s.vmLists = slices.Clone(s.vmLists[maxRetainedVMLists/2:])
	}
}

// serveVMs returns the latest list that is at least Faults.VMLagMillis old, or
// the oldest one.
func (s *Server) serveVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	cutoff := time.Now().Add(-time.Duration(s.faults.VMLagMillis) * time.Millisecond)
	vms := []platform.VM{}
	for i, list := range s.vmLists {
		if i == 0 || !list.setAt.After(cutoff) {
			vms = list.vms
		}
	}
	s.mu.Unlock()
	writeJSON(w, platform.VMsReply{VMs: vms})
}

// serveGet returns the entry of a key, or the entries with a prefix if the
// query has no key.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	if !query.Has("key") {
		list := platform.ListReply{Entries: s.store.list(query.Get("prefix")), Revision: s.store.revision}
		s.mu.Unlock()
		writeJSON(w, list)
		return
	}
	found, ok := s.store.records[query.Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, found.entry)
}

// serveWatch returns the changes after a revision. If there are none, it waits
// for the next one until the wait time in the query has passed.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if afterErr != nil || waitErr != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		stalled, outage := s.faults.StallWatches, s.faults.Outage
		compacted := after < s.store.compactedRevision
		reply := platform.WatchReply{Changes: s.store.changesAfter(query.Get("prefix"), after), Revision: s.store.revision}
		changed := s.store.changed
		s.mu.Unlock()
		switch {
		case stalled:
			s.waitForClose(r)
			return
		case outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case compacted:
			http.Error(w, "compacted", http.StatusRequestedRangeNotSatisfiable)
			return
		case timedOut || len(reply.Changes) > 0:
			writeJSON(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.stopping:
			return
		}
	}
}

// waitForClose waits until the client disconnects or the server stops.
func (s *Server) waitForClose(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stopping:
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var request platform.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(request.Value) > kv.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	revision, err := s.store.put(kv.Put(request))
	loseResponse := s.shouldLoseResponse()
	s.mu.Unlock()
	writeResponse(w, err, loseResponse, platform.RevisionReply{Revision: revision})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	expectRevision, err := strconv.ParseUint(r.URL.Query().Get("expect_revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	err = s.store.remove(r.URL.Query().Get("key"), expectRevision)
	loseResponse := s.shouldLoseResponse()
	s.mu.Unlock()
	writeResponse(w, err, loseResponse, nil)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request platform.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMillis <= 0 {
		http.Error(w, "ttl_ms must be a positive number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.store.grant(time.Duration(request.TTLMillis)*time.Millisecond, time.Now())
	loseResponse := s.shouldLoseResponse()
	s.mu.Unlock()
	writeResponse(w, nil, loseResponse, platform.LeaseReply{ID: id})
}

func (s *Server) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	err := s.store.renew(kv.LeaseID(chi.URLParam(r, "id")), time.Now())
	loseResponse := s.shouldLoseResponse()
	s.mu.Unlock()
	writeResponse(w, err, loseResponse, nil)
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.store.revoke(kv.LeaseID(chi.URLParam(r, "id")))
	loseResponse := s.shouldLoseResponse()
	s.mu.Unlock()
	writeResponse(w, nil, loseResponse, nil)
}

// writeResponse writes the response of a write call. A lost response has status
// 503. Otherwise, the response is the status for err, or reply if err is nil,
// or status 204 if both are nil.
func writeResponse(w http.ResponseWriter, err error, loseResponse bool, reply any) {
	switch {
	case loseResponse:
		http.Error(w, "answer lost", http.StatusServiceUnavailable)
	case errors.Is(err, kv.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, kv.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, kv.ErrLeaseExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case reply == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, reply)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
