package enginefake

import (
	"context"
	"io"
	"net"
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

// startEngine starts an engine with one model and short steps, and returns it
// with a client.
func startEngine(t *testing.T, configure func(*Config)) (*Engine, *engine.HTTP) {
	cfg := Config{
		Models:                 []engine.LoadedModel{{Model: "m", WeightsVersion: "v1"}},
		PrefillTokensPerSecond: 1e6,
		MinStepDuration:        200 * time.Microsecond,
		HeartbeatInterval:      50 * time.Millisecond,
		TotalBlocks:            8,
	}
	if configure != nil {
		configure(&cfg)
	}
	e, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, engine.NewHTTP(e.Addr(), testTimeouts)
}

// newRequest returns a request with a prompt of full blocks whose hashes are
// first, first+1, and so on.
func newRequest(id, text string, blocks int, first uint64) engine.Request {
	req := engine.Request{
		ID: id, Model: "m", WeightsVersion: "v1", CacheSalt: "s", BlockTokens: testBlockTokens,
		Prompt: strings.Repeat(text, blocks*testBlockTokens*bytesPerToken), MaxTokens: 100,
	}
	for i := range blocks {
		req.BlockHashes = append(req.BlockHashes, first+uint64(i))
	}
	return req
}

// readAll reads a stream to its end and returns its text and usage.
func readAll(stream engine.Stream, err error) (string, *engine.Usage, error) {
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

// eventually polls cond for up to 10s and reports whether it became true.
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
		e, client := startEngine(t, nil)
		ctx := t.Context()
		req := newRequest("r#1", "a", 3, 1)
		want := Answer("m", "v1", req.Prompt, req.MaxTokens)
		Convey("Continued and resumed answers match the complete answer, and the continuation hits the cache", func() {
			text, usage, err := readAll(client.Generate(ctx, req))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want)
			So(usage.CompletionTokens, ShouldEqual, CountTokens(want))

			continued := req
			continued.ID, continued.AnswerPrefix, continued.AnswerPrefixTokens = "r#2", want[:8], 2
			text, usage, err = readAll(client.Generate(ctx, continued))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want[8:])
			So(usage.CachedTokens, ShouldEqual, 30)

			text, _, err = readAll(client.Resume(ctx, "r#1", 3))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want[8:])
			stats := e.Stats()
			So(stats.Executions, ShouldResemble, map[string]int{"r": 2})
			So(stats.PoisonedHits, ShouldEqual, 0)
		})
		Convey("A block hash reused for different content is a poisoned hit, unless the salt differs", func() {
			_, _, err := readAll(client.Generate(ctx, req))
			So(err, ShouldBeNil)
			other := newRequest("q", "b", 3, 1)
			other.CacheSalt = "s2"
			_, _, err = readAll(client.Generate(ctx, other))
			So(err, ShouldBeNil)
			So(e.PoisonedHits(), ShouldEqual, 0)
			_, _, err = readAll(client.Generate(ctx, newRequest("p", "b", 3, 1)))
			So(err, ShouldBeNil)
			So(e.PoisonedHits(), ShouldEqual, 3)
		})
		Convey("A request with a duplicate id doesn't run again, and its error is ErrConnectionLost", func() {
			_, _, err := readAll(client.Generate(ctx, req))
			So(err, ShouldBeNil)
			_, err = client.Generate(ctx, req)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			So(e.Stats().Executions["r"], ShouldEqual, 1)
		})
		Convey("Requests are rejected until their weights version is loaded, and orders with a stale fencing token are rejected", func() {
			req.WeightsVersion = "v2"
			_, err := client.Generate(ctx, req)
			So(errors.Is(err, engine.ErrRejected), ShouldBeTrue)
			So(client.SendOrder(ctx, engine.Order{FencingToken: 5, Kind: engine.OrderLoad, Model: "m", WeightsVersion: "v2"}), ShouldBeNil)
			err = client.SendOrder(ctx, engine.Order{FencingToken: 4, Kind: engine.OrderUnload, Model: "m", WeightsVersion: "v1"})
			So(errors.Is(err, engine.ErrStaleFencingToken), ShouldBeTrue)
			So(eventually(func() bool {
				report, err := client.LoadReport(ctx)
				return err == nil && len(report.Models) == 2 && report.Loading == "" && report.FencingToken == 5
			}), ShouldBeTrue)
			_, _, err = readAll(client.Generate(ctx, req))
			So(err, ShouldBeNil)
		})
		Convey("Imported blocks are cache hits on the importing engine", func() {
			_, _, err := readAll(client.Generate(ctx, req))
			So(err, ShouldBeNil)
			e2, client2 := startEngine(t, nil)
			n, err := client2.ImportBlocks(ctx, engine.ImportRequest{
				SourceAddress: e.Addr(), WeightsVersion: "v1", CacheSalt: "s", BlockHashes: []uint64{1, 2, 9, 3},
			})
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 2)
			_, usage, err := readAll(client2.Generate(ctx, req))
			So(err, ShouldBeNil)
			So(usage.CachedTokens, ShouldEqual, 20)
			So(e2.PoisonedHits(), ShouldEqual, 0)
		})
	})
}

func TestScheduling(t *testing.T) {
	Convey("If the batch holds one request, a waiting request with a higher priority runs before one that arrived earlier", t, func() {
		_, client := startEngine(t, func(c *Config) { c.MaxRunning, c.MinStepDuration = 1, 50*time.Millisecond })
		finished := make(chan string, 3)
		submit := func(id string, priority int) {
			req := newRequest(id, id, 1, 1)
			req.CacheSalt, req.Priority, req.MaxTokens = id, priority, 10
			stream, err := client.Generate(t.Context(), req)
			So(err, ShouldBeNil)
			for chunk := (engine.Chunk{}); id == "first" && chunk.Seq == 0; {
				chunk, err = stream.Recv()
				So(err, ShouldBeNil)
			}
			go func() {
				_, _, _ = readAll(stream, nil)
				finished <- id
			}()
		}
		submit("first", 0)
		submit("low", 0)
		submit("high", 1)
		So([]string{<-finished, <-finished, <-finished}, ShouldResemble, []string{"first", "high", "low"})
	})
	Convey("Recomputed blocks are counted across engines that share ComputedBlocks, and evicted blocks can be imported from a BlockStore", t, func() {
		computed, store := NewComputedBlocks(), NewBlockStore()
		configure := func(c *Config) { c.ComputedBlocks, c.BlockStore, c.TotalBlocks = computed, store, 3 }
		e, client := startEngine(t, configure)
		a, b := newRequest("a", "a", 3, 1), newRequest("b", "b", 3, 11)
		for _, req := range []engine.Request{a, b} {
			_, _, err := readAll(client.Generate(t.Context(), req))
			So(err, ShouldBeNil)
		}
		So(e.Stats().RecomputedTokens, ShouldEqual, 0)
		So(e.Stats().EvictedBlocks, ShouldEqual, 3)
		e2, client2 := startEngine(t, configure)
		_, _, err := readAll(client2.Generate(t.Context(), a))
		So(err, ShouldBeNil)
		So(e2.Stats().RecomputedTokens, ShouldEqual, 30)

		server := httptest.NewServer(store)
		Reset(server.Close)
		n, err := client.ImportBlocks(t.Context(), engine.ImportRequest{
			SourceAddress: server.Listener.Addr().String(), WeightsVersion: "v1", CacheSalt: "s", BlockHashes: a.BlockHashes,
		})
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 3)
		a.ID = "a#2"
		_, usage, err := readAll(client.Generate(t.Context(), a))
		So(err, ShouldBeNil)
		So(usage.CachedTokens, ShouldEqual, 30)
		So(e.PoisonedHits(), ShouldEqual, 0)
	})
}

func TestEvents(t *testing.T) {
	Convey("Replaying the event log, which is numbered without gaps, yields the cached blocks after evictions", t, func() {
		e, client := startEngine(t, nil)
		for i := range 6 {
			_, _, err := readAll(client.Generate(t.Context(), newRequest(string(rune('a'+i)), string(rune('a'+i)), 3, uint64(10*i))))
			So(err, ShouldBeNil)
		}
		events, err := client.CacheEvents(t.Context(), 0, 0)
		So(err, ShouldBeNil)
		defer events.Close()
		replayed := map[uint64]bool{}
		for next := uint64(1); ; next++ {
			event, err := events.Recv()
			So(err, ShouldBeNil)
			if event.Seq == 0 {
				break
			}
			So(event.Seq, ShouldEqual, next)
			for _, hash := range event.Evicted {
				So(replayed[hash], ShouldBeTrue)
				delete(replayed, hash)
			}
			for _, hash := range event.Stored {
				replayed[hash] = true
			}
		}
		So(len(replayed), ShouldEqual, 8)
		for _, hash := range e.CachedBlockHashes("v1") {
			So(replayed[hash], ShouldBeTrue)
		}
	})
}

func TestFaults(t *testing.T) {
	Convey("Given a slow engine with an open stream", t, func() {
		e, client := startEngine(t, func(c *Config) { c.MinStepDuration = 20 * time.Millisecond })
		req := newRequest("r", "a", 1, 1)
		want := Answer("m", "v1", req.Prompt, req.MaxTokens)
		stream, err := client.Generate(t.Context(), req)
		So(err, ShouldBeNil)
		first, err := stream.Recv()
		So(err, ShouldBeNil)
		Convey("A stalled connection breaks the stream, which can be resumed on a new connection", func() {
			e.StallConnections()
			rest, _, err := readAll(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			got := first.Text + rest
			tail, _, err := readAll(client.Resume(t.Context(), "r", uint64(len(got)/bytesPerToken)+1))
			So(err, ShouldBeNil)
			So(got+tail, ShouldEqual, want)
		})
		Convey("Freezing the engine breaks the stream, which can be resumed after Thaw", func() {
			e.Freeze()
			_, _, err := readAll(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			e.Thaw()
			text, _, err := readAll(client.Resume(t.Context(), "r", 1))
			So(err, ShouldBeNil)
			So(text, ShouldEqual, want)
		})
		Convey("A crash breaks the stream, and the engine restarts with an empty cache and a new boot ID", func() {
			boot := e.Boot()
			e.Crash(50 * time.Millisecond)
			_, _, err := readAll(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			So(eventually(func() bool {
				report, err := client.LoadReport(context.Background())
				return err == nil && report.BootID > boot && report.FreeBlocks == report.TotalBlocks
			}), ShouldBeTrue)
			_, err = client.Resume(t.Context(), "r", 1)
			So(errors.Is(err, engine.ErrUnknownStream), ShouldBeTrue)
		})
		Convey("A cancelled request is removed from the batch", func() {
			So(client.Cancel(t.Context(), "r"), ShouldBeNil)
			_, _, err := readAll(stream, nil)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			report, err := client.LoadReport(t.Context())
			So(err, ShouldBeNil)
			So(report.Running, ShouldEqual, 0)
			So(e.Stats().Cancelled, ShouldEqual, 1)
		})
	})
}

// TestCrashRefusesConnections guards against an engine that answers with its next boot on the
// listener of the previous one, before it is down.
func TestCrashRefusesConnections(t *testing.T) {
	Convey("An engine refuses connections as soon as it has crashed", t, func() {
		const engines = 50
		accepted := 0
		for range engines {
			e, err := Start(Config{MinStepDuration: time.Millisecond, TotalBlocks: 8})
			So(err, ShouldBeNil)
			e.Crash(time.Minute)
			conn, err := net.Dial("tcp", e.Addr())
			if err == nil {
				accepted++
				_ = conn.Close()
			}
			e.Close()
		}
		So(accepted, ShouldEqual, 0)
	})
}
