package bundlesync

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// failing is a store whose calls fail from some number on, as for an operator
// whose machine stops; the last write may have taken effect.
type failing struct {
	kv.Store
	left    int
	applied bool
	// before, when set, runs before the call that leaves that many.
	before   func()
	beforeAt int
}

func (f *failing) gone() bool {
	f.left--
	if f.before != nil && f.left == f.beforeAt {
		f.before()
	}
	return f.left < 0
}

func (f *failing) Get(ctx context.Context, key string) (kv.Entry, error) {
	if f.gone() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *failing) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if f.gone() {
		if f.left == -1 && f.applied {
			_, _ = f.Store.CompareAndSwap(ctx, put)
		}
		return 0, kv.ErrUnavailable
	}
	return f.Store.CompareAndSwap(ctx, put)
}

var testPrivate = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

var changes atomic.Uint64

func signedVersion(t rapid.TB, version uint64) bundle.Signed {
	signed, err := bundle.Sign(bundle.Bundle{
		Version: version, Comment: fmt.Sprintf("change %d", changes.Add(1)),
		KeySalt: fmt.Sprintf("%064x", 7),
		Rollout: bundle.Rollout{MaxConcurrentLoads: 1},
	}, "ana", testPrivate)
	if err != nil {
		t.Fatal(err)
	}
	return signed
}

// TestOperatorsFail publishes with operators that stop at any call or read
// long before they write. What was accepted stays, in order and with history.
func TestOperatorsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := kvfake.New(1)
		defer server.Close()
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		settings := platform.DefaultConfig(address)
		settings.CallsPerSecond, settings.CallBurst = 1e6, 1e6
		store := platform.NewClient(settings)
		defer store.Close()
		ctx := context.Background()
		var accepted []bundle.Signed
		stale, err := ReadPublished(ctx, store)
		if err != nil {
			t.Fatal(err)
		}
		rolls := rapid.IntRange(1, 8).Draw(t, "rolls")
		if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
			rolls += HistoryLength
		}
		for range rolls {
			before, err := ReadPublished(ctx, store)
			if err != nil {
				t.Fatal(err)
			}
			based := before
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				based = stale
			}
			stale = before
			signed := signedVersion(t, uint64(len(accepted)+1))
			take := func() bool {
				after, err := ReadPublished(ctx, store)
				if err != nil {
					t.Fatal(err)
				}
				known := len(accepted) > 0 && bytes.Equal(after.Signed.Bundle, accepted[len(accepted)-1].Bundle)
				if isIn := after.Signed != nil && bytes.Equal(after.Signed.Bundle, signed.Bundle); isIn && !known {
					accepted = append(accepted, signed)
				}
				return slices.ContainsFunc(accepted, func(a bundle.Signed) bool { return bytes.Equal(a.Bundle, signed.Bundle) })
			}
			operator := &failing{
				Store: store, left: rapid.IntRange(0, 14).Draw(t, "calls"), applied: rapid.Bool().Draw(t, "applied"),
				beforeAt: rapid.IntRange(0, 14).Draw(t, "other"),
			}
			operator.before = func() {
				take()
				other := signedVersion(t, uint64(len(accepted)+1))
				published, err := ReadPublished(ctx, store)
				if err == nil {
					err = Publish(ctx, store, published, other)
				}
				if err != nil {
					t.Fatal(err)
				}
				accepted = append(accepted, other)
			}
			err = Publish(ctx, operator, based, signed)
			isIn := take()
			if said := err == nil || errors.Is(err, ErrUnfinished); said && !isIn {
				t.Fatalf("%v, yet it is not published", err)
			}
			if errors.Is(err, ErrSuperseded) && isIn {
				t.Fatalf("%v, yet it is published", err)
			}
		}
		checkHistory(t, store, accepted)
	})
}

// maxCallsPerRoll bounds a roll's calls of the service, which takes some hundred
// writes a second from all processes together.
const maxCallsPerRoll = 10

func TestRollCalls(t *testing.T) {
	server := kvfake.New(1)
	defer server.Close()
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewClient(platform.DefaultConfig(address))
	defer store.Close()
	for version := range uint64(3) {
		earlier := server.Counters()
		before, err := ReadPublished(context.Background(), store)
		if err == nil {
			err = Publish(context.Background(), store, before, signedVersion(t, version+1))
		}
		if err != nil {
			t.Fatal(err)
		}
		now := server.Counters()
		reads, writes := now.Reads-earlier.Reads, now.Writes-earlier.Writes
		if reads+writes > maxCallsPerRoll {
			t.Fatalf("%d reads and %d writes for one roll", reads, writes)
		}
		t.Logf("version %d: %d reads, %d writes", version+1, reads, writes)
	}
}

func checkHistory(t *rapid.T, store *platform.Client, accepted []bundle.Signed) {
	published, err := ReadPublished(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	versions, err := History(context.Background(), store, published)
	if err != nil {
		t.Fatal(err)
	}
	if want := min(len(accepted), HistoryLength); len(versions) < want {
		t.Fatalf("%d versions in the history, want %d", len(versions), want)
	}
	for i, version := range versions {
		if !bytes.Equal(version.Signed.Bundle, accepted[len(accepted)-1-i].Bundle) {
			t.Fatalf("another content of version %d", version.Bundle.Version)
		}
		if !bytes.Equal(version.Signed.Signature, accepted[len(accepted)-1-i].Signature) {
			t.Fatalf("another signature of version %d", version.Bundle.Version)
		}
	}
	entries, _, err := store.List(context.Background(), HistoryPrefix)
	if err != nil || len(entries) > HistoryLength {
		t.Fatalf("%d history keys: %v", len(entries), err)
	}
}
