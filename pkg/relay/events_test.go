package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// readEvents returns the non-empty results of next until the first error, and
// that error.
func readEvents(body io.Reader) ([]string, error) {
	reader := newEventReader(body)
	var got []string
	for {
		events, err := reader.next()
		if len(events) > 0 {
			got = append(got, string(events))
		}
		if err != nil {
			return got, err
		}
	}
}

func TestEventReader(t *testing.T) {
	Convey("Given a stream that arrives byte by byte", t, func() {
		read := func(stream string) []string {
			got, err := readEvents(iotest.OneByteReader(strings.NewReader(stream)))
			So(err, ShouldEqual, io.EOF)
			return got
		}
		Convey("each event is returned once it is complete", func() {
			So(read("data: a\n\ndata: b\n\n"), ShouldResemble, []string{"data: a\n\n", "data: b\n\n"})
		})
		Convey("lines that end with CR LF are supported", func() {
			So(read("data: a\r\n\r\ndata: b\r\n\r\n"), ShouldResemble, []string{"data: a\r\n\r\n", "data: b\r\n\r\n"})
		})
		Convey("a single byte after the last event is returned at the end of the stream", func() {
			So(read("data: a\n\n\n"), ShouldResemble, []string{"data: a\n\n", "\n"})
		})
		Convey("a stream of one byte is returned", func() {
			So(read("x"), ShouldResemble, []string{"x"})
		})
	})
	Convey("Given a stream that fails in the middle of an event", t, func() {
		broken := errors.New("broken")
		got, err := readEvents(io.MultiReader(strings.NewReader("data: a\n\ndata: b"), iotest.ErrReader(broken)))
		Convey("the truncated event is not returned", func() {
			So(err, ShouldEqual, broken)
			So(got, ShouldResemble, []string{"data: a\n\n"})
		})
	})
	Convey("Given an unterminated event", t, func() {
		_, err := readEvents(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
		Convey("reading fails at the size limit", func() {
			So(err, ShouldEqual, errEventTooLarge)
		})
	})
}

// TestEventReaderPreservesBytes checks that any stream that ends with io.EOF is
// returned byte for byte, however the reads split it.
func TestEventReaderPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"\n", "\r\n", "data: x", "id: 1\n", "\n\n", "y"})).Draw(t, "parts")
		stream := strings.Join(parts, "")
		var pieces []io.Reader
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces = append(pieces, strings.NewReader(rest[:n]))
			rest = rest[n:]
		}
		got, err := readEvents(io.MultiReader(pieces...))
		if !errors.Is(err, io.EOF) {
			t.Fatalf("reading failed with %v", err)
		}
		if strings.Join(got, "") != stream {
			t.Fatalf("got events %q from stream %q", got, stream)
		}
	})
}
