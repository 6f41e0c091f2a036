package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	config := NewConfig(1, ClientLimits{}, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil, nil)
	cases := []struct {
		host, path, route string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/xy/1", ""},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
	}
	Convey("Match selects the route with the longest prefix on the host", t, func() {
		for _, c := range cases {
			route, ok := config.Match(c.host, c.path)
			So(ok, ShouldEqual, c.route != "")
			So(route.Name, ShouldEqual, c.route)
		}
	})
}

func TestAuthenticate(t *testing.T) {
	Convey("Each key of an account authenticates it, and no other text does", t, func() {
		config := NewConfig(1, ClientLimits{}, nil, nil, []Account{{Name: "a"}, {Name: "b"}},
			map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "gone"})
		for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
			account, ok := config.Authenticate(key)
			So(ok, ShouldBeTrue)
			So(account.Name, ShouldEqual, name)
		}
		for _, key := range []string{"", "k", "k4"} {
			_, ok := config.Authenticate(key)
			So(ok, ShouldBeFalse)
		}
	})
}

func ids(targets []Target) []string {
	var list []string
	for _, target := range targets {
		list = append(list, target.ID)
	}
	return list
}

func TestDirectory(t *testing.T) {
	Convey("Given a directory with two targets", t, func() {
		d := NewDirectory()
		d.Replace(time.Second, []Target{{ID: "a"}, {ID: "b"}})
		Convey("a removed target is no longer listed", func() {
			d.Remove(2*time.Second, "a")
			So(ids(d.Targets(2*time.Second)), ShouldResemble, []string{"b"})
		})
		Convey("a target whose entry expired during an outage is kept for the grace period", func() {
			d.SetRegistryUnavailable(3*time.Second, true)
			d.SetRegistryUnavailable(8*time.Second, false)
			d.Replace(8100*time.Millisecond, []Target{{ID: "b"}})
			So(ids(d.Targets(10*time.Second)), ShouldResemble, []string{"a", "b"})
			So(ids(d.Targets(8*time.Second+RegistryRecoveryGrace)), ShouldResemble, []string{"b"})
		})
		Convey("a target that registers again within the grace period is kept", func() {
			d.SetRegistryUnavailable(3*time.Second, true)
			d.SetRegistryUnavailable(8*time.Second, false)
			d.Remove(8100*time.Millisecond, "a")
			d.Put(8200*time.Millisecond, Target{ID: "a"})
			So(ids(d.Targets(20*time.Second)), ShouldResemble, []string{"a", "b"})
		})
	})
}

func draining(targets []Target) []string {
	var list []string
	for _, target := range targets {
		if target.Draining {
			list = append(list, target.ID)
		}
	}
	return list
}

func TestLeavingTarget(t *testing.T) {
	Convey("Given a target that said that it is leaving", t, func() {
		d := NewDirectory()
		first := Target{ID: "a", StartUnixMS: 100}
		d.Replace(time.Second, []Target{first, {ID: "b"}})
		So(d.MarkLeaving(2*time.Second, first.Boot()), ShouldBeTrue)
		So(d.MarkLeaving(2*time.Second, first.Boot()), ShouldBeFalse)
		So(draining(d.Targets(2*time.Second)), ShouldResemble, []string{"a"})
		Convey("a later entry of the same run, which was written before, does not make it available", func() {
			d.Put(3*time.Second, first)
			So(draining(d.Targets(3*time.Second)), ShouldResemble, []string{"a"})
			d.Remove(4*time.Second, "a")
			d.Put(5*time.Second, first)
			So(draining(d.Targets(5*time.Second)), ShouldResemble, []string{"a"})
		})
		Convey("a new run under the same ID is available", func() {
			d.Put(3*time.Second, Target{ID: "a", StartUnixMS: 200})
			So(draining(d.Targets(3*time.Second)), ShouldBeEmpty)
		})
	})
}

// TestRestoredRegistry guards against requests to targets that have left, after
// the registry came back from a copy from before that.
func TestRestoredRegistry(t *testing.T) {
	Convey("Given a registry that is restored from a copy from before one target left and another began to drain", t, func() {
		d := NewDirectory()
		gone, leaving, stays := Target{ID: "gone"}, Target{ID: "leaving"}, Target{ID: "stays"}
		d.Replace(time.Second, []Target{gone, leaving, stays})
		d.Remove(2*time.Second, "gone")
		d.Put(2*time.Second, Target{ID: "leaving", Draining: true})
		d.RegistryRestored(5 * time.Second)
		Convey("the copy's entries do not make them available", func() {
			d.Replace(5100*time.Millisecond, []Target{gone, leaving, stays})
			So(ids(d.Targets(5200*time.Millisecond)), ShouldResemble, []string{"leaving", "stays"})
			So(draining(d.Targets(5200*time.Millisecond)), ShouldResemble, []string{"leaving"})
		})
		Convey("a target that registered after the copy was made is kept for the grace period", func() {
			d.Put(3*time.Second, Target{ID: "new"})
			d.Replace(5100*time.Millisecond, []Target{stays})
			So(ids(d.Targets(6*time.Second)), ShouldContain, "new")
			So(ids(d.Targets(5*time.Second+RegistryRecoveryGrace)), ShouldNotContain, "new")
		})
		Convey("a removed target that registers again after the restore is available", func() {
			d.Replace(5100*time.Millisecond, []Target{gone, stays})
			d.Put(6*time.Second, gone)
			So(ids(d.Targets(6*time.Second)), ShouldContain, "gone")
		})
	})
}

func TestVersionHistory(t *testing.T) {
	Convey("A version is superseded when the first newer one is announced", t, func() {
		var h VersionHistory
		So(h.Staleness(time.Second, 1), ShouldEqual, 0)
		So(h.Announce(2*time.Second, 2), ShouldBeTrue)
		So(h.Announce(4*time.Second, 3), ShouldBeTrue)
		So(h.Announce(5*time.Second, 3), ShouldBeFalse)
		So(h.Newest(), ShouldEqual, 3)
		So(h.Staleness(6*time.Second, 1), ShouldEqual, 4*time.Second)
		So(h.Staleness(6*time.Second, 2), ShouldEqual, 2*time.Second)
		So(h.Staleness(6*time.Second, 3), ShouldEqual, 0)
	})
	// A process that starts after an announcement learns from its peers how old the
	// announcement is. Otherwise it would use superseded weights past the deadline.
	Convey("An announcement that becomes known late counts from its own time", t, func() {
		var h VersionHistory
		So(h.Announce(10*time.Second, 4), ShouldBeTrue)
		So(h.Announce(5*time.Second, 3), ShouldBeFalse)
		So(h.Announce(9*time.Second, 4), ShouldBeFalse)
		So(h.Announce(11*time.Second, 4), ShouldBeFalse)
		So(h.Staleness(11*time.Second, 2), ShouldEqual, 6*time.Second)
		So(h.Staleness(11*time.Second, 3), ShouldEqual, 2*time.Second)
		So(h.Newest(), ShouldEqual, 4)
	})
}

// TestEndedRun guards against a run that counts as going on after it has been found to have ended.
func TestEndedRun(t *testing.T) {
	Convey("Given a registered run of a target that has ended", t, func() {
		d := NewDirectory()
		d.Put(0, Target{ID: "a", Service: "s", StartUnixMS: 1})
		So(d.MarkEnded(0, Boot{ID: "a", StartUnixMS: 1}), ShouldBeTrue)
		So(d.MarkEnded(0, Boot{ID: "a", StartUnixMS: 1}), ShouldBeFalse)
		So(d.Targets(0)[0].Ended, ShouldBeTrue)
		Convey("a late write of its entry doesn't change that", func() {
			d.Put(time.Second, Target{ID: "a", Service: "s", StartUnixMS: 1})
			So(d.Targets(time.Second)[0].Ended, ShouldBeTrue)
		})
		Convey("its next run goes on, and the former is forgotten", func() {
			d.Put(time.Second, Target{ID: "a", Service: "s", StartUnixMS: 2})
			So(d.Targets(time.Second)[0].Ended, ShouldBeFalse)
			So(d.MarkEnded(time.Second, Boot{ID: "a", StartUnixMS: 1}), ShouldBeFalse)
			d.Prune(time.Second)
			So(d.evidence, ShouldBeEmpty)
		})
	})
}
