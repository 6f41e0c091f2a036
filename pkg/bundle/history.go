package bundle

// historyEntry is the encoded difference between two successive active bundles.
type historyEntry struct {
	base, version uint64
	difference    []byte
}

// Updates holds the data that brings a peer to the active version. All fields are
// empty if the peer's version is not older.
type Updates struct {
	// Whole is the active bundle as an encoded Signed.
	Whole []byte
	// Differences are encoded SignedDifferences, to be applied in order.
	Differences [][]byte
}

// UpdatesSince returns the updates from fromVersion to the active version: a chain of
// differences if the history has one no larger than the bundle, and otherwise the
// whole bundle. A peer without a bundle has version 0.
func (s *Store) UpdatesSince(fromVersion uint64) (Updates, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if current == nil || fromVersion >= current.Bundle.Version {
		return Updates{}, nil
	}
	if chain := s.differencesFrom(fromVersion, len(current.Signed.Bundle)); chain != nil {
		return Updates{Differences: chain}, nil
	}
	whole, err := current.Signed.Encode()
	return Updates{Whole: whole}, err
}

// differencesFrom returns the differences from fromVersion to the active version,
// or nil if the history lacks them or they exceed maxBytes in total.
func (s *Store) differencesFrom(fromVersion uint64, maxBytes int) [][]byte {
	for i, entry := range s.history {
		if entry.base != fromVersion {
			continue
		}
		var chain [][]byte
		for _, next := range s.history[i:] {
			chain = append(chain, next.difference)
			maxBytes -= len(next.difference)
		}
		if maxBytes < 0 {
			return nil
		}
		return chain
	}
	return nil
}

// appendHistory appends the difference between two successive bundles to the
// history. It clears the history if the difference can't be encoded, so that the
// history has no gaps.
func (s *Store) appendHistory(older, newer *Snapshot) {
	if older == nil {
		return
	}
	encoded, err := encodeDifference(older, newer)
	if err != nil {
		s.history = nil
		return
	}
	if len(s.history) == HistoryLength {
		s.history = append(s.history[:0], s.history[1:]...)
	}
	s.history = append(s.history, historyEntry{older.Bundle.Version, newer.Bundle.Version, encoded})
}

func encodeDifference(older, newer *Snapshot) ([]byte, error) {
	d, err := Diff(older.Bundle, newer.Bundle)
	if err != nil {
		return nil, err
	}
	signed := newer.Signed
	approvals := append([]Approval{}, signed.Approvals...)
	return SignedDifference{Difference: d, KeyID: signed.KeyID, Signature: signed.Signature, Approvals: approvals}.Encode()
}

// Subscribe returns a channel that receives each newly active bundle, starting with
// the current one, and a function that cancels the subscription. The channel
// buffers one bundle: a slow receiver misses intermediate bundles but always gets
// the newest.
func (s *Store) Subscribe() (<-chan *Snapshot, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	channel := make(chan *Snapshot, 1)
	if current := s.Current(); current != nil {
		channel <- current
	}
	s.subscribers[channel] = struct{}{}
	return channel, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, channel)
	}
}

// notify sends a bundle to all subscribers and replaces one that they have not
// received yet. The caller must hold s.mu.
func (s *Store) notify(next *Snapshot) {
	for channel := range s.subscribers {
		select {
		case <-channel:
		default:
		}
		channel <- next
	}
}
