package bundle

// historyEntry is one encoded difference between successive bundles in force.
type historyEntry struct {
	base, version uint64
	encoded       []byte
}

// Fetched answers a peer that holds some version. All fields are empty when the
// peer's version is not older than the one in force.
type Fetched struct {
	// Whole is an encoded Signed.
	Whole []byte
	// Differences are encoded SignedDifferences to apply in order.
	Differences [][]byte
}

// UpdatesSince returns what leads a peer from the version that it holds to the one in
// force: a chain of differences if the history has one that is shorter than the
// bundle, else the whole bundle. A peer without a bundle holds version 0.
func (s *Store) UpdatesSince(have uint64) (Fetched, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if current == nil || have >= current.Bundle.Version {
		return Fetched{}, nil
	}
	if chain := s.chain(have, len(current.Signed.Bundle)); chain != nil {
		return Fetched{Differences: chain}, nil
	}
	whole, err := current.Signed.Encode()
	return Fetched{Whole: whole}, err
}

// chain returns the differences from a version on, or nil.
func (s *Store) chain(have uint64, maxBytes int) [][]byte {
	for i, entry := range s.history {
		if entry.base != have {
			continue
		}
		var chain [][]byte
		for _, further := range s.history[i:] {
			chain = append(chain, further.encoded)
			maxBytes -= len(further.encoded)
		}
		if maxBytes < 0 {
			return nil
		}
		return chain
	}
	return nil
}

// remember appends the difference between two bundles to the history.
func (s *Store) remember(older, newer *Snapshot) {
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

// Subscribe returns a channel that receives bundles as they come into force,
// the present one first, and a function that ends the subscription. The channel
// holds one bundle: a slow reader misses bundles between, never the newest.
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

// notify replaces what each subscriber hasn't read yet. It runs with the lock held.
func (s *Store) notify(next *Snapshot) {
	for channel := range s.subscribers {
		select {
		case <-channel:
		default:
		}
		channel <- next
	}
}
