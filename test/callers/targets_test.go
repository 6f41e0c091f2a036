package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/endlessfake"
	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// targetCallers is the number of sound callers whose target sends bytes without end.
	targetCallers = 250
	// targetHeadBytes is the size of heads that are nearly as large as those that are read.
	targetHeadBytes = 63 << 10
)

// shortFields returns distinct fields that together are nearly as large as a head may be.
func shortFields() string {
	var text strings.Builder
	for n := 0; text.Len() < targetHeadBytes; n++ {
		fmt.Fprintf(&text, "f%x:\r\n", n)
	}
	return text.String()
}

// endlessResponses returns responses to the request with the given ID that never end.
func endlessResponses(id string) []endlessfake.Response {
	fields := endlessfake.Fields(platformfake.HeaderRequestID, id, platformfake.HeaderStamp, "s")
	ok := "HTTP/1.1 200 OK\r\n"
	chunked := ok + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	return slices.Concat(endlessfake.Heads(fields), endlessfake.Bodies(fields), endlessfake.EventStreams(fields), []endlessfake.Response{
		endlessfake.TinyChunks(fields),
		{Name: "short fields without end", Prefix: ok + shortFields(), Unit: "f:\r\n"},
		{Name: "short fields, and then nothing", Prefix: ok + shortFields()},
		{Name: "short fields in informational responses", Prefix: "HTTP/1.1 103 Early Hints\r\n" + shortFields() + "\r\n"},
		{Name: "short fields in a trailer", Prefix: chunked + shortFields()},
		{Name: "a line, and then nothing", Prefix: ok + "f: " + strings.Repeat("x", targetHeadBytes)},
		{Name: "short fields and a body without end", Prefix: ok + fields + shortFields()[:targetHeadBytes-4<<10] + "\r\n", Unit: "x"},
	})
}

// serveWithoutEnd answers the requests of the crowd with an endless response, all of them at about the same
// time, and others as usual.
func (w *world) serveWithoutEnd(index int) {
	begin := time.Now().Add(holdTime)
	w.target.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platformfake.HeaderRequestID)
		if !strings.HasPrefix(id, "crowd-") {
			w.target.SetStamp(rw)
			_, _ = io.WriteString(rw, "answer of i-0")
			return
		}
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		time.Sleep(time.Until(begin))
		response := endlessResponses(id)[index]
		if response.Unit != "" {
			_, _ = response.WriteTo(conn)
			return
		}
		if _, err := io.WriteString(conn, response.Prefix); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}

// TestTargetsWithoutEnd guards against memory that the answers of a target that sends bytes without end take,
// when many ordinary callers ask it at once.
func TestTargetsWithoutEnd(t *testing.T) {
	for index, response := range endlessResponses("") {
		t.Run(response.Name, func(t *testing.T) {
			w := newWorld(t)
			w.serveWithoutEnd(index)
			w.crowd(w.callerAddress, targetCallers, func(caller int, conn net.Conn) {
				path := []string{"/once/1", "/stream/1"}[caller%2]
				if send(conn, head(path, caller, "Content-Length: 0", "Connection: close")+"\r\n") {
					_ = conn.SetReadDeadline(time.Now().Add(streamTimeout + time.Second))
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			w.check()
		})
	}
}
