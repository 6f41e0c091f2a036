package bundlesync

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// operatorKey signs the bundles in these tests.
var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newBundleStore(tb interface{ Fatal(...any) }) *bundle.Store {
	public, _ := operatorKey.Public().(ed25519.PublicKey)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "op", PublicKey: public}}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return bundle.NewStore(trust, eventlog.Discard())
}

func signedBundle(tb interface{ Fatal(...any) }, version uint64, comment string) bundle.Signed {
	signed, err := bundle.Sign(bundle.Bundle{
		Version: version, Comment: comment, KeySalt: strings.Repeat("ab", 32),
		Rollout: bundle.Rollout{MaxConcurrentLoads: 1, CanaryShare: 0.1, CanaryTime: bundle.Duration(1e9),
			MaxErrorRatio: 1.5, MaxFirstTokenRatio: 1.5, MinReadyShare: 0.5},
	}, "op", operatorKey)
	if err != nil {
		tb.Fatal(err)
	}
	return signed
}

// writeLimitedStore fails all writes after the first remainingWrites, as if an
// operator's command had been interrupted while publishing.
type writeLimitedStore struct {
	kv.Store
	remainingWrites int
}

func (s *writeLimitedStore) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if s.remainingWrites == 0 {
		return 0, kv.ErrBudgetExhausted
	}
	s.remainingWrites--
	return s.Store.CompareAndSwap(ctx, put)
}

func startKVStore(tb interface {
	Fatal(...any)
	Cleanup(func())
}) *platform.Client {
	server := kvfake.New(1)
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Close)
	settings := platform.DefaultConfig(address)
	settings.CallsPerSecond, settings.CallBurst = 10_000, 10_000
	return platform.NewClient(settings)
}

func TestConcurrentOperators(t *testing.T) {
	ctx := context.Background()
	Convey("Of two operators with the same base, one publishes and the other gets ErrSuperseded", t, func() {
		store := startKVStore(t)
		base, err := ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(Publish(ctx, store, base, signedBundle(t, 1, "first")), ShouldBeNil)
		base, err = ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(Publish(ctx, store, base, signedBundle(t, 2, "winner")), ShouldBeNil)
		err = Publish(ctx, store, base, signedBundle(t, 2, "loser"))
		So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
		after, err := ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(string(after.Signed.Bundle), ShouldContainSubstring, "winner")
	})
}

// publishStateMachine publishes from several operators that may crash between any
// two writes, while processes read at any time. It checks that the version of a
// process never decreases, and that a newly started process reads the newest
// published version.
type publishStateMachine struct {
	store         *platform.Client
	ctx           context.Context
	newestVersion uint64
	pendingBases  []Published
	process       *bundle.Store
	syncer        *Syncer
}

func (m *publishStateMachine) read(t *rapid.T) {
	base, err := ReadPublished(m.ctx, m.store)
	if err != nil {
		t.Fatal(err)
	}
	m.pendingBases = append(m.pendingBases, base)
}

func (m *publishStateMachine) publish(t *rapid.T) {
	if len(m.pendingBases) == 0 {
		t.Skip("no operator has read yet")
	}
	index := rapid.IntRange(0, len(m.pendingBases)-1).Draw(t, "operator")
	base := m.pendingBases[index]
	m.pendingBases = append(m.pendingBases[:index], m.pendingBases[index+1:]...)
	version, err := base.Version()
	if err != nil {
		t.Fatal(err)
	}
	limited := &writeLimitedStore{Store: m.store, remainingWrites: rapid.IntRange(0, 4).Draw(t, "writes")}
	err = Publish(m.ctx, limited, base, signedBundle(t, version+1, fmt.Sprint("operator ", index)))
	after, readErr := ReadPublished(m.ctx, m.store)
	if readErr != nil {
		t.Fatal(readErr)
	}
	newest, readErr := after.Version()
	if readErr != nil {
		t.Fatal(readErr)
	}
	if err == nil && newest != version+1 {
		t.Fatalf("published version %d, newest is %d", version+1, newest)
	}
	if newest < m.newestVersion {
		t.Fatalf("newest version decreased from %d to %d", m.newestVersion, newest)
	}
	m.newestVersion = newest
}

// applyAndCheck applies the current value of HeadKey to the long-running process and
// to a newly started one, and checks the versions of both.
func (m *publishStateMachine) applyAndCheck(t *rapid.T) {
	before := m.process.Version()
	fresh := New(Config{Bundles: newBundleStore(t), KVStore: m.store, Log: eventlog.Discard()})
	for _, syncer := range []*Syncer{m.syncer, fresh} {
		entries, revision, err := m.store.List(m.ctx, HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		syncer.applyUpdate(m.ctx, platform.Update{Snapshot: true, Entries: entries, Revision: revision})
	}
	if m.process.Version() < before {
		t.Fatalf("process version decreased from %d to %d", before, m.process.Version())
	}
	if got := fresh.Bundles.Version(); got != m.newestVersion {
		t.Fatalf("a new process has version %d, the newest published version is %d", got, m.newestVersion)
	}
	if got := m.process.Version(); got != m.newestVersion {
		t.Fatalf("the running process has version %d, the newest published version is %d", got, m.newestVersion)
	}
}

func TestPublishWithOperatorCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := kvfake.New(1)
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		settings := platform.DefaultConfig(address)
		settings.CallsPerSecond, settings.CallBurst = 100_000, 100_000
		m := &publishStateMachine{store: platform.NewClient(settings), ctx: context.Background(), process: newBundleStore(t)}
		defer m.store.Close()
		m.syncer = New(Config{Bundles: m.process, KVStore: m.store, Log: eventlog.Discard()})
		t.Repeat(map[string]func(*rapid.T){"read": m.read, "publish": m.publish, "apply": m.applyAndCheck})
	})
}
