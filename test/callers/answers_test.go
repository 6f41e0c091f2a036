package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// readingCallers is the number of callers of a crowd that reads answers badly.
	readingCallers = 120
	// answerBytes is the size of an answer, and of all events of a stream together.
	answerBytes = 2 << 20
	// eventBytes is the size of an event of a stream.
	eventBytes = 256 << 10
	// badReadingTime is the time for which callers read badly.
	badReadingTime = 4 * time.Second
)

// answerLargely makes the target send large answers and streams of large events to the
// crowd.
func (w *world) answerLargely() {
	answer, event := strings.Repeat("a", answerBytes), strings.Repeat("e", eventBytes)
	w.target.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		w.target.SetStamp(rw)
		switch {
		case !strings.HasPrefix(r.Header.Get(platformfake.HeaderRequestID), "crowd-"):
			_, _ = io.WriteString(rw, "answer of i-0")
		case strings.HasPrefix(r.URL.Path, "/safe/"):
			_, _ = io.WriteString(rw, answer)
		default:
			for id := range answerBytes / eventBytes {
				if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", id, event); err != nil {
					return
				}
			}
			_, _ = io.WriteString(rw, "event: done\ndata: x\n\n")
		}
	})
}

// TestAnswersReadBadly guards against memory and connections that are held for answers and
// streams which callers never read, read at a byte a second, or abandon half-way.
func TestAnswersReadBadly(t *testing.T) {
	for name, read := range map[string]func(conn net.Conn){
		"never": func(net.Conn) { time.Sleep(badReadingTime) },
		"a byte a second": func(conn net.Conn) {
			for end := time.Now().Add(badReadingTime); time.Now().Before(end); time.Sleep(time.Second) {
				_, _ = conn.Read(make([]byte, 1))
			}
		},
		"half": func(conn net.Conn) {
			_ = conn.SetReadDeadline(time.Now().Add(badReadingTime))
			_, _ = io.CopyN(io.Discard, conn, answerBytes/2)
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.answerLargely()
			answerPaths := []string{"/safe/1", "/resume/1"}
			w.crowd(w.callerAddress, readingCallers, func(caller int, conn net.Conn) {
				// A small receive buffer makes the process hold more of the answer.
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				send(conn, head(answerPaths[caller%2], caller, "Content-Length: 0")+"\r\n")
				read(conn)
			})
			w.check()
		})
	}
}

// TestAllAtOnce guards against bounds that hold for bodies, heads and answers alone, but
// not for all together.
func TestAllAtOnce(t *testing.T) {
	w := newWorld(t)
	w.answerLargely()
	fields := repeated(func(n int) string { return fmt.Sprintf("f%x:\r\n", n) })
	w.crowd(w.callerAddress, bodyCallers+readingCallers, func(caller int, conn net.Conn) {
		switch {
		case caller%2 == 0:
			send(conn, head("/safe/1", caller, contentLength)+fields+"\r\n"+unfinished)
		case caller%4 == 1:
			send(conn, head("/safe/1", caller, "Content-Length: 0")+fields+"\r\n")
		default:
			send(conn, head("/resume/1", caller, "Content-Length: 0")+fields+"\r\n")
		}
		time.Sleep(badReadingTime)
	})
	w.check()
}
