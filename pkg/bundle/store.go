package bundle

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// HistoryLength is the maximum number of differences that a Store keeps for its
// peers.
const HistoryLength = 64

// Outcome is the result code of an offered bundle or difference.
type Outcome string

// Outcomes of an offer.
const (
	// OutcomeAccepted means that the offered bundle is now active.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeSame means that the offered bundle was already active.
	OutcomeSame Outcome = "same"
	// OutcomeOlder means that the offered version is lower than the active one.
	OutcomeOlder Outcome = "older"
	// OutcomeConflict means that the offered bundle has the active version but
	// different content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that decoding, verification or validation failed.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeNeedWhole means that the base of the offered difference is not the
	// active bundle. The caller should fetch the whole bundle.
	OutcomeNeedWhole Outcome = "need_whole"
)

// Result is the result of offering a bundle or difference to a Store.
type Result struct {
	Outcome Outcome
	// OfferedVersion is the offered version, or 0 if it could not be decoded.
	OfferedVersion uint64
	// ActiveVersion is the active version after the offer, or 0 if there is none.
	ActiveVersion uint64
	// Problems holds the reasons for a rejection.
	Problems []Problem
}

// Snapshot is a verified bundle with its index. It is immutable.
type Snapshot struct {
	Bundle Bundle
	Signed Signed
	Index  *Index
}

// Store holds the active bundle, which is the newest verified one: its version never
// decreases. A Store is safe for concurrent use; Current never blocks.
type Store struct {
	trust   *TrustPolicy
	log     *eventlog.Logger
	current atomic.Pointer[Snapshot]

	// mu guards history and subscribers and serializes updates of current.
	mu          sync.Mutex
	history     []historyEntry
	subscribers map[chan *Snapshot]struct{}
}

// NewStore returns an empty Store that verifies bundles against trust.
func NewStore(trust *TrustPolicy, log *eventlog.Logger) *Store {
	return &Store{trust: trust, log: log, subscribers: map[chan *Snapshot]struct{}{}}
}

// Current returns the active bundle, or nil before the first one.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the active version, or 0 before the first bundle.
func (s *Store) Version() uint64 {
	if current := s.Current(); current != nil {
		return current.Bundle.Version
	}
	return 0
}

// Offer verifies a signed bundle and activates it if it is newer than the active one.
func (s *Store) Offer(signed Signed) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.Current(); current != nil && bytes.Equal(current.Signed.Bundle, signed.Bundle) {
		return Result{Outcome: OutcomeSame, OfferedVersion: s.Version(), ActiveVersion: s.Version()}
	}
	b, problems := signed.Verify(s.trust)
	return s.activateLocked(b, signed, problems)
}

// OfferBytes decodes an encoded Signed and offers it.
func (s *Store) OfferBytes(data []byte) Result {
	signed, problems := DecodeSigned(data)
	if len(problems) > 0 {
		return s.reject(OutcomeInvalid, 0, problems)
	}
	return s.Offer(signed)
}

// OfferDifference applies a difference to the active bundle and offers the result,
// which is verified in the same way as a whole bundle.
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
		return s.reject(OutcomeOlder, d.Difference.Version, nil)
	case current != nil && d.Difference.Version == s.Version() && d.Difference.Hash == sha256Hex(current.Signed.Bundle):
		return Result{Outcome: OutcomeSame, OfferedVersion: s.Version(), ActiveVersion: s.Version()}
	case base.Version != d.Difference.Base:
		return s.reject(OutcomeNeedWhole, d.Difference.Version, nil)
	}
	data, err := Apply(base, d.Difference)
	if err != nil {
		return s.reject(OutcomeNeedWhole, d.Difference.Version, []Problem{newProblem("hash", err.Error(), "a difference from the bundle in force")})
	}
	signed := Signed{Bundle: data, KeyID: d.KeyID, Signature: d.Signature, Approvals: d.Approvals}
	b, problems := signed.Verify(s.trust)
	return s.activateLocked(b, signed, problems)
}

// OfferDifferenceBytes decodes an encoded SignedDifference and offers it.
func (s *Store) OfferDifferenceBytes(data []byte) Result {
	d, problems := DecodeDifference(data)
	if len(problems) > 0 {
		return s.reject(OutcomeInvalid, 0, problems)
	}
	return s.OfferDifference(d)
}

// activateLocked activates a bundle if it has no problems and is newer than the
// active one. The caller must hold s.mu.
func (s *Store) activateLocked(b Bundle, signed Signed, problems []Problem) Result {
	current := s.Current()
	switch {
	case len(problems) > 0:
		return s.reject(OutcomeInvalid, b.Version, problems)
	case b.Version < s.Version():
		return s.reject(OutcomeOlder, b.Version, nil)
	case current != nil && b.Version == current.Bundle.Version:
		return s.reject(OutcomeConflict, b.Version, []Problem{newProblem("version", "other content than the bundle in force", "a new version")})
	}
	index, err := NewIndex(b)
	if err != nil {
		return s.reject(OutcomeInvalid, b.Version, []Problem{newProblem("", err.Error(), "a valid bundle")})
	}
	next := &Snapshot{Bundle: b, Signed: signed, Index: index}
	s.appendHistory(current, next)
	s.current.Store(next)
	s.log.Log(eventlog.BundleAccepted, "version", b.Version, "signer", signed.KeyID, "approvals", len(signed.Approvals))
	s.notify(next)
	return Result{Outcome: OutcomeAccepted, OfferedVersion: b.Version, ActiveVersion: b.Version}
}

// reject logs the rejection of a bundle or difference and returns its Result.
func (s *Store) reject(outcome Outcome, version uint64, problems []Problem) Result {
	switch outcome {
	case OutcomeConflict:
		s.log.Log(eventlog.BundleConflict, "version", version)
	case OutcomeInvalid:
		s.log.Log(eventlog.BundleRefused, "version", version, "in_force", s.Version(), "problems", FormatProblems(problems))
	case OutcomeNeedWhole:
		s.log.Log(eventlog.BundleBaseDiffers, "version", version, "in_force", s.Version())
	}
	return Result{Outcome: outcome, OfferedVersion: version, ActiveVersion: s.Version(), Problems: problems}
}
