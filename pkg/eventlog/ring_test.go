package eventlog

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/endlessfake"
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

// blockedWriter blocks each write until it is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

// TestQueueMemory guards against a process that exceeds its memory limit because its
// log lines hold what a faulty target sent, and nobody reads them.
func TestQueueMemory(t *testing.T) {
	Convey("While the log can't be written, its queue stays within its memory bound and counts what it drops", t, func() {
		const lines, lineBytes = 1000, 64 << 10
		out := blockedWriter{unblock: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := make([]byte, lineBytes)
		heap := endlessfake.HeapPeak(func() {
			for range lines {
				_, _ = w.Write(line)
			}
		})
		So(heap, ShouldBeLessThan, 2*maxQueuedBytes)
		So(w.Dropped(), ShouldBeGreaterThan, 0)
		close(out.unblock)
		w.Close()
		So(w.queuedBytes.Load(), ShouldEqual, 0)
	})
}

// TestLongField guards against log lines that hold up to 64 KiB of a target's garbage.
func TestLongField(t *testing.T) {
	Convey("Long texts and errors are cut, and other values are unchanged", t, func() {
		var out bytes.Buffer
		long := strings.Repeat("x", 10*maxFieldBytes)
		New(&out, "entry", "vm-1").Log(AttemptFailed, "request_id", "r", "target", long, "err", errors.New(long), "status", 200)
		So(out.Len(), ShouldBeLessThan, 3*maxFieldBytes)
		So(out.String(), ShouldContainSubstring, `"request_id":"r"`)
		So(out.String(), ShouldContainSubstring, `"status":200`)
		So(out.String(), ShouldContainSubstring, strings.Repeat("x", maxFieldBytes)+"...")
	})
}
