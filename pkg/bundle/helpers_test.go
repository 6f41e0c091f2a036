package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

var testSalt = fmt.Sprintf("%064x", 7)

func testKey(id string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte(id[:1]), ed25519.SeedSize))
}

func testTrust(minApprovals int) *TrustPolicy {
	var keys []TrustedKey
	for _, id := range []string{"ana", "bea", "cruz"} {
		keys = append(keys, TrustedKey{ID: id, PublicKey: testKey(id).Public().(ed25519.PublicKey)})
	}
	trust, err := NewTrustPolicy(keys, minApprovals)
	if err != nil {
		panic(err)
	}
	return trust
}

func testHash(key string) string {
	hash, err := HashKey(testSalt, key)
	if err != nil {
		panic(err)
	}
	return hash
}

func testAccount(i int) ClientAccount {
	name := fmt.Sprintf("account-%04d", i)
	return ClientAccount{Name: name, RateTokensPerSecond: 1000, BurstTokens: 60_000, Weight: 1, Keys: []Key{
		{ID: name + "-k1", Hash: testHash(name + "-1")},
		{ID: name + "-k2", Hash: testHash(name + "-2")},
	}}
}

func testBundle(version uint64, accounts int) Bundle {
	b := Bundle{
		Version: version, KeySalt: testSalt,
		Models: []Model{{Name: "drafts", BlockTokens: 2000, BytesPerToken: 3, MaxOutputTokens: 4000, Versions: []ModelVersion{
			{WeightsVersion: "w1", Share: 0.9, Adapters: []string{"es", "fr"}}, {WeightsVersion: "w2", Share: 0.1}}}},
		Routes: []Route{
			{Name: "drafts", Kind: RouteKindModel, Mode: RouteModeIdempotent, Model: "drafts", Pool: "engines", Timeout: Duration(time.Minute)},
			{Name: "bids", Kind: RouteKindService, Mode: RouteModeOnce, Path: "/bids", Pool: "bidding",
				Timeout: Duration(time.Second), IdempotencyWindow: Duration(time.Hour), Accounts: []string{}},
			{Name: "bid-list", Kind: RouteKindService, Mode: RouteModeIdempotent, Path: "/bids/list", Pool: "bidding", Open: true,
				Timeout: Duration(time.Second)},
		},
		Rollout: Rollout{MaxConcurrentLoads: 3, CanaryShare: 0.05, CanaryTime: Duration(time.Minute), MaxErrorRatio: 1.5,
			MaxFirstTokenRatio: 1.5, MinReadyShare: 0.7},
	}
	for i := range accounts {
		b.Accounts = append(b.Accounts, testAccount(i))
	}
	return b
}

func testSigned(b Bundle) Signed {
	signed, err := Sign(b, "ana", testKey("ana"))
	if err != nil {
		panic(err)
	}
	signed, err = signed.Approve("bea", testKey("bea"))
	if err != nil {
		panic(err)
	}
	return signed
}

// edit returns a valid newer bundle with some random changes.
func edit(t *rapid.T, b Bundle) Bundle {
	b = normalize(b)
	b.Version += rapid.Uint64Range(1, 3).Draw(t, "step")
	for range rapid.IntRange(0, 4).Draw(t, "edits") {
		i := rapid.IntRange(0, 30).Draw(t, "account")
		at := slices.IndexFunc(b.Accounts, func(a ClientAccount) bool { return a.Name == testAccount(i).Name })
		switch rapid.IntRange(0, 7).Draw(t, "edit") {
		case 0:
			b.Comment = rapid.StringN(0, 20, 40).Draw(t, "comment")
		case 1:
			if at < 0 {
				b.Accounts = append(b.Accounts, testAccount(i))
			}
		case 2:
			if at >= 0 && len(b.Routes[2].Accounts) == 0 {
				b.Accounts = slices.Delete(b.Accounts, at, at+1)
			}
		case 3:
			if at >= 0 && len(b.Accounts[at].Keys) > 0 {
				b.Accounts[at].Keys = b.Accounts[at].Keys[1:]
			}
		case 4:
			if at >= 0 {
				b.Accounts[at].BurstTokens = rapid.Int64Range(1, 1e6).Draw(t, "burst")
			}
		case 5:
			if at >= 0 && !slices.Contains(b.Routes[2].Accounts, b.Accounts[at].Name) {
				b.Routes[2].Accounts = append(b.Routes[2].Accounts, b.Accounts[at].Name)
				b.Routes[1].Accounts = b.Routes[2].Accounts
			}
		case 6:
			b.Models[0].Versions[1].Share = rapid.Float64Range(0, 1).Draw(t, "share")
		case 7:
			b.Routes[1].Accounts, b.Routes[2].Accounts = nil, nil
			b.Routes[0].Timeout = Duration(rapid.Int64Range(1, 1e9).Draw(t, "timeout"))
		}
		b = normalize(b)
	}
	return b
}
