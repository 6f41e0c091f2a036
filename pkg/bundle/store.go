package bundle

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// HistoryLength is the number of differences that a Store keeps for its peers.
const HistoryLength = 64

// Outcome says what became of an offered bundle.
type Outcome string

// Outcomes of an offer.
const (
	// OutcomeAccepted bundles are in force now.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeSame bundles were in force already.
	OutcomeSame Outcome = "same"
	// OutcomeOlder bundles have a lower version than the one in force.
	OutcomeOlder Outcome = "older"
	// OutcomeConflict bundles have the version in force and other content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid bundles failed a check.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNeedWhole differences start from another bundle than the one in
	// force; ask for the whole bundle.
	OutcomeNeedWhole Outcome = "need_whole"
)

// Result is the outcome of an offer.
type Result struct {
	Outcome Outcome
	// Offered is the offered version, 0 when it couldn't be read.
	Offered uint64
	// InForce is the version in force after the offer, 0 for none.
	InForce uint64
	// Problems says why the offer was invalid.
	Problems []Problem
}

// Snapshot is one bundle in force. It never changes.
type Snapshot struct {
	Bundle Bundle
	Signed Signed
	Index  *Index
}

// Store holds the newest verified bundle. Versions never go down. It is safe
// for concurrent use; Current never blocks.
type Store struct {
	trust   *TrustPolicy
	log     *eventlog.Logger
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	history     []historyEntry
	subscribers map[chan *Snapshot]struct{}
}

// NewStore returns an empty Store that takes bundles verified by trust.
func NewStore(trust *TrustPolicy, log *eventlog.Logger) *Store {
	return &Store{trust: trust, log: log, subscribers: map[chan *Snapshot]struct{}{}}
}

// Current returns the bundle in force; nil before the first one.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the version in force; 0 before the first bundle.
func (s *Store) Version() uint64 {
	if current := s.Current(); current != nil {
		return current.Bundle.Version
	}
	return 0
}

// Offer takes a signed bundle if it verifies and is newer than the one in force.
func (s *Store) Offer(signed Signed) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.Current(); current != nil && bytes.Equal(current.Signed.Bundle, signed.Bundle) {
		return Result{Outcome: OutcomeSame, Offered: s.Version(), InForce: s.Version()}
	}
	b, problems := signed.Verify(s.trust)
	return s.decide(b, signed, problems)
}

// OfferBytes decodes and offers an encoded Signed.
func (s *Store) OfferBytes(data []byte) Result {
	signed, problems := DecodeSigned(data)
	if len(problems) > 0 {
		return s.refuse(OutcomeInvalid, 0, problems)
	}
	return s.Offer(signed)
}

// OfferDifference takes a difference from the bundle in force. The bundle that
// it leads to is verified like a whole one.
func (s *Store) OfferDifference(d SignedDifference) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	var base Bundle
	if current != nil {
		base = current.Bundle
	}
	switch {
	case d.Difference.Version < s.Version():
		return s.refuse(OutcomeOlder, d.Difference.Version, nil)
	case current != nil && d.Difference.Version == s.Version() && d.Difference.Hash == hashOf(current.Signed.Bundle):
		return Result{Outcome: OutcomeSame, Offered: s.Version(), InForce: s.Version()}
	case base.Version != d.Difference.Base:
		return s.refuse(OutcomeNeedWhole, d.Difference.Version, nil)
	}
	data, err := Apply(base, d.Difference)
	if err != nil {
		return s.refuse(OutcomeNeedWhole, d.Difference.Version, []Problem{problem("hash", err.Error(), "a difference from the bundle in force")})
	}
	signed := Signed{Bundle: data, KeyID: d.KeyID, Signature: d.Signature, Approvals: d.Approvals}
	b, problems := signed.Verify(s.trust)
	return s.decide(b, signed, problems)
}

// OfferDifferenceBytes decodes and offers an encoded SignedDifference.
func (s *Store) OfferDifferenceBytes(data []byte) Result {
	d, problems := DecodeDifference(data)
	if len(problems) > 0 {
		return s.refuse(OutcomeInvalid, 0, problems)
	}
	return s.OfferDifference(d)
}

// decide runs with the lock held.
func (s *Store) decide(b Bundle, signed Signed, problems []Problem) Result {
	current := s.Current()
	switch {
	case len(problems) > 0:
		return s.refuse(OutcomeInvalid, b.Version, problems)
	case b.Version < s.Version():
		return s.refuse(OutcomeOlder, b.Version, nil)
	case current != nil && b.Version == current.Bundle.Version:
		return s.refuse(OutcomeConflict, b.Version, []Problem{problem("version", "other content than the bundle in force", "a new version")})
	}
	index, err := NewIndex(b)
	if err != nil {
		return s.refuse(OutcomeInvalid, b.Version, []Problem{problem("", err.Error(), "a valid bundle")})
	}
	next := &Snapshot{Bundle: b, Signed: signed, Index: index}
	s.remember(current, next)
	s.current.Store(next)
	s.log.Log(eventlog.BundleAccepted, "version", b.Version, "signer", signed.KeyID, "approvals", len(signed.Approvals))
	s.notify(next)
	return Result{Outcome: OutcomeAccepted, Offered: b.Version, InForce: b.Version}
}

func (s *Store) refuse(outcome Outcome, version uint64, problems []Problem) Result {
	switch outcome {
	case OutcomeConflict:
		s.log.Log(eventlog.BundleConflict, "version", version)
	case OutcomeInvalid:
		s.log.Log(eventlog.BundleRefused, "version", version, "in_force", s.Version(), "problems", FormatProblems(problems))
	case OutcomeNeedWhole:
		s.log.Log(eventlog.BundleBaseDiffers, "version", version, "in_force", s.Version())
	}
	return Result{Outcome: outcome, Offered: version, InForce: s.Version(), Problems: problems}
}
