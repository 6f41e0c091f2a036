package callers

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// bodyCallers is the number of callers of a crowd that sends bodies: together they
	// are larger than the memory of the process.
	bodyCallers = 150
	// endlessTime is the time for which callers of a crowd send bytes without end.
	endlessTime = 2 * time.Second
	// pieceBytes and piecePause are the size of the pieces of a body and the pause after each.
	pieceBytes = 32 << 10
	piecePause = 5 * time.Millisecond
)

var (
	contentLength = fmt.Sprintf("Content-Length: %d", maxBodyBytes)
	unfinished    = strings.Repeat("x", maxBodyBytes-1)
)

const chunked = "Transfer-Encoding: chunked"

// TestBodiesOneByteShort guards against memory that bodies of legal size take while they
// stop one byte short, on any path.
func TestBodiesOneByteShort(t *testing.T) {
	w := newWorld(t)
	w.crowd(w.callerAddress, bodyCallers, func(caller int, conn net.Conn) {
		send(conn, head(paths[caller%2], caller, contentLength)+"\r\n"+unfinished)
	})
	w.check()
}

// TestBodiesInPieces guards against memory that bodies take which arrive in pieces and
// stop one byte short.
func TestBodiesInPieces(t *testing.T) {
	w := newWorld(t)
	w.crowd(w.callerAddress, bodyCallers, func(caller int, conn net.Conn) {
		send(conn, head(paths[caller%2], caller, contentLength)+"\r\n")
		sendPieces(conn, unfinished, pieceBytes, piecePause)
	})
	w.check()
}

// TestChunkedBodies guards against memory that bodies without a stated length take.
func TestChunkedBodies(t *testing.T) {
	w := newWorld(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
	w.crowd(w.callerAddress, bodyCallers, func(caller int, conn net.Conn) {
		send(conn, head(paths[caller%2], caller, chunked)+"\r\n"+strings.Repeat(chunk, maxBodyBytes/pieceBytes-1)+chunk[:len(chunk)-3])
	})
	w.check()
}

// TestBodiesOverLimit guards against bodies far over the limit, with a stated length, a
// false one, and without one, and against announced bodies that never arrive.
func TestBodiesOverLimit(t *testing.T) {
	w := newWorld(t)
	large := strings.Repeat("x", maxBodyBytes)
	forms := []string{
		"Content-Length: 10000000000\r\n\r\n",
		"Content-Length: 10\r\n\r\n",
		chunked + "\r\n\r\nfffffff\r\n",
		contentLength + "\r\nExpect: 100-continue\r\n\r\n",
	}
	w.crowd(w.callerAddress, bodyCallers, func(caller int, conn net.Conn) {
		form := caller / 2 % len(forms)
		if send(conn, head(paths[caller%2], caller)+forms[form]) && form < len(forms)-1 {
			sendUntil(conn, large, endlessTime)
		}
	})
	w.check()
}

// TestTinyChunks guards against chunks of one byte, and chunk extensions, without end.
func TestTinyChunks(t *testing.T) {
	w := newWorld(t)
	forms := []string{strings.Repeat("1\r\nx\r\n", 1000), strings.Repeat("1;"+strings.Repeat("e=f;", 500)+"\r\nx\r\n", 10), "1;" + strings.Repeat("e", 100_000)}
	w.crowd(w.callerAddress, bodyCallers/3, func(caller int, conn net.Conn) {
		send(conn, head(paths[caller%2], caller, chunked)+"\r\n")
		sendUntil(conn, forms[caller%len(forms)], endlessTime)
	})
	w.check()
}
