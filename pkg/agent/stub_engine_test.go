package agent_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/agent"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

type step string

const (
	stepChunk      step = "chunk"
	stepHeartbeat  step = "heartbeat"
	stepRepeat     step = "repeat"
	stepGap        step = "gap"
	stepBreak      step = "break"
	stepLoseStream step = "lose stream"
)

// stubEngine streams an answer of a given number of chunks and injects the faults
// in script.
type stubEngine struct {
	chunks int
	// pad is the number of padding bytes in each chunk.
	pad int
	// permits, if not nil, delays each chunk until a value is received from it.
	permits chan struct{}
	// lateResponses makes Generate return no stream, although the engine runs the
	// request.
	lateResponses bool

	mu          sync.Mutex
	script      []step
	streamsLost bool
	received    int
	cancelled   int
}

func chunkText(seq uint64) string { return fmt.Sprintf("c%d ", seq) }

func fullText(chunks int) string {
	var text strings.Builder
	for i := range chunks {
		text.WriteString(chunkText(uint64(i) + 1))
	}
	return text.String()
}

func (e *stubEngine) next() step {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return stepChunk
	}
	s := e.script[0]
	e.script = e.script[1:]
	return s
}

func (e *stubEngine) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	if e.lateResponses {
		return nil, engine.ErrConnectionLost
	}
	return &stubStream{engine: e, ctx: ctx, seq: 1}, nil
}

func (e *stubEngine) Resume(ctx context.Context, _ string, from uint64) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streamsLost {
		return nil, engine.ErrUnknownStream
	}
	return &stubStream{engine: e, ctx: ctx, seq: from}, nil
}

func (e *stubEngine) Cancel(context.Context, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	return nil
}

func (e *stubEngine) counts() (received, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received, e.cancelled
}

type noEvents struct{ ctx context.Context }

func (n noEvents) Recv() (engine.CacheEvent, error) {
	<-n.ctx.Done()
	return engine.CacheEvent{}, engine.ErrConnectionLost
}
func (n noEvents) Close() error { return nil }

func (e *stubEngine) CacheEvents(ctx context.Context, _, _ uint64) (engine.EventStream, error) {
	return noEvents{ctx}, nil
}

func (e *stubEngine) LoadReport(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{BootID: 1, TotalBlocks: 100, FreeBlocks: 100, PrefillTokensPerSecond: 1e6,
		Models: []engine.LoadedModel{{Model: "m", WeightsVersion: "v"}}}, nil
}
func (e *stubEngine) SendOrder(context.Context, engine.Order) error                   { return nil }
func (e *stubEngine) ImportBlocks(context.Context, engine.ImportRequest) (int, error) { return 0, nil }

type stubStream struct {
	engine *stubEngine
	ctx    context.Context
	seq    uint64
}

func (s *stubStream) Close() error { return nil }

func (s *stubStream) chunk(seq uint64) engine.Chunk {
	c := engine.Chunk{Seq: seq, Text: chunkText(seq) + strings.Repeat("x", s.engine.pad), Tokens: 1}
	if int(seq) == s.engine.chunks {
		c.FinishReason, c.Usage = "stop", &engine.Usage{PromptTokens: 1, CompletionTokens: s.engine.chunks}
	}
	return c
}

func (s *stubStream) Recv() (engine.Chunk, error) {
	if s.engine.permits != nil {
		select {
		case <-s.engine.permits:
		case <-s.ctx.Done():
			return engine.Chunk{}, engine.ErrConnectionLost
		}
	}
	if int(s.seq) > s.engine.chunks {
		return engine.Chunk{}, io.EOF
	}
	switch s.engine.next() {
	case stepHeartbeat:
		return engine.Chunk{}, nil
	case stepRepeat:
		return s.chunk(max(s.seq-1, 1)), s.repeatError()
	case stepGap:
		return s.chunk(s.seq + 1), nil
	case stepBreak:
		return engine.Chunk{}, engine.ErrConnectionLost
	case stepLoseStream:
		s.engine.mu.Lock()
		s.engine.streamsLost = true
		s.engine.mu.Unlock()
		return engine.Chunk{}, engine.ErrConnectionLost
	}
	s.engine.mu.Lock()
	s.engine.received++
	s.engine.mu.Unlock()
	s.seq++
	return s.chunk(s.seq - 1), nil
}

// repeatError breaks the stream if there is no earlier chunk to repeat.
func (s *stubStream) repeatError() error {
	if s.seq == 1 {
		return engine.ErrConnectionLost
	}
	return nil
}

type testScope interface {
	Cleanup(func())
	Fatalf(string, ...any)
}

// harness runs an agent with a peer listener and a client for it.
type harness struct {
	agent   *agent.Agent
	engine  *stubEngine
	peers   *peer.Client
	address string
}

func newHarness(t testScope, e *stubEngine) *harness {
	ctx, cancel := context.WithCancel(context.Background())
	trust, err := bundle.NewTrustPolicy(nil, 0)
	if err != nil {
		t.Fatalf("%v", err)
	}
	options := agent.DefaultOptions()
	options.HeartbeatPeriod = 20 * time.Millisecond
	options.OrphanTimeout = 2 * time.Second
	a := agent.New(ctx, agent.Config{
		Identity: agent.Identity{VM: "vm", BootID: 1}, Options: options, Log: eventlog.Discard(), Engine: e,
		Bundles: bundle.NewStore(trust, eventlog.Discard()), Directory: schedule.NewDirectory(time.Minute),
	})
	server, err := peer.Listen("127.0.0.1:0", nil, a)
	if err != nil {
		t.Fatalf("%v", err)
	}
	var work sync.WaitGroup
	work.Go(func() { a.Run(ctx) })
	work.Go(func() { _ = server.Serve(ctx) })
	h := &harness{agent: a, engine: e, address: server.Address(), peers: peer.NewClient(peer.ClientOptions{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4})}
	t.Cleanup(func() { cancel(); work.Wait(); _ = h.peers.Close() })
	if !eventually(func() bool { return a.CurrentStatus().EngineReported }) {
		t.Fatalf("the engine has sent no load report")
	}
	return h
}

func newDispatchRequest() *peerpb.DispatchRequest {
	return &peerpb.DispatchRequest{RequestId: "r", Attempt: 1, Account: "a", Model: "m", WeightsVersion: "v", CacheSalt: "s",
		BlockTokens: 100, Prompt: []byte("p"), PromptTokens: 1, MaxTokens: 1 << 20, EngineBoot: 1, FirstTokenTimeoutMs: 60000}
}

type frameReceiver interface {
	Recv() (*peerpb.Frame, error)
	Close() error
}

// open dispatches the request if from is 0, and otherwise resumes its answer
// starting at that frame number.
func (h *harness) open(ctx context.Context, from uint64) (frameReceiver, error) {
	client := h.peers.Agent(ctx, h.address)
	if from == 0 {
		return client.Dispatch(ctx, newDispatchRequest())
	}
	return client.Resume(ctx, &peerpb.ResumeRequest{RequestId: "r", Attempt: 1, FromSeq: from})
}

// receivedAnswer is the part of an answer that a reader has received.
type receivedAnswer struct {
	text    strings.Builder
	nextSeq uint64
	ended   bool
	refusal *peerpb.Refusal
}

// read reads up to limit frames from one connection. It returns an error for a
// frame that violates the protocol.
func (a *receivedAnswer) read(stream frameReceiver, limit int) error {
	for range limit {
		frame, err := stream.Recv()
		if err != nil {
			return nil
		}
		if frame.RequestId != "r" || frame.Attempt != 1 {
			return fmt.Errorf("frame belongs to request %s, attempt %d", frame.RequestId, frame.Attempt)
		}
		if frame.GetHeartbeat() != nil {
			continue
		}
		if frame.Seq != a.nextSeq {
			return fmt.Errorf("got frame %d, want %d", frame.Seq, a.nextSeq)
		}
		a.nextSeq++
		a.text.WriteString(frame.GetDelta().GetText())
		a.refusal = frame.GetRefusal()
		if frame.GetDone() != nil || a.refusal != nil {
			a.ended = true
			return nil
		}
	}
	return nil
}
