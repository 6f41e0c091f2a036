// Package rawfake answers requests with bytes that a test chooses, on real sockets:
// responses that are broken, and unusual ones that are valid.
package rawfake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// End is what happens to the connection after a response.
type End int

const (
	// Close closes the connection. If bytes of the request are unread, the kernel
	// resets it.
	Close End = iota
	// Reset resets the connection.
	Reset
	// AwaitPeer keeps the connection open until the peer closes it.
	AwaitPeer
)

// Response is a response of fixed bytes.
type Response struct {
	// Name describes the response in the name of a test.
	Name string
	// Text is sent as it is.
	Text string
	End  End
	// Unread makes a Server respond before it reads the body of a request.
	Unread bool
}

// Serve writes the response to a connection on which a request has been read, and ends it.
func (r Response) Serve(conn net.Conn) {
	// An error means that the peer has closed the connection.
	if _, err := io.WriteString(conn, r.Text); err == nil && r.End == AwaitPeer {
		_, _ = io.Copy(io.Discard, conn)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && r.End == Reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Server is a server on a loopback address that handles connections itself.
type Server struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// NewServer starts a Server that gives the first request on each connection the same response, and ends the
// connection.
func NewServer(response Response) (*Server, error) {
	return NewConnServer(func(conn net.Conn) { serveConn(conn, response) })
}

// NewConnServer starts a Server that calls serve with each connection, and closes the connection when serve
// returns.
func NewConnServer(serve func(conn net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listening on the loopback interface")
	}
	s := &Server{listener: listener}
	s.wg.Go(func() { s.accept(serve) })
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept(serve func(conn net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.wg.Go(func() {
			defer func() { _ = conn.Close() }()
			serve(conn)
		})
	}
}

func serveConn(conn net.Conn, response Response) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !response.Unread {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	response.Serve(conn)
}
