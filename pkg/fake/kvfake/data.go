package kvfake

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// maxRetainedChanges limits the number of changes kept for watches.
const maxRetainedChanges = 20000

// lease is a granted lease with the keys attached to it.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// record is a stored entry with its lease, if any.
type record struct {
	entry kv.Entry
	lease kv.LeaseID
}

// store holds entries, leases and the latest changes. It has no lock of its
// own; Server.mu guards it.
type store struct {
	revision uint64
	// compactedRevision is the revision of the last discarded change.
	compactedRevision uint64
	records           map[string]record
	leases            map[kv.LeaseID]*lease
	lastLeaseNumber   uint64
	changes           []kv.Change
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		records: map[string]record{},
		leases:  map[kv.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// list returns the entries whose keys start with prefix, sorted by key.
func (s *store) list(prefix string) []kv.Entry {
	entries := []kv.Entry{}
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, r.entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// put writes an entry if its current revision is as expected, and attaches it
// to the given lease instead of its previous one. It returns the new revision.
func (s *store) put(put kv.Put) (uint64, error) {
	previous := s.records[put.Key]
	if previous.entry.Revision != put.ExpectRevision {
		return 0, kv.ErrConflict
	}
	if put.Lease != "" {
		newLease, ok := s.leases[put.Lease]
		if !ok {
			return 0, kv.ErrLeaseExpired
		}
		newLease.keys[put.Key] = true
	}
	if previous.lease != "" && previous.lease != put.Lease {
		if oldLease, ok := s.leases[previous.lease]; ok {
			delete(oldLease.keys, put.Key)
		}
	}
	entry := kv.Entry{Key: put.Key, Value: put.Value, Revision: s.revision + 1}
	s.records[put.Key] = record{entry: entry, lease: put.Lease}
	s.appendChange(kv.Change{Entry: entry})
	return entry.Revision, nil
}

// remove deletes an entry if its current revision is as expected.
func (s *store) remove(key string, expectRevision uint64) error {
	previous, ok := s.records[key]
	if !ok {
		return kv.ErrNotFound
	}
	if previous.entry.Revision != expectRevision {
		return kv.ErrConflict
	}
	if attached, ok := s.leases[previous.lease]; ok {
		delete(attached.keys, key)
	}
	delete(s.records, key)
	s.appendChange(kv.Change{Entry: kv.Entry{Key: key, Revision: s.revision + 1}, Deleted: true})
	return nil
}

// appendChange records a change and wakes the pending watches. If more than
// maxRetainedChanges are retained, it discards the oldest ones.
func (s *store) appendChange(change kv.Change) {
	s.revision = change.Revision
	s.changes = append(s.changes, change)
	if len(s.changes) > maxRetainedChanges {
		discarded := len(s.changes) - maxRetainedChanges/2
		s.compactedRevision = s.changes[discarded-1].Revision
		s.changes = append([]kv.Change(nil), s.changes[discarded:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesAfter returns the retained changes after a revision whose keys start
// with prefix.
func (s *store) changesAfter(prefix string, after uint64) []kv.Change {
	found := []kv.Change{}
	start := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > after })
	for _, change := range s.changes[start:] {
		if strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found
}

// grant creates a lease and returns its id.
func (s *store) grant(ttl time.Duration, now time.Time) kv.LeaseID {
	s.lastLeaseNumber++
	id := kv.LeaseID("lease-" + strconv.FormatUint(s.lastLeaseNumber, 10))
	s.leases[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]bool{}}
	return id
}

// renew restarts the TTL of a lease.
func (s *store) renew(id kv.LeaseID, now time.Time) error {
	found, ok := s.leases[id]
	if !ok {
		return kv.ErrLeaseExpired
	}
	found.expiresAt = now.Add(found.ttl)
	return nil
}

// revoke deletes a lease, if it exists, and the entries attached to it.
func (s *store) revoke(id kv.LeaseID) {
	revoked, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for key := range revoked.keys {
		_ = s.remove(key, s.records[key].entry.Revision)
	}
}

// expireLeases revokes the leases whose TTL has elapsed.
func (s *store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revoke(id)
		}
	}
}

// extendLeases extends every lease by a duration for which lease expiry was
// paused.
func (s *store) extendLeases(by time.Duration) {
	for _, l := range s.leases {
		l.expiresAt = l.expiresAt.Add(by)
	}
}
