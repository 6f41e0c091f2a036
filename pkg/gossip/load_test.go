package gossip

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/baobabhub/baobabhub/pkg/balance"
)

// TestLoadMessage guards against ages that are lost or become younger on the way, and
// against bytes for figures that are zero.
func TestLoadMessage(t *testing.T) {
	encode := func(load balance.TargetLoad) []byte {
		m := Message{TargetLoads: map[balance.TargetKey]balance.TargetLoad{7: load}}
		data, err := m.encode()
		So(err, ShouldBeNil)
		return data
	}
	Convey("The age of a target's progress is rounded up to 10 ms and takes two bytes", t, func() {
		load := balance.TargetLoad{InFlight: 3, Pending: 1, Backlog: 100}
		without := len(encode(load))
		load.ProgressAge = 1191 * time.Millisecond
		data := encode(load)
		So(len(data), ShouldEqual, without+2)
		m, err := decode(data)
		So(err, ShouldBeNil)
		load.ProgressAge = 1200 * time.Millisecond
		So(m.TargetLoads[7], ShouldResemble, load)
		So(proto.Size((&Message{}).state()), ShouldEqual, 0)
	})
	Convey("The pace of a slow target is sent in percent, with its age, and that of others is not", t, func() {
		slow := balance.TargetLoad{InFlight: 1, Pace: balance.Pace{Factor: 2.5, Age: 31 * time.Millisecond}}
		m, err := decode(encode(slow))
		So(err, ShouldBeNil)
		So(m.TargetLoads[7].Pace, ShouldResemble, balance.Pace{Factor: 2.5, Age: 40 * time.Millisecond})
		So(len(encode(slow)), ShouldEqual, len(encode(balance.TargetLoad{InFlight: 1}))+5)
	})
	Convey("The samples of a target's drain rate are rounded down to 64 tokens and 4 ms", t, func() {
		m, err := decode(encode(balance.TargetLoad{InFlight: 1, Drain: balance.DrainSums{Tokens: 6500, MS: 103}}))
		So(err, ShouldBeNil)
		So(m.TargetLoads[7].Drain, ShouldResemble, balance.DrainSums{Tokens: 6464, MS: 100})
	})
}
