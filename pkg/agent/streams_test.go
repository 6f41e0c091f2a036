package agent_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/agent"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
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

// TestFramesUnderFaults checks that, for any faults of the engine's and the router's
// connections, the frames contain the whole answer in order, or a prefix of it
// followed by a refusal.
func TestFramesUnderFaults(t *testing.T) {
	steps := []step{stepChunk, stepChunk, stepChunk, stepHeartbeat, stepRepeat, stepGap, stepBreak, stepBreak, stepLoseStream}
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 12
		h := newHarness(t, &stubEngine{chunks: chunks,
			script: rapid.SliceOfN(rapid.SampledFrom(steps), 0, 16).Draw(t, "engine")})
		limits := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(t, "reads")
		a := &receivedAnswer{nextSeq: 1}
		for try := 0; !a.ended; try++ {
			limit := 1000
			if try < len(limits) {
				limit = limits[try]
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			from := a.nextSeq
			if try == 0 {
				from = 0
			}
			stream, err := h.open(ctx, from)
			if err == nil {
				err = a.read(stream, limit)
			}
			cancel()
			if err != nil {
				t.Fatalf("try %d: %v", try, err)
			}
		}
		text := a.text.String()
		if !strings.HasPrefix(fullText(chunks), text) {
			t.Fatalf("text %q is not a prefix of the answer", text)
		}
		if a.refusal == nil && text != fullText(chunks) {
			t.Fatalf("text %q is truncated without a refusal", text)
		}
		if a.refusal != nil && text != "" && a.refusal.Ran != uint32(outcome.RanYes) {
			t.Fatalf("refusal after text %q has ran=%d, want RanYes", text, a.refusal.Ran)
		}
	})
}

// TestAnswerOfSilentEngine guards against a request that fails although its engine
// runs it and was only silent for a moment before its response.
func TestAnswerOfSilentEngine(t *testing.T) {
	dispatch := func(e *stubEngine) *receivedAnswer {
		h := newHarness(conveyScope{t}, e)
		stream, err := h.open(t.Context(), 0)
		So(err, ShouldBeNil)
		a := &receivedAnswer{nextSeq: 1}
		So(a.read(stream, 100), ShouldBeNil)
		return a
	}
	Convey("A request whose response header is late gets the whole answer", t, func() {
		a := dispatch(&stubEngine{chunks: 3, lateResponses: true})
		So(a.refusal, ShouldBeNil)
		So(a.text.String(), ShouldEqual, fullText(3))
	})
	Convey("A request that the engine doesn't have may have run", t, func() {
		a := dispatch(&stubEngine{chunks: 3, lateResponses: true, streamsLost: true})
		So(a.refusal, ShouldNotBeNil)
		So(a.refusal.Code, ShouldEqual, string(outcome.CodeTargetFailed))
		So(a.refusal.Ran, ShouldEqual, uint32(outcome.RanUnknown))
	})
}

func TestAnswerReaders(t *testing.T) {
	Convey("Given an agent with an engine", t, func() {
		Convey("a reader that reads nothing limits how much is read from the engine", func() {
			const chunks, pad = 10000, 4096
			e := &stubEngine{chunks: chunks, pad: pad}
			h := newHarness(conveyScope{t}, e)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stream, err := h.open(ctx, 0)
			So(err, ShouldBeNil)
			So(waitUntilStable(func() int { n, _ := e.counts(); return n }), ShouldBeLessThan, chunks/2)
			a := &receivedAnswer{nextSeq: 1}
			So(a.read(stream, 2*chunks), ShouldBeNil)
			So(a.text.Len(), ShouldEqual, len(fullText(chunks))+chunks*pad)
		})
		Convey("an answer without a reader is cancelled at the engine", func() {
			e := &stubEngine{chunks: 10, permits: make(chan struct{})}
			h := newHarness(conveyScope{t}, e)
			ctx, cancel := context.WithCancel(t.Context())
			stream, err := h.open(ctx, 0)
			So(err, ShouldBeNil)
			So((&receivedAnswer{nextSeq: 1}).read(stream, 2), ShouldBeNil)
			cancel()
			So(eventually(func() bool { _, n := e.counts(); return n == 1 }), ShouldBeTrue)
		})
		Convey("a resume from frame 0 starts at the first frame", func() {
			h := newHarness(conveyScope{t}, &stubEngine{chunks: 3})
			stream, err := h.open(t.Context(), 0)
			So(err, ShouldBeNil)
			So((&receivedAnswer{nextSeq: 1}).read(stream, 1), ShouldBeNil)
			again, err := h.peers.Agent(t.Context(), h.address).Resume(t.Context(),
				&peerpb.ResumeRequest{RequestId: "r", Attempt: 1})
			So(err, ShouldBeNil)
			a := &receivedAnswer{nextSeq: 1}
			So(a.read(again, 100), ShouldBeNil)
			So(a.text.String(), ShouldEqual, fullText(3))
		})
		Convey("while the agent is leaving", func() {
			e := &stubEngine{chunks: 3, permits: make(chan struct{}, 3)}
			h := newHarness(conveyScope{t}, e)
			stream, err := h.open(t.Context(), 0)
			So(err, ShouldBeNil)
			a := &receivedAnswer{nextSeq: 1}
			So(a.read(stream, 2), ShouldBeNil)
			h.agent.Leave()
			Convey("a repeated dispatch of an answer in progress is not refused", func() {
				again, err := h.open(t.Context(), 0)
				So(err, ShouldBeNil)
				e.permits <- struct{}{}
				repeated := &receivedAnswer{nextSeq: 1}
				So(repeated.read(again, 4), ShouldBeNil)
				So(repeated.refusal, ShouldBeNil)
			})
			Convey("a new dispatch is refused as not run", func() {
				req := newDispatchRequest()
				req.RequestId = "other"
				stream, err := h.peers.Agent(t.Context(), h.address).Dispatch(t.Context(), req)
				So(err, ShouldBeNil)
				frame, err := stream.Recv()
				So(err, ShouldBeNil)
				So(frame.GetRefusal().GetCode(), ShouldEqual, string(outcome.CodeLeaving))
				So(frame.GetRefusal().GetRan(), ShouldEqual, uint32(outcome.RanNo))
			})
			Convey("Drain waits until a disconnected reader has resumed and read the rest", func() {
				_ = stream.Close()
				// This leaves the agent time to detect the closed connection.
				time.Sleep(300 * time.Millisecond)
				for range 3 {
					e.permits <- struct{}{}
				}
				So(eventually(func() bool { return h.agent.CurrentStatus().AnswersInProgress == 0 }), ShouldBeTrue)
				drained := make(chan int, 1)
				go func() { drained <- h.agent.Drain(t.Context()) }()
				select {
				case <-drained:
					So("Drain returned before the answer was read", ShouldBeEmpty)
				case <-time.After(60 * time.Millisecond):
				}
				rest, err := h.open(t.Context(), a.nextSeq)
				So(err, ShouldBeNil)
				So(a.read(rest, 100), ShouldBeNil)
				So(a.text.String(), ShouldEqual, fullText(3))
				So(<-drained, ShouldEqual, 0)
			})
		})
	})
}

// waitUntilStable polls count until it is above 0 and unchanged, and returns it. It
// returns the last value after 10 seconds.
func waitUntilStable(count func() int) int {
	last := -1
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		now := count()
		if now == last && now > 0 {
			return now
		}
		last = now
	}
	return last
}

type conveyScope struct{ *testing.T }

func (conveyScope) Cleanup(f func()) { Reset(f) }

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
