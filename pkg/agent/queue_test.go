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

// gateModel drives a gate and keeps what each prompt has come to.
type gateModel struct {
	gate    *gate
	now     time.Time
	next    int
	waiting map[string]*waiter
	running map[string]*pass
	refused int
}

func newGateModel() *gateModel {
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	view.ApplyReport(engine.LoadReport{Boot: 1, TotalBlocks: 100})
	return &gateModel{
		gate: newGate(view, eventlog.Discard(), now), now: now,
		waiting: map[string]*waiter{}, running: map[string]*pass{},
	}
}

// collect takes in the results that have come; each prompt gets at most one.
func (m *gateModel) collect(t *rapid.T) {
	for id, w := range m.waiting {
		select {
		case refusal := <-w.result:
			delete(m.waiting, id)
			if refusal == nil {
				m.running[id] = w.pass
				break
			}
			m.refused++
			if refusal.Ran != outcome.RanNo || refusal.RetryAfter <= 0 {
				t.Fatalf("refusal of a waiting prompt: %+v", refusal)
			}
		default:
		}
	}
}

func (m *gateModel) push(t *rapid.T) {
	m.next++
	id := fmt.Sprint(m.next)
	blocks := make([]uint64, rapid.IntRange(0, 6).Draw(t, "blocks"))
	for i := range blocks {
		blocks[i] = rapid.Uint64Range(1, 40).Draw(t, "block")
	}
	w := &waiter{result: make(chan *outcome.Refusal, 1), request: &peerpb.DispatchRequest{
		RequestId: id, Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		BlockHashes: blocks, BlockTokens: 500, PromptTokens: uint32(len(blocks)*500 + 10), MaxTokens: 8,
		FirstTokenTimeoutMs: rapid.SampledFrom([]uint32{0, 100, 5000}).Draw(t, "timeout"),
	}}
	if refusal := m.gate.push(id, w, 1, m.now); refusal != nil {
		m.refused++
		return
	}
	m.waiting[id] = w
}

func (m *gateModel) check(t *rapid.T) {
	m.collect(t)
	g := m.gate
	if g.queue.Len() != len(m.waiting) || g.queue.Running() != len(m.running) || len(g.waiters) != len(m.waiting) {
		t.Fatalf("queue has %d waiting, %d running, gate %d waiters; want %d, %d",
			g.queue.Len(), g.queue.Running(), len(g.waiters), len(m.waiting), len(m.running))
	}
}

func anyKey[V any](t *rapid.T, from map[string]V) string {
	if len(from) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(from))).Draw(t, "id")
}

// TestGate: every prompt gets a turn, a refusal or is withdrawn, exactly once, and
// every turn is given back, whatever the order of events.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGateModel()
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push,
			"leave": func(t *rapid.T) {
				id := anyKey(t, m.running)
				m.running[id].leave()
				delete(m.running, id)
			},
			"first token": func(t *rapid.T) { m.running[anyKey(t, m.running)].delta(1) },
			"withdraw": func(t *rapid.T) {
				id := anyKey(t, m.waiting)
				if !m.gate.withdraw(id) {
					t.Fatalf("%s waits and can't be withdrawn", id)
				}
				delete(m.waiting, id)
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				m.gate.tick(cacheview.Observation{}, false, m.now)
			},
			"": m.check,
		})
		for len(m.waiting)+len(m.running) > 0 {
			for id, pass := range m.running {
				pass.leave()
				delete(m.running, id)
			}
			m.gate.tick(cacheview.Observation{}, false, m.now)
			m.check(t)
		}
		if tokens := m.gate.backlog.Tokens(); tokens != 0 {
			t.Fatalf("%d tokens of backlog at an idle engine", tokens)
		}
	})
}

func TestRecheck(t *testing.T) {
	Convey("Given an agent beside an engine", t, func() {
		fake, err := enginefake.Start(enginefake.Config{
			Models: []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}}, BlockTokens: 10,
		})
		So(err, ShouldBeNil)
		defer fake.Close()
		client := engine.NewHTTP(fake.Addr(), engine.Timeouts{Dial: time.Second, Silence: time.Second, Call: time.Second})
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
		Convey("A prompt runs there, and the next probe finds its blocks", func() {
			So(dispatch(), ShouldBeNil)
			So(ready().MatchedBlocks, ShouldEqual, 2)
		})
		Convey("After a crash, a pick of the older boot is refused as not run, and nothing matches", func() {
			So(dispatch(), ShouldBeNil)
			fake.Crash(1500 * time.Millisecond)
			doubted := false
			for range 10_000 {
				reply, err := a.Probe(ctx, probe)
				So(err, ShouldBeNil)
				if doubted = reply.MatchedBlocks == 0; doubted {
					break
				}
				time.Sleep(time.Millisecond)
			}
			So(doubted, ShouldBeTrue)
			_, err := client.Load(ctx)
			So(err, ShouldNotBeNil) // the agent doubts before the engine is back
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
