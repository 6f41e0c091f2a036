package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/operator"
)

// operatorHeaderTimeout limits the time for reading the headers of an operator's
// request.
const operatorHeaderTimeout = 5 * time.Second

// operatorServer is the HTTP server for operators. It is nil if no address is set;
// its methods do nothing then.
type operatorServer struct {
	listener net.Listener
	server   *http.Server
}

func newOperatorServer(settings config.OperatorListener, process operator.Process, m *metrics.Metrics) (*operatorServer, error) {
	if settings.Address == "" {
		return nil, nil
	}
	listener, err := listen(settings.Address, settings.TLS)
	if err != nil {
		return nil, errors.Annotate(err, "operators' listener")
	}
	return &operatorServer{
		listener: listener,
		server: &http.Server{
			Handler:           operator.NewHandler(process, m.Handler()),
			ReadHeaderTimeout: operatorHeaderTimeout,
		},
	}, nil
}

func (o *operatorServer) start() {
	if o != nil {
		go func() { _ = o.server.Serve(o.listener) }()
	}
}

func (o *operatorServer) close() {
	if o != nil {
		_ = o.server.Close()
	}
}
