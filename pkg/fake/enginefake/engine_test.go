package enginefake

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

const testBlockTokens = 10

var testTimeouts = engine.Timeouts{Dial: time.Second, Idle: 500 * time.Millisecond, Call: 5 * time.Second}

// fast starts a quick engine with one model and returns its adapter.
func fast(t *testing.T, change func(*Config)) (*Engine, *engine.HTTP) {
	cfg := Config{
		Models:                 []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}},
		PrefillTokensPerSecond: 1e6,
		MinStepDuration:        200 * time.Microsecond,
		HeartbeatInterval:      50 * time.Millisecond,
		TotalBlocks:            8,
	}
	if change != nil {
		change(&cfg)
	}
	e, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, engine.NewHTTP(e.Addr(), testTimeouts)
}

// prompt returns a request whose block hashes are first, first+1, ...
func prompt(id, text string, blocks int, first uint64) engine.Request {
	req := engine.Request{
		ID: id, Model: "m", WeightsVersion: "v1", CacheSalt: "s", BlockTokens: testBlockTokens,
		Prompt: strings.Repeat(text, blocks*testBlockTokens*bytesPerToken), MaxTokens: 100,
	}
	for i := range blocks {
		req.BlockHashes = append(req.BlockHashes, first+uint64(i))
	}
	return req
}

// whole reads a stream to its end.
func whole(stream engine.Stream, err error) (string, *engine.Usage, error) {
	if err != nil {
		return "", nil, err
	}
	defer stream.Close()
	var text strings.Builder
	var usage *engine.Usage
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), usage, nil
		}
		if err != nil {
			return text.String(), nil, err
		}
		text.WriteString(chunk.Text)
		if chunk.Usage != nil {
			usage = chunk.Usage
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

func TestAnswers(t *testing.T) {
	Convey("Given an engine", t, func() {
		e, h := fast(t, nil)
		ctx := t.Context()
		req := prompt("r#1", "a", 3, 1)
		want := Answer("m", "v1", req.Prompt, req.MaxTokens)
		Convey("Whole, continued and resumed answers agree, and the second hits the cache", func() {
			text, usage, err := whole(h.Generate(ctx, req))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want)
			So(usage.CompletionTokens, ShouldEqual, CountTokens(want))

			again := req
			again.ID, again.AnswerPrefix, again.AnswerPrefixTokens = "r#2", want[:8], 2
			text, usage, err = whole(h.Generate(ctx, again))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want[8:])
			So(usage.CachedTokens, ShouldEqual, 30)

			text, _, err = whole(h.Resume(ctx, "r#1", 3))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want[8:])
			stats := e.Stats()
			So(stats.Executions, ShouldResemble, map[string]int{"r": 2})
			So(stats.PoisonedHits, ShouldEqual, 0)
		})
		Convey("A hash used for other content is a poisoned hit; another salt or version is none", func() {
			_, _, err := whole(h.Generate(ctx, req))
			So(err, ShouldBeNil)
			other := prompt("q", "b", 3, 1)
			other.CacheSalt = "s2"
			_, _, err = whole(h.Generate(ctx, other))
			So(err, ShouldBeNil)
			So(e.PoisonedHits(), ShouldEqual, 0)
			_, _, err = whole(h.Generate(ctx, prompt("p", "b", 3, 1)))
			So(err, ShouldBeNil)
			So(e.PoisonedHits(), ShouldEqual, 3)
		})
		Convey("A used id is not run again and not called rejected", func() {
			_, _, err := whole(h.Generate(ctx, req))
			So(err, ShouldBeNil)
			_, err = h.Generate(ctx, req)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			So(e.Stats().Executions["r"], ShouldEqual, 1)
		})
		Convey("Weights that are not loaded are rejected until loaded, and old fences refused", func() {
			req.WeightsVersion = "v2"
			_, err := h.Generate(ctx, req)
			So(errors.Is(err, engine.ErrRejected), ShouldBeTrue)
			So(h.SendOrder(ctx, engine.Order{FencingToken: 5, Kind: engine.OrderLoad, Model: "m", WeightsVersion: "v2"}), ShouldBeNil)
			err = h.SendOrder(ctx, engine.Order{FencingToken: 4, Kind: engine.OrderUnload, Model: "m", WeightsVersion: "v1"})
			So(errors.Is(err, engine.ErrStaleFencingToken), ShouldBeTrue)
			So(eventually(func() bool {
				report, err := h.LoadReport(ctx)
				return err == nil && len(report.Models) == 2 && report.Loading == "" && report.FencingToken == 5
			}), ShouldBeTrue)
			_, _, err = whole(h.Generate(ctx, req))
			So(err, ShouldBeNil)
		})
		Convey("Blocks imported from another engine are hits there", func() {
			_, _, err := whole(h.Generate(ctx, req))
			So(err, ShouldBeNil)
			e2, h2 := fast(t, nil)
			n, err := h2.ImportBlocks(ctx, engine.ImportRequest{
				SourceAddress: e.Addr(), WeightsVersion: "v1", CacheSalt: "s", BlockHashes: []uint64{1, 2, 9, 3},
			})
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 2)
			_, usage, err := whole(h2.Generate(ctx, req))
			So(err, ShouldBeNil)
			So(usage.CachedTokens, ShouldEqual, 20)
			So(e2.PoisonedHits(), ShouldEqual, 0)
		})
	})
}

func TestSchedule(t *testing.T) {
	Convey("With one place in the batch, a later request of higher priority goes first", t, func() {
		_, h := fast(t, func(c *Config) { c.MaxRunning, c.MinStepDuration = 1, 50*time.Millisecond })
		ended := make(chan string, 3)
		start := func(id string, priority int) {
			req := prompt(id, id, 1, 1)
			req.CacheSalt, req.Priority, req.MaxTokens = id, priority, 10
			stream, err := h.Generate(t.Context(), req)
			So(err, ShouldBeNil)
			for chunk := (engine.Chunk{}); id == "first" && chunk.Seq == 0; {
				chunk, err = stream.Recv()
				So(err, ShouldBeNil)
			}
			go func() {
				_, _, _ = whole(stream, nil)
				ended <- id
			}()
		}
		start("first", 0)
		start("low", 0)
		start("high", 1)
		So([]string{<-ended, <-ended, <-ended}, ShouldResemble, []string{"first", "high", "low"})
	})
	Convey("Blocks of evicted prompts count as recomputed, over all engines with one Seen, and a store gives them back", t, func() {
		seen, store := NewComputedBlocks(), NewBlockStore()
		share := func(c *Config) { c.ComputedBlocks, c.BlockStore, c.TotalBlocks = seen, store, 3 }
		e, h := fast(t, share)
		a, b := prompt("a", "a", 3, 1), prompt("b", "b", 3, 11)
		for _, req := range []engine.Request{a, b} {
			_, _, err := whole(h.Generate(t.Context(), req))
			So(err, ShouldBeNil)
		}
		So(e.Stats().RecomputedTokens, ShouldEqual, 0)
		So(e.Stats().EvictedBlocks, ShouldEqual, 3)
		e2, h2 := fast(t, share)
		_, _, err := whole(h2.Generate(t.Context(), a))
		So(err, ShouldBeNil)
		So(e2.Stats().RecomputedTokens, ShouldEqual, 30)

		server := httptest.NewServer(store)
		Reset(server.Close)
		n, err := h.ImportBlocks(t.Context(), engine.ImportRequest{
			SourceAddress: server.Listener.Addr().String(), WeightsVersion: "v1", CacheSalt: "s", BlockHashes: a.BlockHashes,
		})
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 3)
		a.ID = "a#2"
		_, usage, err := whole(h.Generate(t.Context(), a))
		So(err, ShouldBeNil)
		So(usage.CachedTokens, ShouldEqual, 30)
		So(e.PoisonedHits(), ShouldEqual, 0)
	})
}

func TestEvents(t *testing.T) {
	Convey("The event log replays to the cache, in numbered order, under eviction", t, func() {
		e, h := fast(t, nil)
		for i := range 6 {
			_, _, err := whole(h.Generate(t.Context(), prompt(string(rune('a'+i)), string(rune('a'+i)), 3, uint64(10*i))))
			So(err, ShouldBeNil)
		}
		events, err := h.CacheEvents(t.Context(), 0, 0)
		So(err, ShouldBeNil)
		defer events.Close()
		held := map[uint64]bool{}
		for next := uint64(1); ; next++ {
			event, err := events.Recv()
			So(err, ShouldBeNil)
			if event.Seq == 0 {
				break
			}
			So(event.Seq, ShouldEqual, next)
			for _, hash := range event.Evicted {
				So(held[hash], ShouldBeTrue)
				delete(held, hash)
			}
			for _, hash := range event.Stored {
				held[hash] = true
			}
		}
		So(len(held), ShouldEqual, 8)
		for _, hash := range e.CachedBlockHashes("v1") {
			So(held[hash], ShouldBeTrue)
		}
	})
}

func TestFaults(t *testing.T) {
	Convey("Given a slow engine with a stream under way", t, func() {
		e, h := fast(t, func(c *Config) { c.MinStepDuration = 20 * time.Millisecond })
		req := prompt("r", "a", 1, 1)
		want := Answer("m", "v1", req.Prompt, req.MaxTokens)
		stream, err := h.Generate(t.Context(), req)
		So(err, ShouldBeNil)
		first, err := stream.Recv()
		So(err, ShouldBeNil)
		Convey("A silent connection breaks and the stream resumes on a new one", func() {
			e.StallConnections()
			rest, _, err := whole(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			got := first.Text + rest
			tail, _, err := whole(h.Resume(t.Context(), "r", uint64(len(got)/bytesPerToken)+1))
			So(err, ShouldBeNil)
			So(got+tail, ShouldEqual, want)
		})
		Convey("A freeze breaks it and a thaw brings the engine back", func() {
			e.Freeze()
			_, _, err := whole(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			e.Thaw()
			text, _, err := whole(h.Resume(t.Context(), "r", 1))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want)
		})
		Convey("A crash breaks it and the engine comes back empty with a new boot", func() {
			boot := e.Boot()
			e.Crash(50 * time.Millisecond)
			_, _, err := whole(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			So(eventually(func() bool {
				report, err := h.LoadReport(context.Background())
				return err == nil && report.BootID > boot && report.FreeBlocks == report.TotalBlocks
			}), ShouldBeTrue)
			_, err = h.Resume(t.Context(), "r", 1)
			So(errors.Is(err, engine.ErrUnknownStream), ShouldBeTrue)
		})
		Convey("A cancel frees its place", func() {
			So(h.Cancel(t.Context(), "r"), ShouldBeNil)
			_, _, err := whole(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			report, err := h.LoadReport(t.Context())
			So(err, ShouldBeNil)
			So(report.Running, ShouldEqual, 0)
			So(e.Stats().Cancelled, ShouldEqual, 1)
		})
	})
}
