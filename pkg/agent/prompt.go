package agent

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// cancelTimeout limits the call that cancels a stream at the engine.
const cancelTimeout = time.Second

// runPrompt queues one prompt and runs it at the engine.
func (a *Agent) runPrompt(ctx context.Context, req *peerpb.DispatchRequest, entry *answerEntry) {
	defer func() { a.answers.finish(entry, time.Now()) }()
	refusal := a.admitAndRun(ctx, req, entry.log)
	if refusal != nil {
		a.log.Log(eventlog.PromptRefused, "request_id", req.RequestId, "attempt", req.Attempt,
			"code", refusal.Code, "ran", refusal.Ran.String(), "message", refusal.Message)
		entry.log.end(&peerpb.Frame{Body: &peerpb.Frame_Refusal{Refusal: peer.ToRefusal(refusal)}})
	}
}

func (a *Agent) admitAndRun(ctx context.Context, req *peerpb.DispatchRequest, log *answerLog) *outcome.Refusal {
	// The answer is registered before this check, so a drain that starts after the
	// check waits for it.
	if a.leaving.Load() {
		return outcome.NotRun(outcome.CodeLeaving, "the target is leaving")
	}
	a.importer.importBlocks(ctx, req)
	prompt, refusal := a.target.acquire(ctx, req)
	if refusal != nil {
		return refusal
	}
	return a.runAdmitted(ctx, req, log, prompt)
}

func (a *Agent) runAdmitted(ctx context.Context, req *peerpb.DispatchRequest, log *answerLog, prompt *runningPrompt) *outcome.Refusal {
	defer prompt.release()
	if refusal := a.target.revalidate(req); refusal != nil {
		return refusal
	}
	request := engineRequest(req)
	stream, err := a.generate(ctx, request)
	if err != nil {
		return generateRefusal(ctx, err)
	}
	relay := &streamRelay{agent: a, request: request, log: log, prompt: prompt}
	return relay.run(ctx, stream)
}

// generate starts a request at the engine. If the response is lost, the engine may
// run the request nevertheless, so its stream is requested once more. The error is
// that of the start, since that of the resume doesn't tell whether the request runs.
func (a *Agent) generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	stream, err := a.target.engine.Generate(ctx, request)
	if !errors.Is(err, engine.ErrConnectionLost) || ctx.Err() != nil {
		return stream, errors.Trace(err)
	}
	const firstChunk = 1
	resumed, resumeErr := a.target.engine.Resume(ctx, request.ID, firstChunk)
	if resumeErr != nil {
		return nil, errors.Trace(err)
	}
	a.log.Log(eventlog.EngineStreamResumed, "request_id", request.ID, "chunk", firstChunk)
	return resumed, nil
}

// engineRequestID returns the ID of an attempt at the engine and in the queue.
func engineRequestID(req *peerpb.DispatchRequest) string {
	return fmt.Sprintf("%s#%d", req.RequestId, req.Attempt)
}

func engineRequest(req *peerpb.DispatchRequest) engine.Request {
	return engine.Request{
		ID:                 engineRequestID(req),
		Model:              req.Model,
		WeightsVersion:     req.WeightsVersion,
		Adapter:            req.Adapter,
		CacheSalt:          req.CacheSalt,
		BlockHashes:        req.BlockHashes,
		BlockTokens:        int(req.BlockTokens),
		Prompt:             string(req.Prompt),
		AnswerPrefix:       req.AnswerPrefix,
		AnswerPrefixTokens: int(req.AnswerPrefixTokens),
		MaxTokens:          int(req.MaxTokens),
		Priority:           int(req.Priority),
	}
}

func generateRefusal(ctx context.Context, err error) *outcome.Refusal {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return outcome.NotRun(outcome.CodeNoTarget, "the engine can't be reached")
	case errors.Is(err, engine.ErrRejected):
		return outcome.NotRun(outcome.CodeOverloaded, "the engine rejected the request")
	case ctx.Err() != nil:
		return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: outcome.RanUnknown,
			Message: "the caller left"}
	default:
		return &outcome.Refusal{Code: outcome.CodeTargetFailed, Ran: outcome.RanUnknown,
			Message: "the engine broke off before its answer began"}
	}
}

// streamRelay copies one engine stream into an answer log.
type streamRelay struct {
	agent   *Agent
	request engine.Request
	log     *answerLog
	prompt  *runningPrompt
	// nextChunk is the sequence number of the next chunk expected from the engine.
	nextChunk uint64
}

// run copies the stream until it ends and resumes it when its connection breaks.
func (r *streamRelay) run(ctx context.Context, stream engine.Stream) *outcome.Refusal {
	r.nextChunk = 1
	if err := r.log.append(ctx, r.acceptedFrame()); err != nil {
		_ = stream.Close()
		return r.abandon()
	}
	for {
		err := r.copyChunks(ctx, stream)
		_ = stream.Close()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.abandon()
		}
		stream, err = r.resume(ctx)
		if err != nil {
			r.agent.log.Log(eventlog.EngineStreamLost, "request_id", r.request.ID, "chunk", r.nextChunk, "err", err)
			return &outcome.Refusal{Code: outcome.CodeTargetFailed, Ran: outcome.RanYes,
				Message: "the engine broke off its answer"}
		}
		r.agent.log.Log(eventlog.EngineStreamResumed, "request_id", r.request.ID, "chunk", r.nextChunk)
	}
}

// copyChunks copies chunks into the log. It returns nil after the last chunk, and
// an error if the stream breaks before.
func (r *streamRelay) copyChunks(ctx context.Context, stream engine.Stream) error {
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.Trace(engine.ErrConnectionLost)
		}
		if err != nil {
			return errors.Trace(err)
		}
		if chunk.Seq < r.nextChunk {
			// This is a heartbeat, or a chunk that was received on an earlier
			// connection.
			continue
		}
		if chunk.Seq > r.nextChunk {
			return errors.Annotatef(engine.ErrConnectionLost, "chunk %d received after chunk %d", chunk.Seq, r.nextChunk-1)
		}
		r.nextChunk++
		if chunk.FinishReason != "" {
			return r.finish(ctx, chunk)
		}
		if err := r.forward(ctx, chunk); err != nil {
			return err
		}
	}
}

func (r *streamRelay) forward(ctx context.Context, chunk engine.Chunk) error {
	r.prompt.onDelta(chunk.Tokens)
	return r.log.append(ctx, deltaFrame(chunk))
}

func (r *streamRelay) finish(ctx context.Context, chunk engine.Chunk) error {
	if chunk.Text != "" {
		if err := r.forward(ctx, chunk); err != nil {
			return err
		}
	}
	var usage engine.Usage
	if chunk.Usage != nil {
		usage = *chunk.Usage
	}
	r.prompt.onDone(usage)
	r.log.end(&peerpb.Frame{Body: &peerpb.Frame_Done{Done: &peerpb.Done{
		FinishReason:     chunk.FinishReason,
		PromptTokens:     uint32(usage.PromptTokens),
		CachedTokens:     uint32(usage.CachedTokens),
		CompletionTokens: uint32(usage.CompletionTokens),
	}}})
	return nil
}

// resumeInterval is the delay between attempts to resume an engine stream.
const resumeInterval = 50 * time.Millisecond

// resume reopens the engine stream at the next chunk. It retries until
// ResumeTimeout has passed or the engine no longer has the stream.
func (r *streamRelay) resume(ctx context.Context) (engine.Stream, error) {
	deadline := time.Now().Add(r.agent.options.ResumeTimeout)
	for {
		stream, err := r.agent.target.engine.Resume(ctx, r.request.ID, r.nextChunk)
		if err == nil {
			return stream, nil
		}
		if errors.Is(err, engine.ErrUnknownStream) || time.Now().After(deadline) {
			return nil, errors.Trace(err)
		}
		select {
		case <-time.After(resumeInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// abandon cancels the request at the engine after the caller has disconnected.
func (r *streamRelay) abandon() *outcome.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.agent.target.engine.Cancel(ctx, r.request.ID); err != nil {
		r.agent.log.Log(eventlog.EngineCancelFailed, "request_id", r.request.ID, "err", err)
	}
	return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: outcome.RanYes, Message: "the caller left"}
}

func (r *streamRelay) acceptedFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Accepted{Accepted: &peerpb.Accepted{Origin: r.agent.origin()}}}
}

func deltaFrame(chunk engine.Chunk) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Delta{Delta: &peerpb.Delta{
		Text: chunk.Text, Tokens: uint32(chunk.Tokens),
	}}}
}
