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

// readEvents returns what next returned until the stream's end, and the error
// that ended it.
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
		Convey("each event is passed on once it is whole", func() {
			So(read("data: a\n\ndata: b\n\n"), ShouldResemble, []string{"data: a\n\n", "data: b\n\n"})
		})
		Convey("lines may end with CR LF", func() {
			So(read("data: a\r\n\r\ndata: b\r\n\r\n"), ShouldResemble, []string{"data: a\r\n\r\n", "data: b\r\n\r\n"})
		})
		Convey("a single byte after the last event is passed on at the stream's end", func() {
			So(read("data: a\n\n\n"), ShouldResemble, []string{"data: a\n\n", "\n"})
		})
		Convey("a stream of one byte is passed on", func() {
			So(read("x"), ShouldResemble, []string{"x"})
		})
	})
	Convey("Given a stream that breaks off", t, func() {
		broken := errors.New("broken")
		got, err := readEvents(io.MultiReader(strings.NewReader("data: a\n\ndata: b"), iotest.ErrReader(broken)))
		Convey("the event that was cut short is not passed on", func() {
			So(err, ShouldEqual, broken)
			So(got, ShouldResemble, []string{"data: a\n\n"})
		})
	})
	Convey("Given an event without an end", t, func() {
		_, err := readEvents(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
		Convey("reading ends at the largest size", func() {
			So(err, ShouldEqual, errEventTooLarge)
		})
	})
}

// TestEventReaderPassesAll: any stream that ends as announced is passed on
// byte for byte, however it arrives.
func TestEventReaderPassesAll(t *testing.T) {
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
			t.Fatalf("ended with %v", err)
		}
		if strings.Join(got, "") != stream {
			t.Fatalf("passed %q of %q", got, stream)
		}
	})
}
