package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"github.com/baobabhub/baobabhub/pkg/strictjson"

	"github.com/juju/errors"
)

// MaxSignedBytes bounds an encoded Signed.
const MaxSignedBytes = 1_000_000

// Prefixes keep a signature from serving as an approval.
const (
	signDomain    = "baobab bundle signature 1\n"
	approveDomain = "baobab bundle approval 1\n"
)

// TrustedKey is an operator's public key.
type TrustedKey struct {
	ID string `json:"id"`
	// PublicKey is the Ed25519 public key, 32 bytes.
	PublicKey []byte `json:"public_key"`
}

// TrustPolicy holds the operators' keys and how many approvals a bundle needs.
type TrustPolicy struct {
	keys         map[string]ed25519.PublicKey
	minApprovals int
}

// NewTrustPolicy returns a Trust. It refuses malformed and repeated keys, since one
// key under two identifiers could approve its own bundle.
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

// Approval is a further operator's signature.
type Approval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Signed is a bundle with its signature and approvals.
type Signed struct {
	// Bundle is the canonical encoding.
	Bundle    []byte     `json:"bundle"`
	KeyID     string     `json:"key_id"`
	Signature []byte     `json:"signature"`
	Approvals []Approval `json:"approvals"`
}

// Sign validates the bundle and signs its canonical encoding.
func Sign(b Bundle, keyID string, key ed25519.PrivateKey) (Signed, error) {
	if problems := Validate(b); len(problems) > 0 {
		return Signed{}, errors.NotValidf("bundle:\n%s\nwhich", FormatProblems(problems))
	}
	data, err := Canonical(b)
	if err != nil {
		return Signed{}, errors.Trace(err)
	}
	if len(data) > MaxBundleBytes {
		return Signed{}, errors.NotValidf("bundle of %d bytes, above %d, which", len(data), MaxBundleBytes)
	}
	return Signed{Bundle: data, KeyID: keyID, Signature: ed25519.Sign(key, domain(signDomain, data)), Approvals: []Approval{}}, nil
}

// Approve returns the envelope with one more approval. The signer can't
// approve, nor can a key approve twice.
func (s Signed) Approve(keyID string, key ed25519.PrivateKey) (Signed, error) {
	for _, approval := range s.Approvals {
		if approval.KeyID == keyID {
			return s, errors.AlreadyExistsf("approval by key %q", keyID)
		}
	}
	if keyID == s.KeyID {
		return s, errors.Forbiddenf("approval by the signer's own key %q", keyID)
	}
	approval := Approval{KeyID: keyID, Signature: ed25519.Sign(key, domain(approveDomain, s.Bundle))}
	s.Approvals = append(append([]Approval{}, s.Approvals...), approval)
	return s, nil
}

// UsesKey says whether the signature or an approval was made with the private
// key, under whatever identifier.
func (s Signed) UsesKey(key ed25519.PrivateKey) bool {
	if bytes.Equal(ed25519.Sign(key, domain(signDomain, s.Bundle)), s.Signature) {
		return true
	}
	approval := ed25519.Sign(key, domain(approveDomain, s.Bundle))
	for _, held := range s.Approvals {
		if bytes.Equal(approval, held.Signature) {
			return true
		}
	}
	return false
}

// Verify checks every signature against the trusted keys, then decodes and
// validates the bundle.
func (s Signed) Verify(trust *TrustPolicy) (Bundle, []Problem) {
	if problems := s.verifySignatures(trust); len(problems) > 0 {
		return Bundle{}, problems
	}
	return decodeCanonical(s.Bundle)
}

func (s Signed) verifySignatures(trust *TrustPolicy) []Problem {
	var problems []Problem
	add := func(path, found, allowed string) {
		problems = append(problems, problem(path, found, allowed))
	}
	if !verifyOne(trust, s.KeyID, s.Signature, domain(signDomain, s.Bundle)) {
		add("signature", fmt.Sprintf("key %q", s.KeyID), "a signature of this bundle by a trusted key")
	}
	approvers := map[string]bool{s.KeyID: true}
	for i, approval := range s.Approvals {
		path := fmt.Sprintf("approvals[%d]", i)
		if approvers[approval.KeyID] {
			add(path, fmt.Sprintf("key %q", approval.KeyID), "a key other than the signer's and other approvers'")
		}
		approvers[approval.KeyID] = true
		if !verifyOne(trust, approval.KeyID, approval.Signature, domain(approveDomain, s.Bundle)) {
			add(path, fmt.Sprintf("key %q", approval.KeyID), "an approval of this bundle by a trusted key")
		}
	}
	if len(s.Approvals) < trust.minApprovals {
		add("approvals", fmt.Sprintf("%d", len(s.Approvals)), fmt.Sprintf("%d or more", trust.minApprovals))
	}
	return problems
}

func verifyOne(trust *TrustPolicy, keyID string, signature, message []byte) bool {
	key, known := trust.keys[keyID]
	return known && ed25519.Verify(key, message, signature)
}

func domain(prefix string, data []byte) []byte {
	return append([]byte(prefix), data...)
}

// Encode returns the envelope as JSON.
func (s Signed) Encode() ([]byte, error) {
	if s.Approvals == nil {
		s.Approvals = []Approval{}
	}
	data, err := json.Marshal(s)
	return data, errors.Annotate(err, "encoding a signed bundle")
}

// DecodeSigned reads an envelope strictly: only the encoding that Encode gives
// is taken. It verifies nothing.
func DecodeSigned(data []byte) (Signed, []Problem) {
	var s Signed
	if len(data) > MaxSignedBytes {
		return s, []Problem{problem("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSignedBytes))}
	}
	if problems := strictjson.Decode(data, &s); len(problems) > 0 {
		return s, problems
	}
	again, err := s.Encode()
	if err != nil || !bytes.Equal(again, data) {
		return s, []Problem{problem("", "another encoding", "the canonical encoding")}
	}
	return s, nil
}
