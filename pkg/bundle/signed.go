package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
	"github.com/juju/errors"
)

// MaxSignedBytes limits the size of an encoded Signed or SignedDifference.
const MaxSignedBytes = 1_000_000

// Domain separation prefixes prevent a signature from being reused as an approval.
const (
	signatureDomain = "baobab bundle signature 1\n"
	approvalDomain  = "baobab bundle approval 1\n"
)

// TrustedKey is an operator's public key.
type TrustedKey struct {
	ID string `json:"id"`
	// PublicKey is the Ed25519 public key, 32 bytes.
	PublicKey []byte `json:"public_key"`
}

// TrustPolicy holds the operators' public keys and the number of approvals that a
// bundle requires.
type TrustPolicy struct {
	keys         map[string]ed25519.PublicKey
	minApprovals int
}

// NewTrustPolicy returns a policy that trusts the given keys. It rejects malformed
// and duplicate keys: the holder of a key with two identifiers could approve their
// own bundle.
func NewTrustPolicy(keys []TrustedKey, minApprovals int) (*TrustPolicy, error) {
	trust := &TrustPolicy{keys: make(map[string]ed25519.PublicKey, len(keys)), minApprovals: minApprovals}
	seen := make(map[string]bool, len(keys))
	for _, key := range keys {
		switch {
		case key.ID == "" || trust.keys[key.ID] != nil:
			return nil, errors.NotValidf("empty or repeated key identifier %q", key.ID)
		case len(key.PublicKey) != ed25519.PublicKeySize:
			return nil, errors.NotValidf("public key %q of %d bytes", key.ID, len(key.PublicKey))
		case seen[string(key.PublicKey)]:
			return nil, errors.NotValidf("public key %q under two identifiers", key.ID)
		}
		seen[string(key.PublicKey)] = true
		trust.keys[key.ID] = bytes.Clone(key.PublicKey)
	}
	return trust, nil
}

// Approval is the signature of an operator other than the signer.
type Approval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Signed is the envelope of an encoded bundle with its signature and approvals.
type Signed struct {
	// Bundle is the canonical encoding of the bundle.
	Bundle    []byte     `json:"bundle"`
	KeyID     string     `json:"key_id"`
	Signature []byte     `json:"signature"`
	Approvals []Approval `json:"approvals"`
}

// Sign validates a bundle and signs its canonical encoding.
func Sign(b Bundle, keyID string, key ed25519.PrivateKey) (Signed, error) {
	if problems := Validate(b); len(problems) > 0 {
		return Signed{}, errors.NotValidf("bundle:\n%s\nwhich", FormatProblems(problems))
	}
	data, err := EncodeCanonical(b)
	if err != nil {
		return Signed{}, errors.Trace(err)
	}
	if len(data) > MaxBundleBytes {
		return Signed{}, errors.NotValidf("bundle of %d bytes, above %d, which", len(data), MaxBundleBytes)
	}
	return Signed{Bundle: data, KeyID: keyID, Signature: ed25519.Sign(key, withDomain(signatureDomain, data)), Approvals: []Approval{}}, nil
}

// Approve returns a copy of the envelope with an additional approval. It returns an
// error if keyID is the signer's or has approved the bundle already.
func (s Signed) Approve(keyID string, key ed25519.PrivateKey) (Signed, error) {
	for _, approval := range s.Approvals {
		if approval.KeyID == keyID {
			return s, errors.AlreadyExistsf("approval by key %q", keyID)
		}
	}
	if keyID == s.KeyID {
		return s, errors.Forbiddenf("approval by the signer's own key %q", keyID)
	}
	approval := Approval{KeyID: keyID, Signature: ed25519.Sign(key, withDomain(approvalDomain, s.Bundle))}
	s.Approvals = append(append([]Approval{}, s.Approvals...), approval)
	return s, nil
}

// UsesKey reports whether the signature or an approval was made with a private key,
// regardless of the key identifier. Ed25519 signatures are deterministic, so it
// signs again and compares.
func (s Signed) UsesKey(key ed25519.PrivateKey) bool {
	if bytes.Equal(ed25519.Sign(key, withDomain(signatureDomain, s.Bundle)), s.Signature) {
		return true
	}
	approval := ed25519.Sign(key, withDomain(approvalDomain, s.Bundle))
	for _, existing := range s.Approvals {
		if bytes.Equal(approval, existing.Signature) {
			return true
		}
	}
	return false
}

// Verify verifies the signature and all approvals against the trusted keys, then
// decodes and validates the bundle.
func (s Signed) Verify(trust *TrustPolicy) (Bundle, []Problem) {
	if problems := s.verifySignatures(trust); len(problems) > 0 {
		return Bundle{}, problems
	}
	return decodeCanonical(s.Bundle)
}

func (s Signed) verifySignatures(trust *TrustPolicy) []Problem {
	var problems []Problem
	addProblem := func(path, found, allowed string) {
		problems = append(problems, newProblem(path, found, allowed))
	}
	if !verifySignature(trust, s.KeyID, s.Signature, withDomain(signatureDomain, s.Bundle)) {
		addProblem("signature", fmt.Sprintf("key %q", s.KeyID), "a signature of this bundle by a trusted key")
	}
	approvers := map[string]bool{s.KeyID: true}
	for i, approval := range s.Approvals {
		path := fmt.Sprintf("approvals[%d]", i)
		if approvers[approval.KeyID] {
			addProblem(path, fmt.Sprintf("key %q", approval.KeyID), "a key other than the signer's and other approvers'")
		}
		approvers[approval.KeyID] = true
		if !verifySignature(trust, approval.KeyID, approval.Signature, withDomain(approvalDomain, s.Bundle)) {
			addProblem(path, fmt.Sprintf("key %q", approval.KeyID), "an approval of this bundle by a trusted key")
		}
	}
	if len(s.Approvals) < trust.minApprovals {
		addProblem("approvals", fmt.Sprintf("%d", len(s.Approvals)), fmt.Sprintf("%d or more", trust.minApprovals))
	}
	return problems
}

func verifySignature(trust *TrustPolicy, keyID string, signature, message []byte) bool {
	key, known := trust.keys[keyID]
	return known && ed25519.Verify(key, message, signature)
}

// withDomain returns the message to sign: data with a domain separation prefix.
func withDomain(prefix string, data []byte) []byte {
	return append([]byte(prefix), data...)
}

// Encode encodes the envelope as JSON.
func (s Signed) Encode() ([]byte, error) {
	if s.Approvals == nil {
		s.Approvals = []Approval{}
	}
	data, err := json.Marshal(s)
	return data, errors.Annotate(err, "encoding a signed bundle")
}

// DecodeSigned strictly decodes an envelope: it accepts only the exact encoding
// that Encode produces. It does not verify the signatures.
func DecodeSigned(data []byte) (Signed, []Problem) {
	var s Signed
	if len(data) > MaxSignedBytes {
		return s, []Problem{newProblem("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSignedBytes))}
	}
	if problems := strictjson.Decode(data, &s); len(problems) > 0 {
		return s, problems
	}
	reencoded, err := s.Encode()
	if err != nil || !bytes.Equal(reencoded, data) {
		return s, []Problem{newProblem("", "another encoding", "the canonical encoding")}
	}
	return s, nil
}
