package agent

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// queueModel drives a promptQueue and tracks the state of each prompt.
type queueModel struct {
	queue   *promptQueue
	now     time.Time
	lastID  int
	waiting map[string]*waitingPrompt
	running map[string]*runningPrompt
	refused int
}

func newQueueModel() *queueModel {
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	view.ApplyReport(engine.LoadReport{BootID: 1, TotalBlocks: 100})
	return &queueModel{
		queue: newPromptQueue(view, eventlog.Discard(), now), now: now,
		waiting: map[string]*waitingPrompt{}, running: map[string]*runningPrompt{},
	}
}

// collect reads the results that are available. Each prompt gets at most one.
func (m *queueModel) collect(t *rapid.T) {
	for id, w := range m.waiting {
		select {
		case refusal := <-w.result:
			delete(m.waiting, id)
			if refusal == nil {
				m.running[id] = w.running
				break
			}
			m.refused++
			if refusal.Ran != outcome.RanNo || refusal.RetryAfter <= 0 {
				t.Fatalf("waiting prompt got refusal %+v, want RanNo and a retry delay", refusal)
			}
		default:
		}
	}
}

func (m *queueModel) enqueue(t *rapid.T) {
	m.lastID++
	id := fmt.Sprint(m.lastID)
	blocks := make([]uint64, rapid.IntRange(0, 6).Draw(t, "blocks"))
	for i := range blocks {
		blocks[i] = rapid.Uint64Range(1, 40).Draw(t, "block")
	}
	w := &waitingPrompt{result: make(chan *outcome.Refusal, 1), request: &peerpb.DispatchRequest{
		RequestId: id, Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		BlockHashes: blocks, BlockTokens: 500, PromptTokens: uint32(len(blocks)*500 + 10), MaxTokens: 8,
		FirstTokenTimeoutMs: rapid.SampledFrom([]uint32{0, 100, 5000}).Draw(t, "timeout"),
	}}
	if refusal := m.queue.enqueue(id, w, 1, m.now); refusal != nil {
		m.refused++
		return
	}
	m.waiting[id] = w
}

func (m *queueModel) check(t *rapid.T) {
	m.collect(t)
	q := m.queue
	if q.fair.Len() != len(m.waiting) || q.fair.Running() != len(m.running) || len(q.waiting) != len(m.waiting) {
		t.Fatalf("queue has %d waiting and %d running prompts, promptQueue has %d waiting; want %d waiting and %d running",
			q.fair.Len(), q.fair.Running(), len(q.waiting), len(m.waiting), len(m.running))
	}
}

func anyKey[V any](t *rapid.T, from map[string]V) string {
	if len(from) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(from))).Draw(t, "id")
}

// TestPromptQueue checks that, for any order of events, each prompt is either
// started, refused or removed exactly once, and that the backlog is empty after
// every started prompt has been released.
func TestPromptQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel()
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue,
			"release": func(t *rapid.T) {
				id := anyKey(t, m.running)
				m.running[id].release()
				delete(m.running, id)
			},
			"first token": func(t *rapid.T) { m.running[anyKey(t, m.running)].onDelta(1) },
			"remove": func(t *rapid.T) {
				id := anyKey(t, m.waiting)
				if !m.queue.remove(id) {
					t.Fatalf("waiting prompt %s can't be removed", id)
				}
				delete(m.waiting, id)
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				m.queue.tick(cacheview.Observation{}, false, m.now)
			},
			"": m.check,
		})
		for len(m.waiting)+len(m.running) > 0 {
			for id, prompt := range m.running {
				prompt.release()
				delete(m.running, id)
			}
			m.queue.tick(cacheview.Observation{}, false, m.now)
			m.check(t)
		}
		if tokens := m.queue.backlog.Tokens(); tokens != 0 {
			t.Fatalf("backlog of an idle engine is %d tokens, want 0", tokens)
		}
	})
}

func TestDispatchAfterEngineRestart(t *testing.T) {
	Convey("Given an agent with an engine", t, func() {
		fake, err := enginefake.Start(enginefake.Config{
			Models: []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}}, BlockTokens: 10,
		})
		So(err, ShouldBeNil)
		defer fake.Close()
		client := engine.NewHTTP(fake.Addr(), engine.Timeouts{Dial: time.Second, Idle: time.Second, Call: time.Second})
		defer client.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := New(ctx, Config{Options: DefaultOptions(), Log: eventlog.Discard(), Engine: client,
			Bundles: bundle.NewStore(nil, eventlog.Discard())})
		go a.Run(ctx)
		probe := &peerpb.ProbeRequest{Model: "m", WeightsVersion: "v1", BlockHashes: []uint64{1, 2}, BlockTokens: 10, PromptTokens: 20}
		ready := func() *peerpb.ProbeReply {
			for range 1000 {
				reply, err := a.Probe(ctx, probe)
				if err == nil && reply.EngineBoot == fake.Boot() && reply.State == peerpb.TargetState_TARGET_STATE_READY {
					return reply
				}
				time.Sleep(10 * time.Millisecond)
			}
			return &peerpb.ProbeReply{}
		}
		So(ready().ServesModel, ShouldBeTrue)
		request := &peerpb.DispatchRequest{RequestId: "r", Attempt: 1, Model: "m", WeightsVersion: "v1", CacheSalt: "s",
			BlockHashes: []uint64{1, 2}, BlockTokens: 10, Prompt: make([]byte, 80), PromptTokens: 20, MaxTokens: 4,
			EngineBoot: fake.Boot()}
		dispatch := func() *outcome.Refusal {
			return a.admitAndRun(ctx, request, newAnswerLog(request.RequestId, request.Attempt, time.Now()))
		}
		Convey("a prompt runs, and the next probe matches its blocks", func() {
			So(dispatch(), ShouldBeNil)
			So(ready().MatchedBlocks, ShouldEqual, 2)
		})
		Convey("after an engine crash no blocks match, and a dispatch for the earlier boot is refused as not run", func() {
			So(dispatch(), ShouldBeNil)
			fake.Crash(1500 * time.Millisecond)
			unmatched := false
			for range 10_000 {
				reply, err := a.Probe(ctx, probe)
				So(err, ShouldBeNil)
				if unmatched = reply.MatchedBlocks == 0; unmatched {
					break
				}
				time.Sleep(time.Millisecond)
			}
			So(unmatched, ShouldBeTrue)
			_, err := client.LoadReport(ctx)
			So(err, ShouldNotBeNil) // the blocks stopped matching before the engine restarted
			So(ready().MatchedBlocks, ShouldEqual, 0)
			request.RequestId = "later"
			refusal := dispatch()
			So(refusal, ShouldNotBeNil)
			So(refusal.Code, ShouldEqual, outcome.CodeStaleTarget)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
			So(fake.Stats().Executions["later"], ShouldEqual, 0)
		})
	})
}
