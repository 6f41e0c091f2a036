package bundle

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// EncodeCanonical returns the canonical encoding of a bundle: compact JSON with
// every list sorted by name or ID. Signatures and differences require that each
// bundle has exactly one encoding.
func EncodeCanonical(b Bundle) ([]byte, error) {
	data, err := json.Marshal(normalize(b))
	return data, errors.Annotate(err, "encoding a bundle")
}

// decodeCanonical decodes a bundle and rejects any encoding but the canonical one.
func decodeCanonical(data []byte) (Bundle, []Problem) {
	b, problems := Decode(data)
	if len(problems) > 0 {
		return b, problems
	}
	reencoded, err := EncodeCanonical(b)
	if err != nil || !bytes.Equal(reencoded, data) {
		return b, []Problem{newProblem("", "another encoding", "the canonical encoding")}
	}
	return b, nil
}

// normalize returns a copy with sorted lists. Nil lists become empty ones, because
// JSON encodes the two differently.
func normalize(b Bundle) Bundle {
	b.Accounts = sortedBy(b.Accounts, accountName)
	for i := range b.Accounts {
		b.Accounts[i].Keys = sortedBy(b.Accounts[i].Keys, func(k Key) string { return k.ID })
	}
	b.Models = sortedBy(b.Models, modelName)
	for i := range b.Models {
		versions := sortedBy(b.Models[i].Versions, func(v ModelVersion) string { return v.WeightsVersion })
		for j := range versions {
			versions[j].Adapters = sortedBy(versions[j].Adapters, identity)
		}
		b.Models[i].Versions = versions
	}
	b.Routes = sortedBy(b.Routes, routeName)
	for i := range b.Routes {
		b.Routes[i].Accounts = sortedBy(b.Routes[i].Accounts, identity)
	}
	return b
}

// sortedBy returns a copy of items sorted by name. The copy is never nil.
func sortedBy[T any](items []T, name func(T) string) []T {
	copied := append(make([]T, 0, len(items)), items...)
	slices.SortStableFunc(copied, func(x, y T) int { return cmp.Compare(name(x), name(y)) })
	return copied
}

func accountName(a ClientAccount) string { return a.Name }
func modelName(m Model) string           { return m.Name }
func routeName(r Route) string           { return r.Name }
func identity(s string) string           { return s }
