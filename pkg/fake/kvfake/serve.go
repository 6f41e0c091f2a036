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

// maxVMLists is the number of VM lists kept for the lag.
const maxVMLists = 1000

type vmList struct {
	since time.Time
	vms   []platform.VM
}

// SetVMs replaces the list of VMs; callers see it after the lag.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmList{since: time.Now(), vms: slices.Clone(vms)})
	if len(s.vms) > maxVMLists {
		s.vms = slices.Clone(s.vms[maxVMLists/2:])
	}
}

func (s *Server) serveVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	latest := time.Now().Add(-time.Duration(s.faults.VMLagMillis) * time.Millisecond)
	vms := []platform.VM{}
	for i, list := range s.vms {
		if i == 0 || !list.since.After(latest) {
			vms = list.vms
		}
	}
	s.mu.Unlock()
	writeJSON(w, platform.VMsReply{VMs: vms})
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	if !query.Has("key") {
		list := platform.ListReply{Entries: s.data.list(query.Get("prefix")), Revision: s.data.revision}
		s.mu.Unlock()
		writeJSON(w, list)
		return
	}
	found, ok := s.data.values[query.Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, found.entry)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		silent, outage := s.faults.StallWatches, s.faults.Outage
		compacted := after < s.data.compacted
		reply := platform.WatchReply{Changes: s.data.changesAfter(query.Get("prefix"), after), Revision: s.data.revision}
		changed := s.data.changed
		s.mu.Unlock()
		switch {
		case silent:
			s.stall(r)
			return
		case outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case compacted:
			http.Error(w, "compacted", http.StatusRequestedRangeNotSatisfiable)
			return
		case over || len(reply.Changes) > 0:
			writeJSON(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

// stall leaves a call without an answer until its caller or the server goes.
func (s *Server) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stop:
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
	revision, err := s.data.put(kv.Put(request))
	lost := s.loses()
	s.mu.Unlock()
	writeResult(w, err, lost, platform.RevisionReply{Revision: revision})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect_revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	err = s.data.remove(r.URL.Query().Get("key"), expect)
	lost := s.loses()
	s.mu.Unlock()
	writeResult(w, err, lost, nil)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request platform.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMillis <= 0 {
		http.Error(w, "ttl_ms must be a positive number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.data.grant(time.Duration(request.TTLMillis)*time.Millisecond, time.Now())
	lost := s.loses()
	s.mu.Unlock()
	writeResult(w, nil, lost, platform.LeaseReply{ID: id})
}

func (s *Server) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	err := s.data.renew(kv.LeaseID(chi.URLParam(r, "id")), time.Now())
	lost := s.loses()
	s.mu.Unlock()
	writeResult(w, err, lost, nil)
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.data.revoke(kv.LeaseID(chi.URLParam(r, "id")))
	lost := s.loses()
	s.mu.Unlock()
	writeResult(w, nil, lost, nil)
}

func writeResult(w http.ResponseWriter, err error, lost bool, reply any) {
	switch {
	case lost:
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
