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

// failingStore fails all calls after the first remainingCalls, as if the operator's
// machine had crashed.
type failingStore struct {
	kv.Store
	remainingCalls int
	// applyLastWrite applies the first failed call if it is a write, although the
	// caller gets an error.
	applyLastWrite bool
	// hook, if set, runs at the start of the call that decrements remainingCalls to
	// hookAt.
	hook   func()
	hookAt int
}

// countCall counts a call and reports whether it must fail.
func (f *failingStore) countCall() bool {
	f.remainingCalls--
	if f.hook != nil && f.remainingCalls == f.hookAt {
		f.hook()
	}
	return f.remainingCalls < 0
}

func (f *failingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if f.countCall() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *failingStore) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if f.countCall() {
		if f.remainingCalls == -1 && f.applyLastWrite {
			_, _ = f.Store.CompareAndSwap(ctx, put)
		}
		return 0, kv.ErrUnavailable
	}
	return f.Store.CompareAndSwap(ctx, put)
}

var testPrivateKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

var commentCounter atomic.Uint64

// uniqueSignedBundle returns a signed bundle whose content differs from all others.
func uniqueSignedBundle(t rapid.TB, version uint64) bundle.Signed {
	signed, err := bundle.Sign(bundle.Bundle{
		Version: version, Comment: fmt.Sprintf("change %d", commentCounter.Add(1)),
		KeySalt: fmt.Sprintf("%064x", 7),
		Rollout: bundle.Rollout{MaxConcurrentLoads: 1},
	}, "ana", testPrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	return signed
}

// TestPublishWithFailingOperators publishes from operators that crash at any call,
// start from a stale base, or publish at the same time as another operator. No
// published version may be lost, and the history must contain the newest ones in
// order.
func TestPublishWithFailingOperators(t *testing.T) {
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
		var publishedBundles []bundle.Signed
		stale, err := ReadPublished(ctx, store)
		if err != nil {
			t.Fatal(err)
		}
		publishes := rapid.IntRange(1, 8).Draw(t, "publishes")
		if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
			publishes += HistoryLength
		}
		for range publishes {
			before, err := ReadPublished(ctx, store)
			if err != nil {
				t.Fatal(err)
			}
			base := before
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				base = stale
			}
			stale = before
			signed := uniqueSignedBundle(t, uint64(len(publishedBundles)+1))
			// recordPublished appends the bundle to publishedBundles if it is the newest
			// published one, and reports whether it has been published at any time.
			recordPublished := func() bool {
				after, err := ReadPublished(ctx, store)
				if err != nil {
					t.Fatal(err)
				}
				alreadyRecorded := len(publishedBundles) > 0 && bytes.Equal(after.Signed.Bundle, publishedBundles[len(publishedBundles)-1].Bundle)
				if published := after.Signed != nil && bytes.Equal(after.Signed.Bundle, signed.Bundle); published && !alreadyRecorded {
					publishedBundles = append(publishedBundles, signed)
				}
				return slices.ContainsFunc(publishedBundles, func(a bundle.Signed) bool { return bytes.Equal(a.Bundle, signed.Bundle) })
			}
			operatorStore := &failingStore{
				Store: store, remainingCalls: rapid.IntRange(0, 14).Draw(t, "calls"), applyLastWrite: rapid.Bool().Draw(t, "applied"),
				hookAt: rapid.IntRange(0, 14).Draw(t, "other"),
			}
			operatorStore.hook = func() {
				recordPublished()
				other := uniqueSignedBundle(t, uint64(len(publishedBundles)+1))
				published, err := ReadPublished(ctx, store)
				if err == nil {
					err = Publish(ctx, store, published, other)
				}
				if err != nil {
					t.Fatal(err)
				}
				publishedBundles = append(publishedBundles, other)
			}
			err = Publish(ctx, operatorStore, base, signed)
			published := recordPublished()
			if succeeded := err == nil || errors.Is(err, ErrUnfinished); succeeded && !published {
				t.Fatalf("Publish returned %v, but the bundle is not published", err)
			}
			if errors.Is(err, ErrSuperseded) && published {
				t.Fatalf("Publish returned %v, but the bundle is published", err)
			}
		}
		checkHistory(t, store, publishedBundles)
	})
}

// maxCallsPerPublish limits the number of calls that one ReadPublished and the
// following Publish make. The key-value service handles only a few hundred writes
// per second from all processes together.
const maxCallsPerPublish = 10

func TestCallsPerPublish(t *testing.T) {
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
			err = Publish(context.Background(), store, before, uniqueSignedBundle(t, version+1))
		}
		if err != nil {
			t.Fatal(err)
		}
		now := server.Counters()
		reads, writes := now.Reads-earlier.Reads, now.Writes-earlier.Writes
		if reads+writes > maxCallsPerPublish {
			t.Fatalf("publishing took %d reads and %d writes", reads, writes)
		}
		t.Logf("version %d: %d reads, %d writes", version+1, reads, writes)
	}
}

// checkHistory checks that the history holds the newest published bundles, in
// order and with their signatures.
func checkHistory(t *rapid.T, store *platform.Client, publishedBundles []bundle.Signed) {
	published, err := ReadPublished(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	versions, err := History(context.Background(), store, published)
	if err != nil {
		t.Fatal(err)
	}
	if want := min(len(publishedBundles), HistoryLength); len(versions) < want {
		t.Fatalf("%d versions in the history, want %d", len(versions), want)
	}
	for i, version := range versions {
		if !bytes.Equal(version.Signed.Bundle, publishedBundles[len(publishedBundles)-1-i].Bundle) {
			t.Fatalf("content of version %d differs", version.Bundle.Version)
		}
		if !bytes.Equal(version.Signed.Signature, publishedBundles[len(publishedBundles)-1-i].Signature) {
			t.Fatalf("signature of version %d differs", version.Bundle.Version)
		}
	}
	entries, _, err := store.List(context.Background(), HistoryPrefix)
	if err != nil || len(entries) > HistoryLength {
		t.Fatalf("%d history keys: %v", len(entries), err)
	}
}
