package router_test

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

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
