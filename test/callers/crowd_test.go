package callers

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

// writeTimeout is the time after which a caller gives up writing to a process that
// doesn't read.
const writeTimeout = 3 * time.Second

// crowd lets size callers act at once, each on its own connection, and waits until all
// have acted. Their connections stay open until the test ends unless act closes them. A
// caller that is refused is no error.
func (w *world) crowd(address string, size int, act func(caller int, conn net.Conn)) {
	var wg sync.WaitGroup
	for caller := range size {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, writeTimeout)
			if err != nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			act(caller, conn)
			go func() {
				<-w.crowdEnded
				_ = conn.Close()
			}()
		})
	}
	wg.Wait()
}

// head returns the head of a request without the blank line that ends it.
func head(path string, caller int, fields ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: key-1\r\n", path, platformfake.HeaderRequestID, caller, platformfake.HeaderAPIKey) +
		strings.Join(append(fields, ""), "\r\n")
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendPieces sends a text in pieces with a pause after each.
func sendPieces(conn net.Conn, text string, size int, pause time.Duration) {
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		if !send(conn, piece) {
			return
		}
		text = text[len(piece):]
		time.Sleep(pause)
	}
}

// sendUntil sends a text again and again for a time, or until the process closes.
func sendUntil(conn net.Conn, text string, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end) && send(conn, text); {
	}
}

// paths are a path with a route and one without.
var paths = []string{"/safe/1", "/nowhere/1"}
