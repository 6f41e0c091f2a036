package quarantine

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxIDBytes is the length above which an identifier is replaced by a hash.
const maxIDBytes = 64

// Request is what a caller's request has that may crash targets.
type Request struct {
	// Fingerprint identifies the request's content: a repeated request has the
	// same one.
	Fingerprint string
	// Parts holds the identifiers of the parts of its prompt that other requests may
	// share.
	Parts []string
}

// Suspect is a possible cause of crashes: the requests with a certain content, or a part
// of prompts. Exactly one of its fields is set.
type Suspect struct {
	// Request is the fingerprint of the requests.
	Request string `json:"request,omitempty"`
	// Part is the identifier of the part.
	Part string `json:"part,omitempty"`
}

// isValid reports whether exactly one field is set.
func (s Suspect) isValid() bool { return (s.Request == "") != (s.Part == "") }

// suspects returns the possible causes of a crash under the request, itself first.
func (r *Request) suspects() []Suspect {
	suspects := make([]Suspect, 0, 1+len(r.Parts))
	if r.Fingerprint != "" {
		suspects = append(suspects, Suspect{Request: shortID(r.Fingerprint)})
	}
	for _, part := range r.Parts {
		if part != "" {
			suspects = append(suspects, Suspect{Part: shortID(part)})
		}
	}
	return suspects
}

// shortID returns an identifier, or a hash of a long one.
func shortID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	return "hash:" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// compareSuspects orders suspects by their identifiers, requests last.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Part, b.Part))
}
