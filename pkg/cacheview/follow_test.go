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

const engineBlocks = 16

var engineTimeouts = engine.Timeouts{Dial: time.Second, Idle: 300 * time.Millisecond, Call: time.Second}

// startFollower starts a fake engine that loses events at the given rate, and a
// Follower of it.
func startFollower(t *testing.T, loss float64) (*enginefake.Engine, *engine.HTTP, *View) {
	e, err := enginefake.Start(enginefake.Config{
		Models:                 []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}},
		PrefillTokensPerSecond: 1e6,
		MinStepDuration:        100 * time.Microsecond,
		HeartbeatInterval:      50 * time.Millisecond,
		TotalBlocks:            engineBlocks,
		EventLoss:              loss,
		EventDelay:             20 * time.Millisecond,
		LoadReportDelay:        100 * time.Millisecond,
	})
	So(err, ShouldBeNil)
	h := engine.NewHTTP(e.Addr(), engineTimeouts)
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

// generate runs a request with a prompt of three blocks and returns their hashes.
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

// eventually polls cond for up to ten seconds and reports whether it held.
func eventually(cond func() bool) bool {
	for range 1000 {
		if cond() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// matchesEngine reports whether the view reports exactly the engine's cached
// blocks.
func matchesEngine(e *enginefake.Engine, view *View) bool {
	cached := e.CachedBlockHashes("v1")
	for _, hash := range cached {
		if view.CachedPrefix([]uint64{hash}, "v1") == 0 {
			return false
		}
	}
	return view.Counts().Blocks == len(cached)
}

func TestFollower(t *testing.T) {
	Convey("Given a follower of an engine that loses no events", t, func() {
		e, h, view := startFollower(t, 0)
		var hashes []uint64
		for id := range uint64(8) {
			hashes = generate(t, h, id+1)
		}
		So(eventually(func() bool { return matchesEngine(e, view) }), ShouldBeTrue)
		So(view.CachedPrefix(hashes, "v1"), ShouldEqual, 3)
		Convey("A crash clears the view, and events of the new boot fill it again", func() {
			e.Crash(100 * time.Millisecond)
			So(eventually(func() bool { return view.Boot() == e.Boot() }), ShouldBeTrue)
			So(view.CachedPrefix(hashes, "v1"), ShouldEqual, 0)
			hashes = generate(t, h, 20)
			So(eventually(func() bool { return matchesEngine(e, view) && view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
		})
		Convey("A stream that stops sending is reopened without losing events", func() {
			e.StallConnections()
			hashes = generate(t, engine.NewHTTP(e.Addr(), engineTimeouts), 21)
			So(eventually(func() bool { return matchesEngine(e, view) && view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
			So(view.Counts().LostEvents, ShouldEqual, 0)
		})
		Convey("The view is suspended while the engine is frozen and restored when it resumes", func() {
			e.Freeze()
			So(eventually(func() bool { return view.CachedPrefix(hashes, "v1") == 0 }), ShouldBeTrue)
			e.Thaw()
			So(eventually(func() bool { return view.CachedPrefix(hashes, "v1") == 3 }), ShouldBeTrue)
		})
	})
	Convey("With event loss, gaps are detected and the number of blocks stays within the engine's cache size", t, func() {
		_, h, view := startFollower(t, 0.3)
		for id := range uint64(40) {
			generate(t, h, id+1)
		}
		So(eventually(func() bool { return view.Counts().LostEvents > 5 }), ShouldBeTrue)
		So(eventually(func() bool { return view.Counts().Blocks <= engineBlocks+1 }), ShouldBeTrue)
	})
}
