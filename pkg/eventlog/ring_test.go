package eventlog

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWriteAfterClose guards against a request handler that ends in a panic because
// it logs while the process exits.
func TestWriteAfterClose(t *testing.T) {
	Convey("A line that is written after Close is dropped and counted", t, func() {
		var out bytes.Buffer
		w := NewAsyncWriter(&out)
		log := New(w, "entry", "vm-1")
		log.Log(Stopped, "cut_requests", 1)
		w.Close()
		log.Log(CallerLeft, "request_id", "r")
		So(out.String(), ShouldContainSubstring, "stopped")
		So(out.String(), ShouldNotContainSubstring, "caller_left")
		So(w.Dropped(), ShouldEqual, 1)
	})
}
