package relay

import (
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

// roundTrip connects to the target, sends the request and handles the response.
func (q *request) roundTrip(a *attempt) outcome {
	relay := q.relay
	target := &a.choice.Target
	conn, err := relay.connect(a.ctx, target, relay.connLimit(q.config, q.service), q.usedConns)
	if err != nil {
		a.err = err
		return notSent
	}
	if err := q.checkRun(a, conn); err != nil {
		a.err = err
		return notSent
	}
	a.isConnKept = conn.IsKept()
	exchange, sent, err := conn.Send(a.ctx, &targetconn.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: relay.Codec.ForwardHeader(q.r.Header, q.forwardFields(a)), Body: q.body,
		HeadMemory: a.headMemory,
	})
	a.sent = sent
	if err != nil {
		a.err = err
		if !sent {
			return notSent
		}
		return failed
	}
	a.exchange, a.answeredAt = exchange, relay.Now()
	a.responseMeta = relay.Codec.DecodeResponse(exchange.Response, target.ID)
	exchange.SetIdleTimeout(a.responseMeta.KeepAlive)
	q.recordTargetRequests(a)
	q.reportLoad(a)
	if a.responseMeta.RequestID != q.meta.ID {
		exchange.Finish(false)
		a.err = errors.Errorf("response has another request's ID %q", a.responseMeta.RequestID)
		return failed
	}
	if !a.responseMeta.InstanceMismatch {
		a.tracked.RecordProgress(a.answeredAt)
	}
	if conn.LeadsToRun() {
		relay.TargetRuns.Running(target.Boot(), a.startedAt)
	}
	relay.Quarantine.Answered(target.Boot(), a.startedAt)
	if a.responseMeta.HasLoad {
		relay.Balancer.RecordLoad(relay.Now(), target.Boot(), a.responseMeta.Load)
	}
	if a.responseMeta.WeightsVersion > 0 {
		relay.Balancer.RecordVersion(target.Boot(), q.meta.Model, a.responseMeta.WeightsVersion)
	}
	return q.handleResponse(a)
}

// recordTargetRequests records that the target wants no further requests, because
// it is leaving, or none for some time.
func (q *request) recordTargetRequests(a *attempt) {
	if a.responseMeta.InstanceMismatch {
		return
	}
	boot := a.choice.Target.Boot()
	if a.responseMeta.Leaving {
		q.relay.OnLeaving(boot)
	}
	q.recordLimit(a, boot)
	if pause := a.responseMeta.Pause; pause > 0 {
		q.relay.Balancer.Pause(boot, q.relay.Now()+pause)
		q.relay.Log.Log(eventlog.TargetPaused, "request_id", q.meta.ID, "target", boot.ID, "born", boot.StartUnixMS, "pause_ms", pause.Milliseconds())
	}
}

// recordLimit records the limit that a response names for its target, or that it names
// none.
func (q *request) recordLimit(a *attempt, boot fleet.Boot) {
	limit := &a.responseMeta.Limit
	switch {
	case limit.Invalid != "":
		q.relay.Log.Log(eventlog.TargetLimitInvalid, "request_id", q.meta.ID, "target", boot.ID, "born", boot.StartUnixMS, "value", limit.Invalid)
	case limit.Named, !a.responseMeta.NotRun:
		q.relay.OnLimit(q.meta.ID, boot, a.startedAt, *limit)
	}
}

// connLimit returns this process's share of the connections that a target
// accepts.
func (l *Relay) connLimit(config *fleet.Config, service string) int {
	const unlimited = 1 << 20
	maxConns := config.Services[service].MaxConns
	if maxConns <= 0 {
		return unlimited
	}
	return max(2, maxConns/(l.Processes()+1))
}

func (q *request) forwardFields(a *attempt) call.ForwardFields {
	fields := call.ForwardFields{
		TargetID:    a.choice.Target.ID,
		Deadline:    q.remaining(),
		Account:     q.accountName(),
		LastEventID: a.position.LastID,
		HasPriority: true,
		Priority:    q.priority(),
	}
	if a.choice.CacheSalt == "" {
		fields.HasPriority = false
		return fields
	}
	fields.WeightsVersion = a.choice.Version
	fields.CacheSalt = a.choice.CacheSalt
	q.setCacheFields(a, &fields)
	return fields
}

// setCacheFields sets the addresses that the target imports the shared prompt
// part from and saves it to.
func (q *request) setCacheFields(a *attempt, fields *call.ForwardFields) {
	fields.FetchFrom = a.choice.ImportAddress
	if a.choice.SaveToStore {
		fields.SaveTo = a.choice.StoreAddress
	}
}
