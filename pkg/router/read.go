package router

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// errFrameTimeout means that no frame arrived within FirstFrameTimeout or
// FrameTimeout.
const errFrameTimeout = errors.ConstError("no frame received before the timeout")

// frameResult is one frame or the error that ended the connection.
type frameResult struct {
	frame *peerpb.Frame
	err   error
}

// readFrames relays the frames of one connection. A nil error means that the
// attempt has ended, either with the refusal or, if that is nil, with the full
// answer.
func (a *attempt) readFrames(ctx context.Context, open func(context.Context) (frameStream, error)) (*outcome.Refusal, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan frameResult, 1)
	go receiveFrames(ctx, open, frames)
	frameTimeout := a.completion.router.Options.FirstFrameTimeout
	timer := time.NewTimer(frameTimeout)
	defer timer.Stop()
	for {
		timer.Reset(frameTimeout)
		select {
		case result := <-frames:
			if result.err != nil {
				return nil, result.err
			}
			frameTimeout = a.completion.router.Options.FrameTimeout
			done, refusal, err := a.handleFrame(result.frame)
			if done || err != nil {
				return refusal, err
			}
		case <-timer.C:
			return nil, errFrameTimeout
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// receiveFrames opens a connection and sends its frames to the channel until the
// connection or ctx ends.
func receiveFrames(ctx context.Context, open func(context.Context) (frameStream, error), frames chan<- frameResult) {
	stream, err := open(ctx)
	if err != nil {
		sendFrame(ctx, frames, frameResult{err: err})
		return
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Recv()
		if !sendFrame(ctx, frames, frameResult{frame: frame, err: err}) || err != nil {
			return
		}
	}
}

func sendFrame(ctx context.Context, frames chan<- frameResult, result frameResult) bool {
	select {
	case frames <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleFrame validates a frame's request, attempt and sequence number and delivers
// it. A frame of another request or attempt, or a gap in the sequence, fails the
// connection; duplicate frames are skipped.
func (a *attempt) handleFrame(frame *peerpb.Frame) (bool, *outcome.Refusal, error) {
	if frame.RequestId != a.request.RequestId || frame.Attempt != a.request.Attempt {
		return false, nil, errors.Errorf("unexpected frame of request %s, attempt %d", frame.RequestId, frame.Attempt)
	}
	if frame.Seq < a.nextSeq {
		return false, nil, nil
	}
	if frame.Seq > a.nextSeq {
		return false, nil, errors.Errorf("gap in frame sequence: received %d after %d", frame.Seq, a.nextSeq-1)
	}
	a.nextSeq++
	done, refusal := a.deliverFrame(frame)
	return done, refusal, nil
}
