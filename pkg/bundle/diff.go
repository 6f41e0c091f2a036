package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"github.com/baobabhub/baobabhub/pkg/strictjson"
	"reflect"

	"github.com/juju/errors"
)

// Header holds the fields of a bundle other than its version and its lists.
type Header struct {
	Comment string  `json:"comment"`
	KeySalt string  `json:"key_salt"`
	Rollout Rollout `json:"rollout"`
}

// ListDiff is the difference between two lists of named entries.
type ListDiff[T any] struct {
	// Set holds added entries and the new values of changed ones.
	Set []T `json:"set,omitempty"`
	// Remove holds the names of removed entries.
	Remove []string `json:"remove,omitempty"`
}

// AccountKeysDiff changes the keys of an account whose other fields are unchanged.
type AccountKeysDiff struct {
	Account string        `json:"account"`
	Keys    ListDiff[Key] `json:"keys"`
}

// RouteAccountsDiff changes the accounts of a route whose other fields are unchanged.
type RouteAccountsDiff struct {
	Route    string           `json:"route"`
	Accounts ListDiff[string] `json:"accounts"`
}

// Difference transforms the bundle at version Base into the bundle at version
// Version. Applying it to a bundle with other content fails, because the result
// does not match Hash.
type Difference struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Hash is the SHA-256 of the resulting bundle's canonical encoding, hexadecimal.
	Hash string `json:"hash"`
	// Header is nil if unchanged.
	Header        *Header                 `json:"header,omitempty"`
	Accounts      ListDiff[ClientAccount] `json:"accounts"`
	AccountKeys   []AccountKeysDiff       `json:"account_keys,omitempty"`
	Models        ListDiff[Model]         `json:"models"`
	Routes        ListDiff[Route]         `json:"routes"`
	RouteAccounts []RouteAccountsDiff     `json:"route_accounts,omitempty"`
}

// SignedDifference is a Difference with the signature and approvals of the
// resulting bundle. They are verified against that bundle, not the difference.
type SignedDifference struct {
	Difference Difference `json:"difference"`
	KeyID      string     `json:"key_id"`
	Signature  []byte     `json:"signature"`
	Approvals  []Approval `json:"approvals"`
}

// Diff returns the difference between two bundles. The size of its encoding is
// proportional to the number of changed accounts, keys, models and routes, not to
// the size of the bundle.
func Diff(older, newer Bundle) (Difference, error) {
	older, newer = normalize(older), normalize(newer)
	data, err := EncodeCanonical(newer)
	if err != nil {
		return Difference{}, errors.Trace(err)
	}
	d := Difference{Base: older.Version, Version: newer.Version, Hash: sha256Hex(data)}
	if header := headerOf(newer); header != headerOf(older) {
		d.Header = &header
	}
	accounts := diffLists(older.Accounts, newer.Accounts, accountName)
	olderAccounts := indexByName(older.Accounts, accountName)
	for _, account := range accounts.Set {
		previous, exists := olderAccounts[account.Name]
		if exists && equalExcept(previous, account, func(a *ClientAccount) { a.Keys = nil }) {
			keys := diffLists(previous.Keys, account.Keys, func(k Key) string { return k.ID })
			d.AccountKeys = append(d.AccountKeys, AccountKeysDiff{account.Name, keys})
			continue
		}
		d.Accounts.Set = append(d.Accounts.Set, account)
	}
	d.Accounts.Remove = accounts.Remove
	d.Models = diffLists(older.Models, newer.Models, modelName)
	d.diffRoutes(older.Routes, newer.Routes)
	return d, nil
}

// diffRoutes sets the route fields of d. If only the accounts of a route differ, it
// records the changed accounts instead of the whole route.
func (d *Difference) diffRoutes(older, newer []Route) {
	routes := diffLists(older, newer, routeName)
	olderRoutes := indexByName(older, routeName)
	for _, route := range routes.Set {
		previous, exists := olderRoutes[route.Name]
		if exists && equalExcept(previous, route, func(r *Route) { r.Accounts = nil }) {
			accounts := diffLists(previous.Accounts, route.Accounts, identity)
			d.RouteAccounts = append(d.RouteAccounts, RouteAccountsDiff{route.Name, accounts})
			continue
		}
		d.Routes.Set = append(d.Routes.Set, route)
	}
	d.Routes.Remove = routes.Remove
}

// Apply applies a difference to its base and returns the canonical encoding of the
// resulting bundle. It returns a NotValid error if the version of base or the hash
// of the result does not match the difference.
func Apply(base Bundle, d Difference) ([]byte, error) {
	if base.Version != d.Base {
		return nil, errors.NotValidf("base version %d for a difference from %d", base.Version, d.Base)
	}
	b := normalize(base)
	b.Version = d.Version
	if d.Header != nil {
		b.Comment, b.KeySalt, b.Rollout = d.Header.Comment, d.Header.KeySalt, d.Header.Rollout
	}
	b.Accounts = applyList(b.Accounts, d.Accounts, accountName)
	for _, change := range d.AccountKeys {
		for i := range b.Accounts {
			if b.Accounts[i].Name == change.Account {
				b.Accounts[i].Keys = applyList(b.Accounts[i].Keys, change.Keys, func(k Key) string { return k.ID })
			}
		}
	}
	b.Models = applyList(b.Models, d.Models, modelName)
	b.Routes = applyList(b.Routes, d.Routes, routeName)
	for _, change := range d.RouteAccounts {
		for i := range b.Routes {
			if b.Routes[i].Name == change.Route {
				b.Routes[i].Accounts = applyList(b.Routes[i].Accounts, change.Accounts, identity)
			}
		}
	}
	data, err := EncodeCanonical(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if sha256Hex(data) != d.Hash {
		return nil, errors.NotValidf("difference from %d to %d on another base: its result", d.Base, d.Version)
	}
	return data, nil
}

// Encode encodes the signed difference as JSON.
func (s SignedDifference) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Annotate(err, "encoding a signed difference")
}

// DecodeDifference strictly decodes a signed difference. It does not verify the
// signatures.
func DecodeDifference(data []byte) (SignedDifference, []Problem) {
	var s SignedDifference
	if len(data) > MaxSignedBytes {
		return s, []Problem{newProblem("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSignedBytes))}
	}
	return s, strictjson.Decode(data, &s)
}

func headerOf(b Bundle) Header {
	return Header{Comment: b.Comment, KeySalt: b.KeySalt, Rollout: b.Rollout}
}

func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// equalExcept reports whether two values are equal apart from the fields that
// clearField resets.
func equalExcept[T any](x, y T, clearField func(*T)) bool {
	clearField(&x)
	clearField(&y)
	return reflect.DeepEqual(x, y)
}

func indexByName[T any](items []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(items))
	for _, item := range items {
		index[name(item)] = item
	}
	return index
}

func diffLists[T any](older, newer []T, name func(T) string) ListDiff[T] {
	var change ListDiff[T]
	unmatched := indexByName(older, name)
	for _, item := range newer {
		if previous, exists := unmatched[name(item)]; !exists || !reflect.DeepEqual(previous, item) {
			change.Set = append(change.Set, item)
		}
		delete(unmatched, name(item))
	}
	for _, item := range older {
		if _, removed := unmatched[name(item)]; removed {
			change.Remove = append(change.Remove, name(item))
		}
	}
	return change
}

func applyList[T any](items []T, change ListDiff[T], name func(T) string) []T {
	replaced := indexByName(change.Set, name)
	removed := indexByName(change.Remove, identity)
	kept := make([]T, 0, len(items)+len(change.Set))
	for _, item := range items {
		_, isReplaced := replaced[name(item)]
		_, isRemoved := removed[name(item)]
		if !isReplaced && !isRemoved {
			kept = append(kept, item)
		}
	}
	return append(kept, change.Set...)
}
