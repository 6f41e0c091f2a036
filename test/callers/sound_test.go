package callers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// slowTime is the time that a slow caller takes for its body, or for reading its stream.
	slowTime = 2 * time.Second
	// slowHeadTime is the time that a slow caller takes for its head.
	slowHeadTime = 1500 * time.Millisecond
	// slowPieces is the number of pieces of what a slow caller sends or reads.
	slowPieces = 20
)

// TestSoundCallers guards against limits that hit callers within the configuration: slow
// ones, and a single request of the largest size.
func TestSoundCallers(t *testing.T) {
	w := newWorld(t)
	w.answerLargely()
	body := strings.Repeat("b", 64<<10)
	length := fmt.Sprintf("Content-Length: %d", len(body))
	fields := repeated(func(n int) string { return fmt.Sprintf("f%x:\r\n", n) })
	requests := map[string]func(conn net.Conn){
		"slow head": func(conn net.Conn) {
			text := head("/safe/1", 1, "Content-Length: 0") + "\r\n"
			sendPieces(conn, text, len(text)/slowPieces, slowHeadTime/(slowPieces+2))
		},
		"slow body": func(conn net.Conn) {
			send(conn, head("/safe/1", 1, length)+"\r\n")
			sendPieces(conn, body, len(body)/slowPieces, slowTime/slowPieces)
		},
		"slow reader of a stream": func(conn net.Conn) {
			send(conn, head("/resume/1", 1, "Content-Length: 0")+"\r\n")
		},
		"largest request": func(conn net.Conn) {
			send(conn, head("/safe/1", 1, contentLength)+fields+"\r\n"+unfinished+"x")
		},
	}
	var wg sync.WaitGroup
	for name, request := range requests {
		wg.Go(func() {
			if err := w.askSlowly(request, name == "slow reader of a stream"); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	wg.Wait()
	w.check()
}

// askSlowly sends a request and requires the whole answer.
func (w *world) askSlowly(request func(conn net.Conn), readsSlowly bool) error {
	conn, err := net.Dial("tcp4", w.callerAddress)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if readsSlowly {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	request(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer bytes.Buffer
	for err == nil {
		if readsSlowly {
			time.Sleep(slowTime / slowPieces)
		}
		_, err = io.CopyN(&answer, resp.Body, answerBytes/slowPieces)
	}
	if !errors.Is(err, io.EOF) || resp.StatusCode != http.StatusOK || answer.Len() < answerBytes || resp.Header.Get(platformfake.HeaderStamp) == "" {
		return fmt.Errorf("status %d, %d bytes, %w", resp.StatusCode, answer.Len(), err)
	}
	return nil
}
