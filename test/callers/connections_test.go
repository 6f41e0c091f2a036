package callers

import (
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// silentCallers is the number of callers of a crowd that sends nothing, or half a
	// head: more than the process may have descriptors.
	silentCallers = 600
	// closingCallers is the number of callers that close and connect again at once.
	closingCallers = 50
)

// TestSilentConnections guards against descriptors that connections take which send
// nothing or half a head.
func TestSilentConnections(t *testing.T) {
	for _, port := range []string{"caller", "ready"} {
		t.Run(port, func(t *testing.T) {
			w := newWorld(t)
			address := map[string]string{"caller": w.callerAddress, "ready": w.readyAddress}[port]
			w.crowd(address, silentCallers, func(caller int, conn net.Conn) {
				if caller%2 == 0 {
					send(conn, head("/safe/1", caller)[:60])
				}
			})
			w.check()
		})
	}
}

// TestReconnectingCallers guards against connections that close at once and come again.
func TestReconnectingCallers(t *testing.T) {
	w := newWorld(t)
	for _, address := range []string{w.callerAddress, w.readyAddress} {
		w.crowd(address, closingCallers, func(caller int, conn net.Conn) {
			for end := time.Now().Add(endlessTime); time.Now().Before(end); {
				if caller%2 == 0 {
					send(conn, head("/safe/1", caller)[:60])
				}
				_ = conn.Close()
				var err error
				if conn, err = net.DialTimeout("tcp4", address, writeTimeout); err != nil {
					return
				}
			}
			_ = conn.Close()
		})
	}
	w.check()
}

// TestReadyPort guards against callers at the ready port that send large heads, or bodies
// without end, or answered requests whose connections they keep.
func TestReadyPort(t *testing.T) {
	for name, act := range map[string]func(conn net.Conn){
		// The fields of a head without end have different names.
		"large heads": func(conn net.Conn) {
			send(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(repeated(func(n int) string { return "f" + strings.Repeat("x", n%50) + ":\r\n" }), 30))
		},
		"bodies": func(conn net.Conn) {
			send(conn, "GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000000\r\n\r\n")
			sendUntil(conn, unfinished, endlessTime)
		},
		"kept connections": func(conn net.Conn) {
			send(conn, strings.Repeat("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", 10))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.crowd(w.readyAddress, headCallers, func(_ int, conn net.Conn) { act(conn) })
			w.check()
		})
	}
}
