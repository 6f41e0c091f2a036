package cacheview

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
)

const followBlocks = 16

var followTimeouts = engine.Timeouts{Dial: time.Second, Silence: 300 * time.Millisecond, Call: time.Second}

// follow starts an engine with a follower of its events.
func follow(t *testing.T, loss float64) (*enginefake.Engine, *engine.HTTP, *View) {
	e, err := enginefake.Start(enginefake.Config{
		Models:                 []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}},
		PrefillTokensPerSecond: 1e6,
		DecodeStep:             100 * time.Microsecond,
		Heartbeat:              50 * time.Millisecond,
		TotalBlocks:            followBlocks,
		EventLoss:              loss,
		EventDelay:             20 * time.Millisecond,
		LoadLag:                100 * time.Millisecond,
	})
	So(err, ShouldBeNil)
	h := engine.NewHTTP(e.Addr(), followTimeouts)
	view := New(DefaultConfig(), time.Now())
	cfg := DefaultFollowerConfig("engine")
	cfg.StaleAfter, cfg.LoadInterval = 600*time.Millisecond, 30*time.Millisecond
	follower := NewFollower(h, view, cfg, eventlog.Discard(), tally.NoopScope, rand.New(rand.NewPCG(1, 2)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	Reset(func() {
		cancel()
		<-ended
		e.Close()
	})
	return e, h, view
}

// generate runs a request of three blocks and returns their hashes.
func generate(t *testing.T, h *engine.HTTP, id uint64) []uint64 {
	const blockTokens = 4
	hashes := []uint64{10 * id, 10*id + 1, 10*id + 2}
	stream, err := h.Generate(t.Context(), engine.Request{
		ID: fmt.Sprintf("r%d", id), Model: "m", WeightsVersion: "v1", CacheSalt: "s", BlockTokens: blockTokens,
		BlockHashes: hashes, Prompt: strings.Repeat(string(rune('a'+id%26)), 4*blockTokens*len(hashes)), MaxTokens: 2,
	})
	So(err, ShouldBeNil)
	defer stream.Close()
	for {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return hashes
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// eventually polls until cond holds or ten seconds have passed.
func eventually(cond func() bool) bool {
	for range 1000 {
		if cond() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// agrees says whether the view claims exactly the engine's cache.
func agrees(e *enginefake.Engine, view *View) bool {
	cached := e.CachedBlocks("v1")
	for _, hash := range cached {
		if view.CachedPrefix([]uint64{hash}, "v1") == 0 {
			return false
		}
	}
	return view.Counts().Blocks == len(cached)
}

func TestFollower(t *testing.T) {
	Convey("Given a follower of an engine that loses no event", t, func() {
		e, h, view := follow(t, 0)
		var hashes []uint64
		for id := range uint64(8) {
			hashes = generate(t, h, id+1)
		}
		So(eventually(func() bool { return agrees(e, view) }), ShouldBeTrue)
		So(view.CachedPrefix(hashes, "v1"), ShouldEqual, 3)
		Convey("A crash empties the view, and the new boot fills it", func() {
			e.Crash(100 * time.Millisecond)
			So(eventually(func() bool { return view.Boot() == e.Boot() }), ShouldBeTrue)
			So(view.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			hashes = generate(t, h, 20)
			So(eventually(func() bool { return agrees(e, view) && view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
		})
		Convey("A stream that falls silent for good is opened again without a gap", func() {
			e.Silence()
			hashes = generate(t, engine.NewHTTP(e.Addr(), followTimeouts), 21)
			So(eventually(func() bool { return agrees(e, view) && view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
			So(view.Counts().LostEvents, ShouldEqual, 0)
		})
		Convey("A frozen engine suspends the view; its thaw brings the claims back", func() {
			e.Freeze()
			So(eventually(func() bool { return view.CachedPrefix(hashes, "v1") == 0 }), ShouldBeTrue)
			e.Thaw()
			So(eventually(func() bool { return view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
		})
	})
	Convey("With events lost, gaps are seen and the size stays within the engine's", t, func() {
		_, h, view := follow(t, 0.3)
		for id := range uint64(40) {
			generate(t, h, id+1)
		}
		So(eventually(func() bool { return view.Counts().LostEvents > 5 }), ShouldBeTrue)
		So(eventually(func() bool { return view.Counts().Blocks <= followBlocks+1 }), ShouldBeTrue)
	})
}
