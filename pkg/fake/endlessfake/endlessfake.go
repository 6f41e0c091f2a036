// Package endlessfake writes HTTP responses that never end, and measures the heap
// of the process that reads them.
package endlessfake

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/rawfake"
)

const (
	// writeBytes is the approximate size of a single write.
	writeBytes = 32 << 10
	// sampleInterval is the interval at which HeapPeak samples the heap.
	sampleInterval = 5 * time.Millisecond
	// requestBufferBytes is the size of the buffer into which requests are read.
	requestBufferBytes = 4 << 10
)

// Response is a response that begins with Prefix and repeats Unit without end.
type Response struct {
	Name   string
	Prefix string
	Unit   string
}

// Heads returns responses whose head never ends, and bytes without end that are no
// HTTP response. Fields are header lines of the response, each with its CR LF.
func Heads(fields string) []Response {
	return []Response{
		{"a status line without end", "HTTP/1.1 200 ", "x"},
		{"a header line without end", "HTTP/1.1 200 OK\r\n" + fields + "X-Long: ", "x"},
		{"header fields without end", "HTTP/1.1 200 OK\r\n" + fields, "X-Field: value\r\n"},
		{"informational responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"informational responses with fields, without end", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		{"no HTTP, one line without end", "", "garbage "},
		{"no HTTP, zero bytes without end", "", "\x00"},
		{"no HTTP, lines without end", "", "garbage\r\n"},
	}
}

// Bodies returns responses with a complete head whose body never ends or whose
// framing is invalid.
func Bodies(fields string) []Response {
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []Response{
		{"a body of no stated length, without end", head + "\r\n", "x"},
		{"a body of a huge stated length", head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"chunks without end", chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		{"one chunk of a huge size", chunked + "fffffffffff\r\n", "x"},
		{"a chunk size line without end", chunked, "0"},
		{"a chunk extension without end", chunked + "5;name=", "x"},
		{"a trailer line without end", chunked + "0\r\nX-Trailer: ", "x"},
		{"trailer fields without end", chunked + "0\r\n", "X-Trailer: value\r\n"},
	}
}

// TinyChunks returns a response whose body is an endless sequence of chunks of one
// byte, which take far more processor time to read than larger ones.
func TinyChunks(fields string) Response {
	return Response{"chunks of one byte without end", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}
}

// EventStreams returns event streams with a complete head whose events never end,
// or that hold no events.
func EventStreams(fields string) []Response {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n"
	return []Response{
		{"an event line without end", head + "data: ", "x"},
		{"an event of lines without end", head, "data: x\n"},
		{"blank lines without end", head, "\n"},
		{"blocks that are no events, without end", head, "garbage\n\n"},
	}
}

// WriteTo implements io.WriterTo. It writes until w returns an error, as a socket
// does once its peer has closed.
func (r Response) WriteTo(w io.Writer) (int64, error) {
	n, err := io.WriteString(w, r.Prefix)
	total := int64(n)
	units := bytes.Repeat([]byte(r.Unit), writeBytes/len(r.Unit)+1)
	for err == nil {
		n, err = w.Write(units)
		total += int64(n)
	}
	return total, errors.Trace(err)
}

// NewServer starts a target on the loopback interface that responds to each request with a Response until its
// peer closes the connection.
func NewServer(response Response) (*rawfake.Server, error) {
	return rawfake.NewConnServer(func(conn net.Conn) {
		// The first bytes of the request are discarded. The write ends with an error once the peer has closed.
		if _, err := conn.Read(make([]byte, requestBufferBytes)); err == nil {
			_, _ = response.WriteTo(conn)
		}
	})
}

// Fields formats header lines from names and values that alternate.
func Fields(namesAndValues ...string) string {
	var b strings.Builder
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		b.WriteString(namesAndValues[i] + ": " + namesAndValues[i+1] + "\r\n")
	}
	return b.String()
}

// HeapPeak runs fn and returns by how many bytes the heap, including garbage that
// has not been collected, exceeded its size before the call.
func HeapPeak(fn func()) int64 {
	runtime.GC()
	before := heapBytes()
	peak := before
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				peak = max(peak, heapBytes())
			}
		}
	})
	fn()
	close(done)
	sampler.Wait()
	return max(peak, heapBytes()) - before
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
