package bundle

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// HashKey returns the HMAC-SHA-256 of an API key with a bundle's salt. Salt and
// result are hexadecimal.
func HashKey(saltHex, key string) (string, error) {
	salt, err := hex.DecodeString(saltHex)
	if err != nil {
		return "", errors.Annotate(err, "key salt")
	}
	sum := hashKey(salt, key)
	return hex.EncodeToString(sum[:]), nil
}

func hashKey(salt []byte, key string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	var sum [sha256.Size]byte
	mac.Sum(sum[:0])
	return sum
}

// KeyOwner identifies an API key and the client account that it belongs to.
type KeyOwner struct {
	Account string
	KeyID   string
}

type keyEntry struct {
	hash  [sha256.Size]byte
	owner KeyOwner
}

// Index provides fast lookups in a bundle for the request path. It is immutable and
// safe for concurrent use.
type Index struct {
	salt            []byte
	keys            map[[sha256.Size]byte]keyEntry
	activeKeys      map[KeyOwner]bool
	accounts        map[string]*ClientAccount
	models          map[string]*Model
	routesByModel   map[string]*Route
	routesByPath    map[string]*Route
	routesByName    map[string]*Route
	allowedAccounts map[*Route]map[string]bool
}

// NewIndex returns the index of a validated bundle.
func NewIndex(b Bundle) (*Index, error) {
	b = normalize(b)
	salt, err := hex.DecodeString(b.KeySalt)
	if err != nil {
		return nil, errors.Annotate(err, "key salt")
	}
	x := &Index{
		salt: salt, keys: map[[sha256.Size]byte]keyEntry{}, activeKeys: map[KeyOwner]bool{},
		accounts: map[string]*ClientAccount{}, models: map[string]*Model{}, routesByModel: map[string]*Route{},
		routesByPath: map[string]*Route{}, routesByName: map[string]*Route{}, allowedAccounts: map[*Route]map[string]bool{},
	}
	for i := range b.Accounts {
		if err := x.addAccount(&b.Accounts[i]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range b.Models {
		x.models[b.Models[i].Name] = &b.Models[i]
	}
	for i := range b.Routes {
		x.addRoute(&b.Routes[i])
	}
	return x, nil
}

func (x *Index) addAccount(account *ClientAccount) error {
	x.accounts[account.Name] = account
	for _, key := range account.Keys {
		raw, err := hex.DecodeString(key.Hash)
		if err != nil || len(raw) != sha256.Size {
			return errors.NotValidf("hash of key %q", key.ID)
		}
		owner := KeyOwner{Account: account.Name, KeyID: key.ID}
		hash := [sha256.Size]byte(raw)
		x.keys[hash] = keyEntry{hash: hash, owner: owner}
		x.activeKeys[owner] = true
	}
	return nil
}

func (x *Index) addRoute(route *Route) {
	x.routesByName[route.Name] = route
	if route.Kind == RouteKindModel {
		x.routesByModel[route.Model] = route
	} else {
		x.routesByPath[route.Path] = route
	}
	if len(route.Accounts) == 0 {
		return
	}
	names := make(map[string]bool, len(route.Accounts))
	for _, name := range route.Accounts {
		names[name] = true
	}
	x.allowedAccounts[route] = names
}

// LookupKey returns the owner of an API key. The key is hashed with the secret salt
// before the lookup, so that the lookup time reveals nothing about the stored hashes.
func (x *Index) LookupKey(presented string) (KeyOwner, bool) {
	sum := hashKey(x.salt, presented)
	entry, found := x.keys[sum]
	if subtle.ConstantTimeCompare(entry.hash[:], sum[:]) != 1 || !found {
		return KeyOwner{}, false
	}
	return entry.owner, true
}

// KeyActive reports whether the key of a previously admitted request is still
// active.
func (x *Index) KeyActive(owner KeyOwner) bool { return x.activeKeys[owner] }

// Account returns an account by name, or nil. Callers must not modify it.
func (x *Index) Account(name string) *ClientAccount { return x.accounts[name] }

// Model returns a model by name, or nil. Callers must not modify it.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Route returns a route by name, or nil. Callers must not modify it.
func (x *Index) Route(name string) *Route { return x.routesByName[name] }

// RouteByModel returns the route that serves a model, or nil.
func (x *Index) RouteByModel(model string) *Route { return x.routesByModel[model] }

// RouteByPath returns the service route whose path is the longest prefix of a
// request path, or nil. Prefixes match whole path segments only.
func (x *Index) RouteByPath(path string) *Route {
	for path != "" {
		if route := x.routesByPath[path]; route != nil {
			return route
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil
}

// Allowed reports whether an account may use a route of this index.
func (x *Index) Allowed(route *Route, account string) bool {
	names, restricted := x.allowedAccounts[route]
	return route.Open || !restricted && x.accounts[account] != nil || names[account]
}

// AllowedRoutes returns the sorted names of the routes that an account may use.
func (x *Index) AllowedRoutes(account string) []string {
	var names []string
	for name, route := range x.routesByName {
		if x.Allowed(route, account) {
			names = append(names, name)
		}
	}
	return sortedBy(names, identity)
}

// PickVersion selects a weights version of a model by weighted rendezvous hashing
// of the prefix hash. Uniformly distributed hashes give each version its share of
// the traffic. A prefix keeps its version while the shares are unchanged; if a
// version's share grows, prefixes only move to it. PickVersion returns nil if the
// model is unknown or none of its versions has a share above 0.
func (x *Index) PickVersion(model string, prefixHash uint64) *ModelVersion {
	m := x.models[model]
	if m == nil {
		return nil
	}
	var chosen *ModelVersion
	lowest := math.Inf(1)
	for i := range m.Versions {
		version := &m.Versions[i]
		if version.Share <= 0 {
			continue
		}
		if cost := versionCost(prefixHash, version); chosen == nil || cost < lowest {
			chosen, lowest = version, cost
		}
	}
	return chosen
}

// versionCost returns an exponentially distributed cost with the version's share as
// its rate, so that the probability of a version having the lowest cost is
// proportional to its share.
func versionCost(prefixHash uint64, version *ModelVersion) float64 {
	digest := xxhash.NewWithSeed(prefixHash)
	_, _ = digest.WriteString(version.WeightsVersion)
	const mantissaBits = 53
	uniform := (float64(digest.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform) / version.Share
}
