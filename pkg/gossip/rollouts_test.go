package gossip

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/canary"
)

// TestRolloutNews guards against fields that are lost between two processes.
func TestRolloutNews(t *testing.T) {
	Convey("What a process tells of a rollout arrives unchanged", t, func() {
		news := canary.News{
			Order: canary.Order{Service: "s", Target: "v2", Duration: 12500 * time.Millisecond, Revision: 1<<40 | 7},
			Age:   1234 * time.Millisecond, State: canary.Reverted, Reason: canary.ReasonSlow, HasStore: true,
			Report: canary.Report{Drained: 3, Evidence: canary.Evidence{
				{Route: "a", New: true, Slice: 4}: {Runs: 5, Failures: 4, Timed: 3, Slow: 2},
				{Route: "b"}:                      {Runs: 1 << 40},
			}},
		}
		message := Message{Sender: "p", News: News{Rollouts: []canary.News{news}}}
		data, err := message.encode()
		So(err, ShouldBeNil)
		decoded, err := decode(data)
		So(err, ShouldBeNil)
		So(decoded.Rollouts, ShouldResemble, message.Rollouts)
	})
}
