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

// HashKey returns the HMAC-SHA-256 of an API key under a bundle's salt, both
// salt and result in hexadecimal.
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

// KeyOwner is what a presented key stands for.
type KeyOwner struct {
	Account string
	KeyID   string
}

type keyEntry struct {
	hash  [sha256.Size]byte
	owner KeyOwner
}

// Index answers a router's questions about one bundle. It never changes after
// NewIndex and is safe for concurrent use.
type Index struct {
	salt     []byte
	keys     map[[sha256.Size]byte]keyEntry
	active   map[KeyOwner]bool
	accounts map[string]*ClientAccount
	models   map[string]*Model
	byModel  map[string]*Route
	byPath   map[string]*Route
	byName   map[string]*Route
	allowed  map[*Route]map[string]bool
}

// NewIndex builds the index of a validated bundle.
func NewIndex(b Bundle) (*Index, error) {
	b = normalize(b)
	salt, err := hex.DecodeString(b.KeySalt)
	if err != nil {
		return nil, errors.Annotate(err, "key salt")
	}
	x := &Index{
		salt: salt, keys: map[[sha256.Size]byte]keyEntry{}, active: map[KeyOwner]bool{},
		accounts: map[string]*ClientAccount{}, models: map[string]*Model{}, byModel: map[string]*Route{},
		byPath: map[string]*Route{}, byName: map[string]*Route{}, allowed: map[*Route]map[string]bool{},
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
		x.active[owner] = true
	}
	return nil
}

func (x *Index) addRoute(route *Route) {
	x.byName[route.Name] = route
	if route.Kind == RouteKindModel {
		x.byModel[route.Model] = route
	} else {
		x.byPath[route.Path] = route
	}
	if len(route.Accounts) == 0 {
		return
	}
	names := make(map[string]bool, len(route.Accounts))
	for _, name := range route.Accounts {
		names[name] = true
	}
	x.allowed[route] = names
}

// LookupKey returns the owner of a presented key. The key is hashed under the secret
// salt first, so the time of the lookup says nothing about stored hashes.
func (x *Index) LookupKey(presented string) (KeyOwner, bool) {
	sum := hashKey(x.salt, presented)
	entry, found := x.keys[sum]
	if subtle.ConstantTimeCompare(entry.hash[:], sum[:]) != 1 || !found {
		return KeyOwner{}, false
	}
	return entry.owner, true
}

// KeyActive says whether an admitted request's key is still granted.
func (x *Index) KeyActive(owner KeyOwner) bool { return x.active[owner] }

// Account returns an account by name; nil for none. It must not be changed.
func (x *Index) Account(name string) *ClientAccount { return x.accounts[name] }

// Model returns a model by name; nil for none. It must not be changed.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Route returns a route by its name; nil for none. It must not be changed.
func (x *Index) Route(name string) *Route { return x.byName[name] }

// RouteByModel returns the route of a model; nil for none.
func (x *Index) RouteByModel(model string) *Route { return x.byModel[model] }

// RouteByPath returns the service route with the longest prefix of whole
// segments of a request path; nil for none.
func (x *Index) RouteByPath(path string) *Route {
	for path != "" {
		if route := x.byPath[path]; route != nil {
			return route
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil
}

// Allowed says whether an account may use a route of this index.
func (x *Index) Allowed(route *Route, account string) bool {
	names, restricted := x.allowed[route]
	return route.Open || !restricted && x.accounts[account] != nil || names[account]
}

// AllowedRoutes returns the names of the routes that an account may use.
func (x *Index) AllowedRoutes(account string) []string {
	var names []string
	for name, route := range x.byName {
		if x.Allowed(route, account) {
			names = append(names, name)
		}
	}
	return sortedBy(names, itself)
}

// PickVersion chooses a model's weights version by share, by weighted rendezvous
// hashing. The choice depends on the prefix hash alone, so that a prefix stays
// with its version while shares stay, and a share that grows takes only prefixes
// from the others; uniform hashes give each version its share. Nil for an unknown
// model, and when no version takes traffic.
func (x *Index) PickVersion(model string, prefixHash uint64) *ModelVersion {
	m := x.models[model]
	if m == nil {
		return nil
	}
	var chosen *ModelVersion
	least := math.Inf(1)
	for i := range m.Versions {
		version := &m.Versions[i]
		if version.Share <= 0 {
			continue
		}
		if cost := versionCost(prefixHash, version); chosen == nil || cost < least {
			chosen, least = version, cost
		}
	}
	return chosen
}

// versionCost is exponentially distributed with the version's share as its rate,
// so a version has the least cost with a probability in proportion to its share.
func versionCost(prefixHash uint64, version *ModelVersion) float64 {
	digest := xxhash.NewWithSeed(prefixHash)
	_, _ = digest.WriteString(version.WeightsVersion)
	const mantissaBits = 53
	unit := (float64(digest.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(unit) / version.Share
}
