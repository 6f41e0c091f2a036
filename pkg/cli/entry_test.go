package cli

import (
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/entry"
)

// TestHedgeShareOption guards against a share out of range that takes effect, and against hedges
// that nobody has asked for.
func TestHedgeShareOption(t *testing.T) {
	run := func(arguments ...string) error {
		app := NewEntryApp(EntryPlatform{LoadSettings: func(string) (entry.Settings, error) {
			return entry.Settings{VM: "v", IP: "127.0.0.1", CallerAddress: "a:1", ReadyAddress: "a:2", StoreAddress: "a:3", PeerPort: 4}, nil
		}})
		app.Writer = io.Discard
		return app.Run(append([]string{"baobab-entry", "--check"}, arguments...))
	}
	Convey("The share of hedges has to be from 0 to 0.2", t, func() {
		So(run(), ShouldBeNil)
		for _, share := range []string{"0", "0.05", "0.2"} {
			So(run("--hedge-share", share), ShouldBeNil)
		}
		for _, share := range []string{"0.21", "-0.1", "NaN", "x"} {
			So(run("--hedge-share", share), ShouldNotBeNil)
		}
	})
}
