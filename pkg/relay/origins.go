package relay

import (
	"context"
	"net/http"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// StreamRef identifies a stream by the request that brought its first event.
type StreamRef struct {
	Account   string
	Service   string
	RequestID string
}

// StreamOrigins knows which software version of a service's targets began each stream.
type StreamOrigins interface {
	// SoftwareVersions returns the versions of a service that may begin streams that callers
	// may resume. The map must not be modified.
	SoftwareVersions(service string) map[string]bool
	// Began is called before the first event of a stream that callers may resume is
	// written to its caller. It must not block.
	Began(stream StreamRef, softwareVersion string)
	// Ended is called when the whole stream has been written to the caller.
	Ended(stream StreamRef)
	// Version returns the software version that began the stream that a request resumes,
	// if that is known. The stream's request ID is empty if the caller doesn't name it. It
	// waits for other processes for a short time.
	Version(ctx context.Context, requestID string, stream StreamRef) (softwareVersion string, known bool)
}

// resolveStreamVersion finds the software version that has to continue the stream that the
// request resumes. It returns a refusal if that is not known: a guess might join the halves
// of two streams that don't fit together.
func (q *request) resolveStreamVersion() *refusal {
	resumes := q.meta.LastEventID != "" || q.meta.ResumedID != ""
	if !resumes || !q.isResumableStream() || q.relay.StreamOrigins == nil {
		return nil
	}
	version, known := q.relay.StreamOrigins.Version(q.r.Context(), q.meta.ID, q.streamRef(q.meta.ResumedID))
	if !known {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stream_origin_unknown", retryAfter: notRunRetryAfter}
	}
	q.streamVersion = &version
	return nil
}

// recordStreamVersion records which software version writes the stream, before its first
// event is written to the caller.
func (q *request) recordStreamVersion(a *attempt) {
	if q.route.Kind != fleet.Stream {
		return
	}
	q.streamVersion = &a.choice.Target.SoftwareVersion
	if q.route.Resumable && q.relay.StreamOrigins != nil {
		q.relay.StreamOrigins.Began(q.streamRef(q.meta.ID), *q.streamVersion)
	}
}

// isResumableStream reports whether callers may resume the streams of the request's route.
func (q *request) isResumableStream() bool {
	return q.route.Kind == fleet.Stream && q.route.Resumable
}

func (q *request) streamRef(requestID string) StreamRef {
	return StreamRef{Account: q.accountName(), Service: q.service, RequestID: requestID}
}

// recordStreamEnd records that the caller has received the whole stream.
func (q *request) recordStreamEnd() {
	if q.isResumableStream() && q.relay.StreamOrigins != nil {
		q.relay.StreamOrigins.Ended(q.streamRef(q.meta.ID))
	}
}

// softwareVersions returns the software versions of the targets that may serve the request; nil
// if any may.
func (q *request) softwareVersions() map[string]bool {
	switch {
	case q.streamVersion != nil:
		return map[string]bool{*q.streamVersion: true}
	case q.isResumableStream() && q.relay.StreamOrigins != nil:
		return q.relay.StreamOrigins.SoftwareVersions(q.service)
	default:
		return nil
	}
}

// isHeldBack reports whether a new stream only lacks a target because none of the software
// versions of the service may begin streams yet.
func (q *request) isHeldBack(targets []fleet.Target) bool {
	versions := q.softwareVersions()
	if q.streamVersion != nil || versions == nil {
		return false
	}
	held := false
	for i := range targets {
		target := &targets[i]
		if target.Service != q.service || target.Draining {
			continue
		}
		if versions[target.SoftwareVersion] {
			return false
		}
		held = true
	}
	return held
}
