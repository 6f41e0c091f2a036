package peer

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// MaxMessageBytes limits the size of one message between peers.
const MaxMessageBytes = 8 << 20

// Server serves the agent protocol.
type Server struct {
	listener net.Listener
	server   *drpcserver.Server
}

// Listen returns a Server for agent that listens at address (host:port). It uses
// mutual TLS if tlsConfig is not nil.
func Listen(address string, tlsConfig *tls.Config, agent peerpb.DRPCAgentServer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "peer listener")
	}
	return ListenOn(listener, tlsConfig, agent)
}

// ListenOn is like Listen but uses an existing listener, which it closes on error.
func ListenOn(listener net.Listener, tlsConfig *tls.Config, agent peerpb.DRPCAgentServer) (*Server, error) {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterAgent(mux, agent); err != nil {
		_ = listener.Close()
		return nil, errors.Trace(err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return &Server{listener: listener, server: server}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve accepts connections and serves calls until ctx ends. It then closes the
// listener and all connections.
func (s *Server) Serve(ctx context.Context) error {
	return errors.Trace(s.server.Serve(ctx, s.listener))
}

// IsConnectionRefused reports whether a call failed because no process listens at the
// peer's address. Such a call was not sent.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, ErrConnectionRefused) || errors.Is(err, syscall.ECONNREFUSED)
}
