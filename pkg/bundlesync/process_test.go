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

// operatorKey signs all bundles of these tests.
var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newStore(tb interface{ Fatal(...any) }) *bundle.Store {
	public, _ := operatorKey.Public().(ed25519.PublicKey)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "op", PublicKey: public}}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return bundle.NewStore(trust, eventlog.Discard())
}

func signVersion(tb interface{ Fatal(...any) }, version uint64, comment string) bundle.Signed {
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

// limitedStore fails every call after a number of writes, as an operator's
// command that ends in the middle does.
type limitedStore struct {
	kv.Store
	writes int
}

func (s *limitedStore) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if s.writes == 0 {
		return 0, kv.ErrBudgetExhausted
	}
	s.writes--
	return s.Store.CompareAndSwap(ctx, put)
}

func startService(tb interface {
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

func TestRacingOperators(t *testing.T) {
	ctx := context.Background()
	Convey("Of two operators with the same base, one wins and the other is told", t, func() {
		store := startService(t)
		before, err := ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(Publish(ctx, store, before, signVersion(t, 1, "first")), ShouldBeNil)
		before, err = ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(Publish(ctx, store, before, signVersion(t, 2, "winner")), ShouldBeNil)
		err = Publish(ctx, store, before, signVersion(t, 2, "loser"))
		So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
		after, err := ReadPublished(ctx, store)
		So(err, ShouldBeNil)
		So(string(after.Signed.Bundle), ShouldContainSubstring, "winner")
	})
}

// publishMachine publishes from several operators that may stop between any
// two writes, and lets processes read at any time. The oracle: what a process
// has read never goes down, and a process that starts now reads the newest
// accepted version.
type publishMachine struct {
	store    *platform.Client
	ctx      context.Context
	accepted uint64
	bases    []Published
	process  *bundle.Store
	runner   *Syncer
}

func (m *publishMachine) read(t *rapid.T) {
	base, err := ReadPublished(m.ctx, m.store)
	if err != nil {
		t.Fatal(err)
	}
	m.bases = append(m.bases, base)
}

func (m *publishMachine) publish(t *rapid.T) {
	if len(m.bases) == 0 {
		t.Skip("no operator has read yet")
	}
	at := rapid.IntRange(0, len(m.bases)-1).Draw(t, "operator")
	base := m.bases[at]
	m.bases = append(m.bases[:at], m.bases[at+1:]...)
	version, err := base.Version()
	if err != nil {
		t.Fatal(err)
	}
	limited := &limitedStore{Store: m.store, writes: rapid.IntRange(0, 4).Draw(t, "writes")}
	err = Publish(m.ctx, limited, base, signVersion(t, version+1, fmt.Sprint("operator ", at)))
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
	if newest < m.accepted {
		t.Fatalf("newest went from %d down to %d", m.accepted, newest)
	}
	m.accepted = newest
}

// look makes the process that stays up and one that starts now take the keys in.
func (m *publishMachine) look(t *rapid.T) {
	before := m.process.Version()
	fresh := New(Config{Bundles: newStore(t), KVStore: m.store, Log: eventlog.Discard()})
	for _, runner := range []*Syncer{m.runner, fresh} {
		entries, revision, err := m.store.List(m.ctx, HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		runner.take(m.ctx, platform.Update{Full: true, Entries: entries, Revision: revision})
	}
	if m.process.Version() < before {
		t.Fatalf("process went from %d to %d", before, m.process.Version())
	}
	if got := fresh.Bundles.Version(); got != m.accepted {
		t.Fatalf("a new process reads version %d, accepted is %d", got, m.accepted)
	}
	if got := m.process.Version(); got != m.accepted {
		t.Fatalf("a process reads version %d, accepted is %d", got, m.accepted)
	}
}

func TestPublishUnderCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := kvfake.New(1)
		address, err := server.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		settings := platform.DefaultConfig(address)
		settings.CallsPerSecond, settings.CallBurst = 100_000, 100_000
		m := &publishMachine{store: platform.NewClient(settings), ctx: context.Background(), process: newStore(t)}
		defer m.store.Close()
		m.runner = New(Config{Bundles: m.process, KVStore: m.store, Log: eventlog.Discard()})
		t.Repeat(map[string]func(*rapid.T){"read": m.read, "publish": m.publish, "look": m.look})
	})
}
