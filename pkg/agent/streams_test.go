package agent_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

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
