package entry

import (
	"io"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// newCanaryFixture returns the canaryKeeper of a process that doesn't run, which has targets of the
// given versions.
func newCanaryFixture(t *testing.T, versions ...string) *canaryKeeper {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(address).Port()
	settings := Settings{VM: "front-1", IP: "127.0.0.1", PeerPort: int(port), VersionRollouts: true, ExposureShare: 0.1, RollbackTime: 5 * time.Second}
	e, err := New(settings, Platform{Eras: &kv.EraTracker{}}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	Reset(func() { So(e.gossip.Close(), ShouldBeNil) })
	e.directory.SetRegistryUnavailable(0, false)
	for _, version := range versions {
		e.directory.Put(e.uptime(), fleet.Target{ID: version, Service: "s", SoftwareVersion: version})
	}
	return e.canary
}

func (k *canaryKeeper) order(target string, revision uint64) *serviceRollout {
	order := canary.Order{Service: "s", Target: target, Duration: time.Minute, Revision: revision}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.putOrder(k.entry.uptime(), 0, order, sourceStore)
}

// TestOrdersInSeries guards against an order that brings a faulty version back, and against one
// for the version in use, which left no version to send requests to.
func TestOrdersInSeries(t *testing.T) {
	Convey("A version that was reverted gets no requests under the next order", t, func() {
		k := newCanaryFixture(t, "v1", "v2", "v3")
		k.order("v2", 1).Raise(canary.Reverted, canary.ReasonFailures)
		k.order("v3", 2)
		So(k.Next("s", false).Withdrawn, ShouldResemble, map[string]bool{"v2": true})
		Convey("unless it is ordered again", func() {
			k.order("v2", 3)
			So(k.Next("s", false).Withdrawn, ShouldResemble, map[string]bool{"v3": true})
		})
	})
	Convey("A version whose rollout was completed is an old one for the next order", t, func() {
		k := newCanaryFixture(t, "v2", "v3")
		k.order("v2", 1).Raise(canary.Complete, "")
		k.order("v3", 2)
		So(k.Next("s", false).Withdrawn, ShouldBeEmpty)
		So(k.Next("s", false).Use, ShouldEqual, canary.OldVersions)
	})
	Convey("An order for the only version keeps its requests, and the leader completes it", t, func() {
		k := newCanaryFixture(t, "v1")
		r := k.order("v1", 1)
		r.Raise(canary.Running, "")
		So(k.Next("s", false).Use, ShouldEqual, canary.NewVersionIfAvailable)
		k.mu.Lock()
		defer k.mu.Unlock()
		So(k.isOnlyVersion(k.entry.uptime(), r), ShouldBeFalse)
		So(k.isOnlyVersion(k.entry.uptime()+fleet.RegistryRecoveryGrace, r), ShouldBeTrue)
	})
	Convey("An order back to the old version gives it all requests at once", t, func() {
		k := newCanaryFixture(t, "v1", "v2")
		k.order("v2", 1).Raise(canary.Running, "")
		k.order("v1", 2)
		decision := k.Next("s", false)
		So(decision.Use, ShouldEqual, canary.NewVersionIfAvailable)
		So(decision.Withdrawn, ShouldResemble, map[string]bool{"v2": true})
	})
}
