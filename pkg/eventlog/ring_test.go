package eventlog

import (
	"bytes"
	"io"
	"strings"
	"syscall"
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

// fullOutput takes a few bytes at a time, and none at every other call.
type fullOutput struct {
	text  strings.Builder
	calls int
}

func (o *fullOutput) Write(p []byte) (int, error) {
	const capacityBytes = 10
	o.calls++
	if o.calls%2 == 0 {
		return 0, syscall.EAGAIN
	}
	n, err := o.text.Write(p[:min(len(p), capacityBytes)])
	if n < len(p) {
		err = syscall.EAGAIN
	}
	return n, err
}

// brokenOutput takes nothing.
type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestFullOutput guards against lines that are lost in part, and are not counted,
// because the output can't take them for the moment.
func TestFullOutput(t *testing.T) {
	Convey("An output that is full for a moment gets all lines", t, func() {
		var out fullOutput
		w := NewAsyncWriter(&out)
		const line = "a line of more than ten bytes\n"
		for range 3 {
			_, _ = w.Write([]byte(line))
		}
		w.Close()
		So(out.text.String(), ShouldEqual, strings.Repeat(line, 3))
		So(w.Dropped(), ShouldEqual, 0)
	})
	Convey("Lines that an output doesn't take are counted", t, func() {
		w := NewAsyncWriter(brokenOutput{})
		_, _ = w.Write([]byte("line\n"))
		w.Close()
		So(w.Dropped(), ShouldEqual, 1)
	})
}
