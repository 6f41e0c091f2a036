package router_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
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

// answerTokens is the length of the scripted answer.
const answerTokens = 10

// answerText is the scripted answer from token number from on.
func answerText(from int) string {
	var text strings.Builder
	for i := from; i < answerTokens; i++ {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

// fault is one step of a scripted connection.
type fault string

const (
	stepNext         fault = "next"
	stepHeartbeat    fault = "heartbeat"
	stepRepeat       fault = "repeat"
	stepGap          fault = "gap"
	stepOtherRequest fault = "other request"
	stepOtherAttempt fault = "other attempt"
	stepCut          fault = "cut"
	stepSilence      fault = "silence"
	stepForget       fault = "forget"
)

// script is a list of steps; its end is an agent without faults.
type script struct {
	mu    sync.Mutex
	steps []fault
}

func (s *script) next() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return stepNext
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

// scriptedAgent follows the peer protocol but for the faults of its script.
type scriptedAgent struct {
	peerpb.DRPCAgentUnimplementedServer
	vm string
	// leaving refuses dispatches; onCancel runs in each cancel.
	leaving  bool
	onCancel func(context.Context)

	script *script

	mu        sync.Mutex
	streams   int
	cancelled int
	dispatch  *peerpb.DispatchRequest
}

func (s *scriptedAgent) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return &peerpb.ProbeReply{Origin: &peerpb.Origin{VmId: s.vm, BootId: 1},
		State: peerpb.TargetState_TARGET_STATE_READY, EngineBoot: 1, ServesModel: true}, nil
}

func (s *scriptedAgent) Cancel(ctx context.Context, _ *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	s.mu.Lock()
	s.cancelled++
	s.mu.Unlock()
	if s.onCancel != nil {
		s.onCancel(ctx)
	}
	return &peerpb.CancelReply{}, nil
}

func (s *scriptedAgent) counts() (streams, cancelled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams, s.cancelled
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
	return s.play(req, 1, stream)
}

func (s *scriptedAgent) Resume(req *peerpb.ResumeRequest, stream peerpb.DRPCAgent_ResumeStream) error {
	s.mu.Lock()
	dispatch := s.dispatch
	s.mu.Unlock()
	if dispatch == nil || dispatch.RequestId != req.RequestId || dispatch.Attempt != req.Attempt {
		return stream.Send(refusalFrame(req.RequestId, req.Attempt, req.FromSeq))
	}
	return s.play(dispatch, req.FromSeq, stream)
}

func refusalFrame(id string, attempt uint32, seq uint64) *peerpb.Frame {
	return &peerpb.Frame{RequestId: id, Attempt: attempt, Seq: seq, Body: &peerpb.Frame_Refusal{
		Refusal: &peerpb.Refusal{Code: string(outcome.CodeTargetFailed), Ran: uint32(outcome.RanUnknown)}}}
}

// frame is frame number seq of the answer: accepted, one for each token, done.
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

func (s *scriptedAgent) play(req *peerpb.DispatchRequest, seq uint64, stream frameStream) error {
	s.mu.Lock()
	s.streams++
	s.mu.Unlock()
	foreign := func(id string, attempt uint32) *peerpb.Frame {
		return &peerpb.Frame{RequestId: id, Attempt: attempt, Seq: seq,
			Body: &peerpb.Frame_Delta{Delta: &peerpb.Delta{Text: "FOREIGN ", Tokens: 1}}}
	}
	for {
		out := frame(req, seq)
		step := s.script.next()
		switch step {
		case stepNext:
			seq++
		case stepHeartbeat:
			out = &peerpb.Frame{RequestId: req.RequestId, Attempt: req.Attempt,
				Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
		case stepRepeat:
			out = frame(req, max(seq-1, 1))
			if seq == 1 {
				continue
			}
		case stepGap:
			out = frame(req, seq+1)
		case stepOtherRequest:
			out = foreign("other", req.Attempt)
		case stepOtherAttempt:
			out = foreign(req.RequestId, req.Attempt+1)
		case stepCut:
			return context.Canceled
		case stepSilence:
			<-stream.Context().Done()
			return nil
		case stepForget:
			s.mu.Lock()
			s.dispatch = nil
			s.mu.Unlock()
			return context.Canceled
		}
		if err := stream.Send(out); err != nil {
			return err
		}
		if out.GetDone() != nil && step == stepNext {
			return nil
		}
	}
}

// recordingSink keeps what a caller would see.
type recordingSink struct {
	text     strings.Builder
	finished int
	late     bool
	usage    caller.Usage
	onText   func() error
}

func (s *recordingSink) Begin(string) error { return nil }

func (s *recordingSink) Text(text string) error {
	s.late = s.late || s.finished > 0
	s.text.WriteString(text)
	if s.onText != nil {
		return s.onText()
	}
	return nil
}

func (s *recordingSink) Finish(_ string, usage caller.Usage) error {
	s.finished++
	s.usage = usage
	return nil
}

// world is a router with two scripted agents.
type world struct {
	router  *router.Router
	agents  []*scriptedAgent
	request caller.Completion
}

type cleaner interface {
	Cleanup(func())
	Fatalf(string, ...any)
}

func newWorld(t cleaner, scripts ...[]fault) *world {
	site := localfleet.SmallDeployment()
	public, private, err := ed25519.GenerateKey(nil)
	check(t, err)
	signed, err := bundle.Sign(site.Bundle(500), "operator", private)
	check(t, err)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "operator", PublicKey: public}}, 0)
	check(t, err)
	bundles := bundle.NewStore(trust, eventlog.Discard())
	bundles.Offer(signed)
	peers := peer.NewClient(peer.ClientOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4})
	t.Cleanup(func() { _ = peers.Close() })
	w := &world{request: caller.Completion{RequestID: "request", Token: site.Accounts[0].Key,
		Model: site.Model, Prompt: []byte("prompt"), MaxTokens: answerTokens, Stream: true}}
	var targets []schedule.Target
	for i, steps := range scripts {
		agent := &scriptedAgent{vm: fmt.Sprintf("vm-%d", i), script: &script{steps: steps}}
		server, err := peer.Listen("127.0.0.1:0", nil, agent)
		check(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		w.agents = append(w.agents, agent)
		targets = append(targets, schedule.Target{VMID: agent.vm, Address: server.Address(), Pool: site.Pools[0].Name, State: schedule.StateLive})
	}
	directory := schedule.NewDirectory(time.Minute)
	directory.ApplyList(targets, time.Now())
	options := router.DefaultOptions()
	options.AckTimeout, options.SilenceTimeout, options.ResumeTimeout = 150*time.Millisecond, 150*time.Millisecond, 300*time.Millisecond
	w.router = router.New(router.Config{Options: options, Log: eventlog.Discard(), Bundles: bundles, Directory: directory,
		Policy: schedule.New(schedule.DefaultSettings(), schedule.Location{}, directory, rand.New(rand.NewPCG(1, 1))),
		Peers:  peers, Admission: admission.AdmitAll{}})
	return w
}

func check(t cleaner, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

// TestAnswerUnderFaults: whatever the connections do, a caller gets the whole
// answer to its own request in order, or a prefix of it and an explicit error.
func TestAnswerUnderFaults(t *testing.T) {
	steps := []fault{stepNext, stepNext, stepNext, stepNext, stepHeartbeat, stepRepeat, stepGap,
		stepOtherRequest, stepOtherAttempt, stepCut, stepCut, stepSilence, stepForget}
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 14)
		w := newWorld(t, script.Draw(t, "first"), script.Draw(t, "second"))
		sink := &recordingSink{}
		refusal := w.router.Complete(context.Background(), w.request, sink)
		text := sink.text.String()
		switch {
		case !strings.HasPrefix(answerText(0), text):
			t.Fatalf("text %q is not of this answer", text)
		case sink.late:
			t.Fatalf("text after the end")
		case refusal == nil && (text != answerText(0) || sink.finished != 1):
			t.Fatalf("text %q, %d ends, without an error", text, sink.finished)
		case refusal != nil && sink.finished != 0:
			t.Fatalf("an end and an error: %v", refusal)
		case refusal != nil && refusal.Ran == outcome.RanNo && text != "":
			t.Fatalf("text %q of a request that did not run", text)
		case refusal == nil && sink.usage.CompletionTokens != answerTokens:
			t.Fatalf("%d completion tokens", sink.usage.CompletionTokens)
		}
	})
}

func TestLostStreams(t *testing.T) {
	Convey("Given a router with two agents", t, func() {
		complete := func(w *world) (*recordingSink, *outcome.Refusal) {
			sink := &recordingSink{}
			return sink, w.router.Complete(t.Context(), w.request, sink)
		}
		Convey("an agent that cuts every connection is not asked without pause", func() {
			cuts := append([]fault{stepNext}, slices.Repeat([]fault{stepCut}, 10000)...)
			w := newWorld(convey{t}, cuts, cuts)
			_, refusal := complete(w)
			So(refusal, ShouldNotBeNil)
			first, _ := w.agents[0].counts()
			second, _ := w.agents[1].counts()
			So(first+second, ShouldBeLessThan, 20)
		})
		Convey("an agent that is silent from the start is resumed once, then another answers", func() {
			w := newWorld(convey{t}, []fault{stepSilence, stepSilence}, nil)
			w.agents[1].script = w.agents[0].script
			sink, refusal := complete(w)
			So(refusal, ShouldBeNil)
			So(sink.text.String(), ShouldEqual, answerText(0))
			first, _ := w.agents[0].counts()
			second, _ := w.agents[1].counts()
			So(first+second, ShouldEqual, 3)
			So(min(first, second), ShouldEqual, 1)
		})
		Convey("a continued answer is counted whole, and its first part is no prompt", func() {
			w := newWorld(convey{t}, []fault{stepNext, stepNext, stepNext, stepForget}, nil)
			w.agents[1].script = w.agents[0].script
			sink, refusal := complete(w)
			So(refusal, ShouldBeNil)
			So(sink.text.String(), ShouldEqual, answerText(0))
			So(sink.usage.CompletionTokens, ShouldEqual, answerTokens)
			So(sink.usage.PromptTokens, ShouldEqual, 100)
		})
		Convey("a caller whose connection takes no more text cancels the work", func() {
			w := newWorld(convey{t}, nil, nil)
			sink := &recordingSink{onText: func() error { return io.ErrClosedPipe }}
			refusal := w.router.Complete(t.Context(), w.request, sink)
			So(refusal.Code, ShouldEqual, outcome.CodeCancelled)
			So(eventually(func() bool {
				_, first := w.agents[0].counts()
				_, second := w.agents[1].counts()
				return first+second == 1
			}), ShouldBeTrue)
		})
		Convey("an agent that takes no cancel holds nothing back", func() {
			script := append([]fault{stepNext}, slices.Repeat([]fault{stepSilence}, 100)...)
			w := newWorld(convey{t}, script, script)
			asked, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			for _, agent := range w.agents {
				agent.onCancel = func(ctx context.Context) { asked <- struct{}{}; <-ctx.Done(); ended <- struct{}{} }
			}
			ctx, cancel := context.WithCancel(t.Context())
			sink := &recordingSink{}
			go func() {
				for streams := 0; streams == 0; time.Sleep(time.Millisecond) {
					first, _ := w.agents[0].counts()
					second, _ := w.agents[1].counts()
					streams = first + second
				}
				cancel()
			}()
			refusal := w.router.Complete(ctx, w.request, sink)
			So(refusal.Code, ShouldEqual, outcome.CodeCancelled)
			<-asked
			time.Sleep(100 * time.Millisecond)
			So(len(ended), ShouldEqual, 0)
		})
		Convey("a leaving target is asked at most once, and others answer", func() {
			w := newWorld(convey{t}, nil, nil)
			w.agents[0].leaving = true
			for range 20 {
				_, refusal := complete(w)
				So(refusal, ShouldBeNil)
			}
			streams, _ := w.agents[0].counts()
			So(streams, ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// convey adapts a test and the scope of its example.
type convey struct{ *testing.T }

func (convey) Cleanup(f func()) { Reset(f) }

func eventually(holds func() bool) bool {
	for range 1000 {
		if holds() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
