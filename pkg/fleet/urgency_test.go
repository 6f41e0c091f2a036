package fleet

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRank guards against urgent routes that are served like all others because the accounts
// have priorities of their own.
func TestRank(t *testing.T) {
	routes := []Route{{Name: "urgent", Host: "h", Prefix: "/a/", Priority: 0}, {Name: "other", Host: "h", Prefix: "/b/", Priority: 2}}
	rank := func(c *Config, route int, account string) int {
		a, _ := c.Account(account)
		return c.Rank(&routes[route], a)
	}
	Convey("Among accounts of one priority, the routes' priorities decide", t, func() {
		c := NewConfig(1, ClientLimits{}, routes, nil, []Account{{Name: "a", Priority: 1, HasPriority: true}, {Name: "b", Priority: 1, HasPriority: true}}, nil)
		So(rank(c, 0, "a"), ShouldEqual, 0)
		So(rank(c, 0, "b"), ShouldEqual, 0)
		So(rank(c, 1, "a"), ShouldEqual, 1)
		So(c.RouteRanks(&routes[1]), ShouldResemble, []int{1})
	})
	Convey("An account's priority takes precedence over the route's", t, func() {
		c := NewConfig(1, ClientLimits{}, routes, nil, []Account{{Name: "first", Priority: 0, HasPriority: true}, {Name: "last", Priority: 5, HasPriority: true}}, nil)
		So(rank(c, 1, "first"), ShouldBeLessThan, rank(c, 0, "last"))
	})
	Convey("Without accounts, only the routes' priorities count", t, func() {
		c := NewConfig(1, ClientLimits{}, routes, nil, nil, nil)
		So(c.Rank(&routes[0], nil), ShouldEqual, 0)
		So(c.Rank(&routes[1], nil), ShouldEqual, 1)
	})
}
