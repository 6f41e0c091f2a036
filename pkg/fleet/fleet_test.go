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
	Convey("The longest prefix of the host wins", t, func() {
		for _, c := range cases {
			route, ok := config.Match(c.host, c.path)
			So(ok, ShouldEqual, c.route != "")
			So(route.Name, ShouldEqual, c.route)
		}
	})
}

func TestAuthenticate(t *testing.T) {
	Convey("Each of an account's keys names it, and no other text does", t, func() {
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
		Convey("a removed target is gone at once", func() {
			d.Remove(2*time.Second, "a")
			So(ids(d.Targets(2*time.Second)), ShouldResemble, []string{"b"})
		})
		Convey("a target that lapsed during an outage stays for its time to come back", func() {
			d.SetRegistryUnavailable(3*time.Second, true)
			d.SetRegistryUnavailable(8*time.Second, false)
			d.Replace(8100*time.Millisecond, []Target{{ID: "b"}})
			So(ids(d.Targets(10*time.Second)), ShouldResemble, []string{"a", "b"})
			So(ids(d.Targets(8*time.Second+RegistryRecoveryGrace)), ShouldResemble, []string{"b"})
		})
		Convey("a target that comes back in time stays", func() {
			d.SetRegistryUnavailable(3*time.Second, true)
			d.SetRegistryUnavailable(8*time.Second, false)
			d.Remove(8100*time.Millisecond, "a")
			d.Put(Target{ID: "a"})
			So(ids(d.Targets(20*time.Second)), ShouldResemble, []string{"a", "b"})
		})
	})
}

func TestVersionHistory(t *testing.T) {
	Convey("A version is out of date since the first newer one was named", t, func() {
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
}
