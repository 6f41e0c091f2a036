package router_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/admission"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/router"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// answerTokens is the length of the agents' answer in tokens.
const answerTokens = 10

// answerText returns the text of the agents' answer, starting at the token with index
// from.
func answerText(from int) string {
	var text strings.Builder
	for i := from; i < answerTokens; i++ {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

// connectionStep is what a scripted agent does next on a connection.
type connectionStep string

const (
	stepNextFrame     connectionStep = "next frame"
	stepHeartbeat     connectionStep = "heartbeat"
	stepRepeatFrame   connectionStep = "repeat frame"
	stepSkipFrame     connectionStep = "skip frame"
	stepOtherRequest  connectionStep = "other request"
	stepOtherAttempt  connectionStep = "other attempt"
	stepDisconnect    connectionStep = "disconnect"
	stepHang          connectionStep = "hang"
	stepForgetRequest connectionStep = "forget request"
)

// script is a list of connection steps. After the last step, agents send their
// frames without faults.
type script struct {
	mu    sync.Mutex
	steps []connectionStep
}

func (s *script) next() connectionStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return stepNextFrame
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

// scriptedAgent is an agent that follows the peer protocol, except for the faults
// in its script.
type scriptedAgent struct {
	peerpb.DRPCAgentUnimplementedServer
	vmID string
	// leaving makes the agent refuse dispatches; onCancel runs in each Cancel
	// call.
	leaving  bool
	onCancel func(context.Context)
	// silentUntil is the time until which the agent sends no frame.
	silentUntil time.Time

	script *script

	mu       sync.Mutex
	streams  int
	cancels  int
	dispatch *peerpb.DispatchRequest
}

func (s *scriptedAgent) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return &peerpb.ProbeReply{Origin: &peerpb.Origin{VmId: s.vmID, BootId: 1},
		State: peerpb.TargetState_TARGET_STATE_READY, EngineBoot: 1, ServesModel: true}, nil
}

func (s *scriptedAgent) Cancel(ctx context.Context, _ *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	s.mu.Lock()
	s.cancels++
	s.mu.Unlock()
	if s.onCancel != nil {
		s.onCancel(ctx)
	}
	return &peerpb.CancelReply{}, nil
}

func (s *scriptedAgent) callCounts() (streams, cancels int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams, s.cancels
}

type frameStream interface {
	Send(*peerpb.Frame) error
	Context() context.Context
}

func (s *scriptedAgent) Dispatch(req *peerpb.DispatchRequest, stream peerpb.DRPCAgent_DispatchStream) error {
	s.mu.Lock()
	s.dispatch = req
	s.mu.Unlock()
	if s.leaving {
		s.mu.Lock()
		s.streams++
		s.mu.Unlock()
		refusal := &peerpb.Refusal{Code: string(outcome.CodeLeaving)}
		return stream.Send(&peerpb.Frame{RequestId: req.RequestId, Attempt: req.Attempt, Seq: 1,
			Body: &peerpb.Frame_Refusal{Refusal: refusal}})
	}
	return s.sendFrames(req, 1, stream)
}

func (s *scriptedAgent) Resume(req *peerpb.ResumeRequest, stream peerpb.DRPCAgent_ResumeStream) error {
	s.mu.Lock()
	dispatch := s.dispatch
	s.mu.Unlock()
	if dispatch == nil || dispatch.RequestId != req.RequestId || dispatch.Attempt != req.Attempt {
		return stream.Send(refusalFrame(req.RequestId, req.Attempt, req.FromSeq))
	}
	return s.sendFrames(dispatch, req.FromSeq, stream)
}

func refusalFrame(id string, attempt uint32, seq uint64) *peerpb.Frame {
	return &peerpb.Frame{RequestId: id, Attempt: attempt, Seq: seq, Body: &peerpb.Frame_Refusal{
		Refusal: &peerpb.Refusal{Code: string(outcome.CodeTargetFailed), Ran: uint32(outcome.RanUnknown)}}}
}

// frame returns the answer frame with sequence number seq: an accepted frame, then
// a delta frame for each token, then a done frame.
func frame(req *peerpb.DispatchRequest, seq uint64) *peerpb.Frame {
	f := &peerpb.Frame{RequestId: req.RequestId, Attempt: req.Attempt, Seq: seq}
	token := int(req.AnswerPrefixTokens) + int(seq) - 2
	switch {
	case seq <= 1:
		f.Body = &peerpb.Frame_Accepted{Accepted: &peerpb.Accepted{}}
	case token < answerTokens:
		f.Body = &peerpb.Frame_Delta{Delta: &peerpb.Delta{Text: fmt.Sprintf("t%d ", token), Tokens: 1}}
	default:
		f.Body = &peerpb.Frame_Done{Done: &peerpb.Done{FinishReason: "stop",
			PromptTokens: 100 + req.AnswerPrefixTokens, CompletionTokens: answerTokens - req.AnswerPrefixTokens}}
	}
	return f
}

func (s *scriptedAgent) sendFrames(req *peerpb.DispatchRequest, seq uint64, stream frameStream) error {
	s.mu.Lock()
	s.streams++
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(s.silentUntil)):
	case <-stream.Context().Done():
		return nil
	}
	foreignFrame := func(id string, attempt uint32) *peerpb.Frame {
		return &peerpb.Frame{RequestId: id, Attempt: attempt, Seq: seq,
			Body: &peerpb.Frame_Delta{Delta: &peerpb.Delta{Text: "FOREIGN ", Tokens: 1}}}
	}
	for {
		out := frame(req, seq)
		step := s.script.next()
		switch step {
		case stepNextFrame:
			seq++
		case stepHeartbeat:
			out = &peerpb.Frame{RequestId: req.RequestId, Attempt: req.Attempt,
				Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
		case stepRepeatFrame:
			out = frame(req, max(seq-1, 1))
			if seq == 1 {
				continue
			}
		case stepSkipFrame:
			out = frame(req, seq+1)
		case stepOtherRequest:
			out = foreignFrame("other", req.Attempt)
		case stepOtherAttempt:
			out = foreignFrame(req.RequestId, req.Attempt+1)
		case stepDisconnect:
			return context.Canceled
		case stepHang:
			<-stream.Context().Done()
			return nil
		case stepForgetRequest:
			s.mu.Lock()
			s.dispatch = nil
			s.mu.Unlock()
			return context.Canceled
		}
		if err := stream.Send(out); err != nil {
			return err
		}
		if out.GetDone() != nil && step == stepNextFrame {
			return nil
		}
	}
}

// recordingSink records what a caller receives.
type recordingSink struct {
	text            strings.Builder
	finishes        int
	textAfterFinish bool
	usage           caller.Usage
	onText          func() error
}

func (s *recordingSink) Begin(string) error { return nil }

func (s *recordingSink) WriteText(text string) error {
	s.textAfterFinish = s.textAfterFinish || s.finishes > 0
	s.text.WriteString(text)
	if s.onText != nil {
		return s.onText()
	}
	return nil
}

func (s *recordingSink) Finish(_ string, usage caller.Usage) error {
	s.finishes++
	s.usage = usage
	return nil
}

// routerFixture is a router with scripted agents.
type routerFixture struct {
	router  *router.Router
	agents  []*scriptedAgent
	request caller.CompletionRequest
}

type testingT interface {
	Cleanup(func())
	Fatalf(string, ...any)
}

// newRouterFixture starts a router with one agent for each script.
func newRouterFixture(t testingT, scripts ...[]connectionStep) *routerFixture {
	deployment := localfleet.SmallDeployment()
	public, private, err := ed25519.GenerateKey(nil)
	requireNoError(t, err)
	signed, err := bundle.Sign(deployment.Bundle(500), "operator", private)
	requireNoError(t, err)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "operator", PublicKey: public}}, 0)
	requireNoError(t, err)
	bundles := bundle.NewStore(trust, eventlog.Discard())
	bundles.Offer(signed)
	peers := peer.NewClient(peer.ClientOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4})
	t.Cleanup(func() { _ = peers.Close() })
	fixture := &routerFixture{request: caller.CompletionRequest{RequestID: "request", APIKey: deployment.Accounts[0].Key,
		Model: deployment.Model, Prompt: []byte("prompt"), MaxTokens: answerTokens, Stream: true}}
	var targets []schedule.Target
	for i, steps := range scripts {
		agent := &scriptedAgent{vmID: fmt.Sprintf("vm-%d", i), script: &script{steps: steps}}
		server, err := peer.Listen("127.0.0.1:0", nil, agent)
		requireNoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		fixture.agents = append(fixture.agents, agent)
		targets = append(targets, schedule.Target{VMID: agent.vmID, Address: server.Address(), Pool: deployment.Pools[0].Name, State: schedule.StateLive})
	}
	directory := schedule.NewDirectory(time.Minute)
	directory.ApplyList(targets, time.Now())
	options := router.DefaultOptions()
	options.FirstFrameTimeout, options.FrameTimeout, options.ResumeTimeout = 150*time.Millisecond, 150*time.Millisecond, 300*time.Millisecond
	fixture.router = router.New(router.Config{Options: options, Log: eventlog.Discard(), Bundles: bundles, Directory: directory,
		Policy: schedule.New(schedule.DefaultSettings(), schedule.Location{}, directory, rand.New(rand.NewPCG(1, 1))),
		Peers:  peers, Admission: admission.AdmitAll{}})
	return fixture
}

func requireNoError(t testingT, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

// TestAnswerUnderFaults checks that under any connection faults, a caller receives
// either the full answer to its own request in order, or a prefix of it and an
// explicit error.
func TestAnswerUnderFaults(t *testing.T) {
	steps := []connectionStep{stepNextFrame, stepNextFrame, stepNextFrame, stepNextFrame, stepHeartbeat, stepRepeatFrame, stepSkipFrame,
		stepOtherRequest, stepOtherAttempt, stepDisconnect, stepDisconnect, stepHang, stepForgetRequest}
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 14)
		fixture := newRouterFixture(t, script.Draw(t, "first"), script.Draw(t, "second"))
		sink := &recordingSink{}
		refusal := fixture.router.Complete(context.Background(), fixture.request, sink)
		text := sink.text.String()
		switch {
		case !strings.HasPrefix(answerText(0), text):
			t.Fatalf("text %q is not a prefix of the answer", text)
		case sink.textAfterFinish:
			t.Fatalf("text was delivered after the answer finished")
		case refusal == nil && (text != answerText(0) || sink.finishes != 1):
			t.Fatalf("request succeeded with text %q and %d Finish calls", text, sink.finishes)
		case refusal != nil && sink.finishes != 0:
			t.Fatalf("the answer finished and failed: %v", refusal)
		case refusal != nil && refusal.Ran == outcome.RanNo && text != "":
			t.Fatalf("text %q was delivered for a request reported as not run", text)
		case refusal == nil && sink.usage.CompletionTokens != answerTokens:
			t.Fatalf("usage counts %d completion tokens", sink.usage.CompletionTokens)
		}
	})
}

// TestAnswerOfSilentAgent guards against a request that fails although its agent is
// sound and only silent for a moment, and no other agent can serve it.
func TestAnswerOfSilentAgent(t *testing.T) {
	// Both silences are longer than the time after which an agent is replaced, and the
	// second one is longer than that time for two agents.
	for i, silence := range []time.Duration{400 * time.Millisecond, 670 * time.Millisecond} {
		agents := i + 1
		Convey("A request is answered if all agents are silent before their first frame: "+strconv.Itoa(agents), t, func() {
			fixture := newRouterFixture(conveyContext{t}, make([][]connectionStep, agents)...)
			for _, agent := range fixture.agents {
				agent.silentUntil = time.Now().Add(silence)
			}
			sink := &recordingSink{}
			So(fixture.router.Complete(t.Context(), fixture.request, sink), ShouldBeNil)
			So(sink.text.String(), ShouldEqual, answerText(0))
		})
	}
}

func TestBrokenStreams(t *testing.T) {
	Convey("Given a router with two agents", t, func() {
		complete := func(fixture *routerFixture) (*recordingSink, *outcome.Refusal) {
			sink := &recordingSink{}
			return sink, fixture.router.Complete(t.Context(), fixture.request, sink)
		}
		Convey("resume attempts are delayed if an agent drops every connection", func() {
			disconnects := append([]connectionStep{stepNextFrame}, slices.Repeat([]connectionStep{stepDisconnect}, 10000)...)
			fixture := newRouterFixture(conveyContext{t}, disconnects, disconnects)
			_, refusal := complete(fixture)
			So(refusal, ShouldNotBeNil)
			first, _ := fixture.agents[0].callCounts()
			second, _ := fixture.agents[1].callCounts()
			So(first+second, ShouldBeLessThan, 20)
		})
		Convey("a stream without a first frame is resumed once, then another agent answers", func() {
			fixture := newRouterFixture(conveyContext{t}, []connectionStep{stepHang, stepHang}, nil)
			fixture.agents[1].script = fixture.agents[0].script
			sink, refusal := complete(fixture)
			So(refusal, ShouldBeNil)
			So(sink.text.String(), ShouldEqual, answerText(0))
			first, _ := fixture.agents[0].callCounts()
			second, _ := fixture.agents[1].callCounts()
			So(first+second, ShouldEqual, 3)
			So(min(first, second), ShouldEqual, 1)
		})
		Convey("usage covers the whole of a continued answer and does not count its prefix as prompt", func() {
			fixture := newRouterFixture(conveyContext{t}, []connectionStep{stepNextFrame, stepNextFrame, stepNextFrame, stepForgetRequest}, nil)
			fixture.agents[1].script = fixture.agents[0].script
			sink, refusal := complete(fixture)
			So(refusal, ShouldBeNil)
			So(sink.text.String(), ShouldEqual, answerText(0))
			So(sink.usage.CompletionTokens, ShouldEqual, answerTokens)
			So(sink.usage.PromptTokens, ShouldEqual, 100)
		})
		Convey("a failed write to the caller cancels the attempt at the agent", func() {
			fixture := newRouterFixture(conveyContext{t}, nil, nil)
			sink := &recordingSink{onText: func() error { return io.ErrClosedPipe }}
			refusal := fixture.router.Complete(t.Context(), fixture.request, sink)
			So(refusal.Code, ShouldEqual, outcome.CodeCancelled)
			So(eventually(func() bool {
				_, first := fixture.agents[0].callCounts()
				_, second := fixture.agents[1].callCounts()
				return first+second == 1
			}), ShouldBeTrue)
		})
		Convey("an agent that does not answer a Cancel call does not delay the request", func() {
			script := append([]connectionStep{stepNextFrame}, slices.Repeat([]connectionStep{stepHang}, 100)...)
			fixture := newRouterFixture(conveyContext{t}, script, script)
			cancelStarted, cancelEnded := make(chan struct{}, 8), make(chan struct{}, 8)
			for _, agent := range fixture.agents {
				agent.onCancel = func(ctx context.Context) { cancelStarted <- struct{}{}; <-ctx.Done(); cancelEnded <- struct{}{} }
			}
			ctx, cancel := context.WithCancel(t.Context())
			sink := &recordingSink{}
			go func() {
				for streams := 0; streams == 0; time.Sleep(time.Millisecond) {
					first, _ := fixture.agents[0].callCounts()
					second, _ := fixture.agents[1].callCounts()
					streams = first + second
				}
				cancel()
			}()
			refusal := fixture.router.Complete(ctx, fixture.request, sink)
			So(refusal.Code, ShouldEqual, outcome.CodeCancelled)
			<-cancelStarted
			time.Sleep(100 * time.Millisecond)
			So(len(cancelEnded), ShouldEqual, 0)
		})
		Convey("a leaving target gets at most one dispatch, and another answers", func() {
			fixture := newRouterFixture(conveyContext{t}, nil, nil)
			fixture.agents[0].leaving = true
			for range 20 {
				_, refusal := complete(fixture)
				So(refusal, ShouldBeNil)
			}
			streams, _ := fixture.agents[0].callCounts()
			So(streams, ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// conveyContext is a testing.T whose cleanup functions run at the end of the Convey
// scope.
type conveyContext struct{ *testing.T }

func (conveyContext) Cleanup(f func()) { Reset(f) }

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
