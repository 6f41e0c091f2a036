package streamorigin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTable(t *testing.T) {
	Convey("Given a table that knows a stream", t, func() {
		table := New()
		key := NewKey("account", "service", "request")
		table.Record(time.Second, Origin{Key: key, Version: "v1"})
		Convey("it knows its version for some time", func() {
			version, known := table.Version(time.Second+streamTTL, key)
			So(known, ShouldBeTrue)
			So(version, ShouldEqual, "v1")
			_, known = table.Version(time.Second+streamTTL+1, key)
			So(known, ShouldBeFalse)
		})
		Convey("a later record of the same stream changes nothing", func() {
			table.Record(2*time.Second, Origin{Key: key, Version: "v2"})
			version, _ := table.Version(2*time.Second, key)
			So(version, ShouldEqual, "v1")
		})
		Convey("the same request ID of another account or service is another stream", func() {
			for _, other := range []Key{NewKey("other", "service", "request"), NewKey("account", "other", "request"), NewKey("accounts", "ervice", "request")} {
				_, known := table.Version(time.Second, other)
				So(known, ShouldBeFalse)
			}
		})
		Convey("it forgets the oldest of many streams", func() {
			for n := range maxStreams {
				table.Record(2*time.Second, Origin{Key: NewKey("a", "s", fmt.Sprint(n)), Version: "v1"})
			}
			_, known := table.Version(2*time.Second, key)
			So(known, ShouldBeFalse)
			So(table.streams.Len(), ShouldEqual, maxStreams)
		})
	})
}
