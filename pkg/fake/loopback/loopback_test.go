package loopback

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAddressesDiffer guards against two processes of a test that get the same address, because
// the first one does not listen yet when the second one asks.
func TestAddressesDiffer(t *testing.T) {
	Convey("No address is returned twice", t, func() {
		const addresses = 2000
		seen := map[string]bool{}
		for range addresses {
			address, err := FreeAddress()
			So(err, ShouldBeNil)
			seen[address] = true
		}
		So(len(seen), ShouldEqual, addresses)
	})
}
