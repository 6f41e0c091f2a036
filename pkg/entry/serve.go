package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/relay"
)

const (
	// stopMargin is left of the grace time when waiting for targets ends.
	stopMargin = time.Second
	// concludeTime is what the requests that are left then have to write their
	// final answers.
	concludeTime = 500 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration
	// is known when the server starts.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	maxHeaderBytes       = 64 << 10
)

// readiness says whether callers may be sent here.
type readiness struct {
	configured atomic.Bool
	listed     atomic.Bool
}

func (e *Entry) isReady() bool {
	return e.ready.configured.Load() && e.ready.listed.Load() && !e.stopping.Load()
}

// serve serves callers, readiness checks and metrics until stop ends, and then
// drains: first it says that it isn't ready, then it takes no new connections,
// and last it waits for the requests that it has. Those that are left near the
// end of the grace time get their final answer without their targets'.
func (e *Entry) serve(stop context.Context) error {
	callers := &http.Server{
		Handler: e.relay, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: relay.ConnContext,
	}
	ready := &http.Server{Handler: e.readyHandler(), ReadHeaderTimeout: defaultHeaderTimeout}
	metrics := &http.Server{Handler: e.metricsHandler(), ReadHeaderTimeout: defaultHeaderTimeout}
	failed := make(chan error, 3)
	start := func(server *http.Server, address string) error {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", address)
		}
		go func() { failed <- server.Serve(listener) }()
		return nil
	}
	if err := start(ready, e.settings.ReadyAddress); err != nil {
		return err
	}
	if err := start(callers, e.settings.CallerAddress); err != nil {
		return err
	}
	if e.settings.MetricsPort > 0 {
		address := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.MetricsPort))
		if err := start(metrics, address); err != nil {
			e.log.Log(eventlog.DutyFailed, "duty", "metrics", "err", err)
		}
	}
	e.log.Log(eventlog.Started, "address", e.settings.CallerAddress, "boot", e.boot)
	select {
	case err := <-failed:
		return errors.Annotate(err, "serving")
	case <-stop.Done():
	}
	return e.drain(callers, ready, metrics)
}

func (e *Entry) drain(callers, ready, metrics *http.Server) error {
	began := time.Now()
	e.stopping.Store(true)
	e.log.Log(eventlog.Stopping, "signal", "terminated")
	e.lease.release()
	clock.Sleep(context.Background(), e.settings.LeaveNotice)
	last := began.Add(e.settings.StopGrace - stopMargin)
	concluding := time.AfterFunc(time.Until(last), e.conclude)
	defer concluding.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), last.Add(concludeTime))
	defer cancel()
	err := callers.Shutdown(ctx)
	// Nothing waits on these two; what they still hold ends with the process.
	_ = ready.Close()
	_ = metrics.Close()
	return errors.Annotate(err, "waiting for requests")
}

func (e *Entry) readyHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

func (e *Entry) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", e.metrics.Handler())
	return router
}
