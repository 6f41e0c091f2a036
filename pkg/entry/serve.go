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

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// maxDrainMargin and drainMarginDivisor limit the part of the grace period that
	// remains when the process stops waiting for targets.
	maxDrainMargin     = time.Second
	drainMarginDivisor = 6
	// finalResponseTimeout is the time that the remaining requests then have to
	// write their final responses.
	finalResponseTimeout = 500 * time.Millisecond
)

// readiness holds the conditions under which the process accepts callers.
type readiness struct {
	configured    atomic.Bool
	targetsListed atomic.Bool
	// membersListed is set once the keys of the entry processes have been read, with
	// what they know of requests that crash targets.
	membersListed atomic.Bool
	// softwareRecorded is set once each service with targets may begin streams at some of them.
	softwareRecorded atomic.Bool
	// streamsKnown is set once the other processes have told the streams of which this one is a
	// witness, or have had the time to.
	streamsKnown atomic.Bool
}

func (e *Entry) isReady() bool {
	r := &e.ready
	return r.configured.Load() && r.targetsListed.Load() && r.membersListed.Load() && r.softwareRecorded.Load() && r.streamsKnown.Load() && !e.stopping.Load()
}

// serve serves callers, readiness checks and metrics until stopCtx is cancelled,
// and then drains.
func (e *Entry) serve(stopCtx context.Context) error {
	callers := e.newCallerServer()
	ready := e.newSmallServer("ready", e.readyHandler())
	metrics := e.newSmallServer("metrics", e.metricsHandler())
	serveErrors := make(chan error, 3)
	start := func(server *callerserver.Server, address string) error {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", address)
		}
		go func() { serveErrors <- server.Serve(listener) }()
		return nil
	}
	// The balancer sends callers as soon as the readiness check succeeds, so the
	// callers' listener opens first.
	if err := start(callers, e.settings.CallerAddress); err != nil {
		return err
	}
	if err := start(ready, e.settings.ReadyAddress); err != nil {
		return err
	}
	if e.settings.MetricsPort > 0 {
		address := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.MetricsPort))
		if err := start(metrics, address); err != nil {
			e.log.Log(eventlog.DutyFailed, "duty", "metrics", "err", err)
		}
	}
	e.log.Log(eventlog.Started, "address", e.settings.CallerAddress, "boot", e.bootID)
	select {
	case err := <-serveErrors:
		return errors.Annotate(err, "serving")
	case <-stopCtx.Done():
	}
	return e.drain(callers, ready, metrics)
}

// drain reports that the process is not ready, refuses new requests after the leave
// notice, closes the callers' listener and waits for the requests in progress. Those
// that remain near the end of the grace period get a response without waiting for
// their targets.
func (e *Entry) drain(callers *callerserver.Server, ready, metrics *callerserver.Server) error {
	startedAt := time.Now()
	drainTime := e.settings.StopGrace - drainMargin(e.settings.StopGrace)
	e.drainEnd.Store(int64(e.uptime() + drainTime))
	e.stopping.Store(true)
	e.log.Log(eventlog.Stopping, "signal", "terminated")
	e.streamOrigins.handOver()
	e.lease.release()
	e.balancer.Limits().Leave(e.uptime())
	clock.Sleep(context.Background(), e.settings.LeaveNotice)
	e.refusing.Store(true)
	drainDeadline := startedAt.Add(drainTime)
	expireTimer := time.AfterFunc(time.Until(drainDeadline), func() {
		// The callers whose streams are cut now take them up at other processes.
		e.streamOrigins.handOver()
		e.expireDrain()
	})
	defer expireTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), drainDeadline.Add(finalTimeout(e.settings.StopGrace)))
	defer cancel()
	e.cutRequests = callers.Drain(ctx, drainDeadline)
	// Readiness checks and metrics need no graceful shutdown.
	_ = ready.Close()
	_ = metrics.Close()
	if e.cutRequests > 0 {
		return errors.Errorf("%d requests were cut by the planned stop", e.cutRequests)
	}
	return nil
}

// drainMargin returns the part of a grace period that remains when the process stops
// waiting for targets.
func drainMargin(grace time.Duration) time.Duration {
	return min(maxDrainMargin, grace/drainMarginDivisor)
}

// finalTimeout returns the part of a grace period for the final responses. It ends
// before the grace period.
func finalTimeout(grace time.Duration) time.Duration {
	return min(finalResponseTimeout, drainMargin(grace)/2)
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
