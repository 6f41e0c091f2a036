package entry

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// scriptedStore is a store with one lease. It holds each grant until grantAllowed
// is closed, and records the writes.
type scriptedStore struct {
	kv.Store
	grantStarted chan struct{}
	grantAllowed chan struct{}

	mu      sync.Mutex
	revoked []kv.LeaseID
	writes  []kv.Put
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{grantStarted: make(chan struct{}, 1), grantAllowed: make(chan struct{})}
}

func (s *scriptedStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, kv.ErrNotFound
}

func (s *scriptedStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	s.grantStarted <- struct{}{}
	<-s.grantAllowed
	return "granted", nil
}

func (s *scriptedStore) Revoke(_ context.Context, lease kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = append(s.revoked, lease)
	return nil
}

func (s *scriptedStore) CompareAndSwap(_ context.Context, put kv.Put) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, put)
	return uint64(len(s.writes)), nil
}

func testSettings(t *testing.T) Settings {
	t.Helper()
	free := func() string {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		return address
	}
	settings := Settings{
		VM: "vm", IP: "127.0.0.1", CallerAddress: free(), ReadyAddress: free(), StoreAddress: "127.0.0.1:1", PeerPort: 1,
	}
	if err := settings.Check(); err != nil {
		t.Fatal(err)
	}
	settings.PeerPort = 0
	return settings
}

func newTestEntry(t *testing.T, store kv.Store) *Entry {
	t.Helper()
	e, err := New(testSettings(t), Platform{Store: store, Eras: &kv.EraTracker{}, Keys: Keys{RoutersPrefix: "routers/", LeaderKey: "leader"}}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	Reset(func() {
		_ = e.gossip.Close()
		e.ring.Close()
	})
	return e
}

// TestReleaseBesideRefresh guards against a lease that is granted while the
// process stops: nothing renews or revokes it, and a key that is written without
// a lease stays for good.
func TestReleaseBesideRefresh(t *testing.T) {
	Convey("Given a stop while a lease is being granted", t, func() {
		store := newScriptedStore()
		e := newTestEntry(t, store)
		e.members.applyUpdate(kv.Update{Full: true, Revision: 1})
		refreshed := make(chan error)
		go func() { refreshed <- e.lease.refresh(context.Background()) }()
		<-store.grantStarted
		e.lease.release()
		close(store.grantAllowed)
		So(<-refreshed, ShouldBeNil)
		Convey("the lease is revoked and no key is written", func() {
			So(store.revoked, ShouldResemble, []kv.LeaseID{"granted"})
			So(store.writes, ShouldBeEmpty)
		})
	})
}

// TestLeadershipEndsWithItsLease guards against a leader whose key is bound to an
// earlier lease, which may end at any time.
func TestLeadershipEndsWithItsLease(t *testing.T) {
	Convey("Given the leader's record of this process under an earlier lease", t, func() {
		store := newScriptedStore()
		close(store.grantAllowed)
		e := newTestEntry(t, store)
		record := `{"vm":"vm","boot":"` + e.bootID + `","lease":"earlier"}`
		e.members.applyUpdate(kv.Update{Full: true, Revision: 7, Entries: []kv.Entry{{Key: "leader", Value: []byte(record), Revision: 7}}})
		So(e.lease.refresh(context.Background()), ShouldBeNil)
		Convey("the record is written again under the present lease", func() {
			leaderWrite := store.writes[len(store.writes)-1]
			So(leaderWrite.Key, ShouldEqual, "leader")
			So(leaderWrite.ExpectRevision, ShouldEqual, 7)
			So(leaderWrite.Lease, ShouldEqual, kv.LeaseID("granted"))
			_, leads := e.lease.leaderFencingToken()
			So(leads, ShouldBeTrue)
		})
		Convey("a restore of the store ends the leadership, and the next one begins once an earlier leader's lease has ended", func() {
			e.lease.handleRestore(2, 1)
			_, leads := e.lease.leaderFencingToken()
			So(leads, ShouldBeFalse)
			<-store.grantStarted
			So(e.lease.refresh(context.Background()), ShouldBeNil)
			_, leads = e.lease.leaderFencingToken()
			So(leads, ShouldBeFalse)
			So(e.lease.leadership.heldUntil, ShouldBeGreaterThan, bootClock())
			So(e.lease.leadership.heldUntil, ShouldBeLessThanOrEqualTo, bootClock()+e.settings.LeaseTTL)
		})
		Convey("a peer's claim with a newer fencing token ends the leadership", func() {
			token, _ := e.lease.leaderClaim()
			e.lease.handlePeerClaim(token+1, time.Second)
			_, leads := e.lease.leaderFencingToken()
			So(leads, ShouldBeFalse)
		})
		Convey("after a peer's claim with an older fencing token, no orders are sent for the time that it still holds", func() {
			token, _ := e.lease.leaderClaim()
			e.lease.handlePeerClaim(token-1, time.Second)
			_, leads := e.lease.leaderFencingToken()
			So(leads, ShouldBeFalse)
		})
	})
}

// TestFailedStartLeavesNoListener guards against a readiness check that succeeds
// while callers cannot connect.
func TestFailedStartLeavesNoListener(t *testing.T) {
	Convey("A process whose address for callers is in use doesn't serve readiness checks", t, func() {
		store := newScriptedStore()
		close(store.grantAllowed)
		e := newTestEntry(t, store)
		occupied, err := net.Listen("tcp4", e.settings.CallerAddress)
		So(err, ShouldBeNil)
		Reset(func() { _ = occupied.Close() })
		So(e.serve(context.Background()), ShouldNotBeNil)
		_, err = net.Dial("tcp4", e.settings.ReadyAddress)
		So(err, ShouldNotBeNil)
	})
}
