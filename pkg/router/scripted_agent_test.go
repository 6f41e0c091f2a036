package router_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

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
