package agent

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// frameStream is the stream of frames to one router.
type frameStream interface {
	Send(*peerpb.Frame) error
	Context() context.Context
}

// Dispatch implements the peer protocol. A repeated dispatch of an attempt does not
// run the prompt again: it returns the frames of the existing answer.
func (a *Agent) Dispatch(req *peerpb.DispatchRequest, stream peerpb.DRPCAgent_DispatchStream) error {
	key := answerKey{requestID: req.RequestId, attempt: req.Attempt}
	if entry, ok := a.answers.lookup(key); ok {
		// The work has already started, so a refusal with RanNo would be wrong.
		return a.sendFrames(entry.log, 1, stream)
	}
	if refusal := a.checkDispatch(); refusal != nil {
		return stream.Send(refusalFrame(req.RequestId, req.Attempt, 1, refusal))
	}
	workCtx, entry, isNew := a.answers.start(a.workCtx, key, time.Now())
	if isNew {
		go a.runPrompt(workCtx, req, entry)
	}
	return a.sendFrames(entry.log, 1, stream)
}

func (a *Agent) checkDispatch() *outcome.Refusal {
	if a.target == nil {
		return outcome.NotRun(outcome.CodeNoTarget, "the target is no model engine")
	}
	if a.leaving.Load() {
		return outcome.NotRun(outcome.CodeLeaving, "the target is leaving")
	}
	return nil
}

// Resume implements the peer protocol. It sends an answer starting at a given frame
// number.
func (a *Agent) Resume(req *peerpb.ResumeRequest, stream peerpb.DRPCAgent_ResumeStream) error {
	entry, ok := a.answers.lookup(answerKey{requestID: req.RequestId, attempt: req.Attempt})
	if !ok {
		refusal := &outcome.Refusal{Code: outcome.CodeTargetFailed, Ran: outcome.RanUnknown,
			Message: "the answer is not known here"}
		return stream.Send(refusalFrame(req.RequestId, req.Attempt, req.FromSeq, refusal))
	}
	return a.sendFrames(entry.log, max(req.FromSeq, 1), stream)
}

// Cancel implements the peer protocol. It cancels an answer in progress.
func (a *Agent) Cancel(_ context.Context, req *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	entry, ok := a.answers.lookup(answerKey{requestID: req.RequestId, attempt: req.Attempt})
	if ok {
		entry.log.abandon()
		entry.cancel()
	}
	return &peerpb.CancelReply{Origin: a.origin(), Found: ok}, nil
}

// sendFrames sends the frames of a log from number seq until the answer ends. It
// sends heartbeats while no frame is available.
func (a *Agent) sendFrames(log *answerLog, seq uint64, stream frameStream) error {
	readerID := log.attach(time.Now())
	defer func() { log.detach(readerID, time.Now()) }()
	// The first heartbeat acknowledges the router's message immediately.
	if err := stream.Send(heartbeatFrame(log)); err != nil {
		return err
	}
	heartbeat := time.NewTicker(a.options.HeartbeatPeriod)
	defer heartbeat.Stop()
	for {
		result := log.read(readerID, seq, time.Now())
		if result.frame != nil {
			if err := stream.Send(result.frame); err != nil {
				return err
			}
			seq++
			continue
		}
		if result.finished {
			return nil
		}
		select {
		case <-result.changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-heartbeat.C:
			if err := stream.Send(heartbeatFrame(log)); err != nil {
				return err
			}
		}
	}
}

func heartbeatFrame(log *answerLog) *peerpb.Frame {
	return &peerpb.Frame{
		RequestId: log.requestID,
		Attempt:   log.attempt,
		Body:      &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{}},
	}
}

// refusalFrame returns the final frame of an attempt that has no answer log.
func refusalFrame(requestID string, attempt uint32, seq uint64, refusal *outcome.Refusal) *peerpb.Frame {
	return &peerpb.Frame{
		RequestId: requestID,
		Attempt:   attempt,
		Seq:       seq,
		Body:      &peerpb.Frame_Refusal{Refusal: peer.ToRefusal(refusal)},
	}
}
