package bench

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// RelayFigures are the throughput of one router before three agents, with
// client and fake engines in the same process.
type RelayFigures struct {
	Requests          int     `json:"requests"`
	Failed            int     `json:"failed"`
	RequestsPerSecond float64 `json:"requests_per_s"`
	TokensPerSecond   float64 `json:"tokens_per_s"`
	// AllocationsPerRequest and CPUMillis count all parts together.
	AllocationsPerRequest float64 `json:"allocations_per_request_all_parts"`
	CPUMillis             float64 `json:"cpu_ms_per_request_all_parts"`
}

const (
	relayCallers      = 64
	relayDuration     = 5 * time.Second
	relayAnswerTokens = 16
	relayBlockTokens  = 250
)

// Relay measures the relay path with engines that answer at once: callers that
// each send the next request when the one before has ended.
func Relay(ctx context.Context, o Options) error {
	fleet, err := startRelayFleet(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	duration := o.Duration
	if duration <= 0 {
		duration = relayDuration
	}
	return o.print(relayLoad(ctx, o, fleet, duration, relayAnswerTokens))
}

// startRelayFleet starts a small fleet of engines that answer at once.
func startRelayFleet(ctx context.Context, o Options) (*localfleet.Fleet, error) {
	return localfleet.Start(ctx, localfleet.Config{
		Deployment: localfleet.SmallDeployment(), RouterCount: 1, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: enginefake.Config{
			BlockTokens: relayBlockTokens, TotalBlocks: 4096, PrefillTokensPerSecond: 1e9,
			DecodeStep: time.Millisecond, StepTokens: 1 << 20, MaxRunning: 256,
		},
	})
}

func relayLoad(ctx context.Context, o Options, fleet *localfleet.Fleet, duration time.Duration, answerTokens int) RelayFigures {
	deployment := fleet.Config.Deployment
	client := loadclient.New(fleet.Routers[0].Daemon.Address())
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var done, failed, tokens atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore, started := cpuTime(), time.Now()
	var callers sync.WaitGroup
	for i := range relayCallers {
		pattern := workload.DefaultConfig(o.Seed+uint64(i), deployment.Accounts, deployment.Model, localfleet.BlockBytes(relayBlockTokens))
		pattern.MaxTokens = answerTokens
		pattern.Documents = 20
		generator := workload.New(pattern)
		callers.Go(func() {
			for ctx.Err() == nil {
				result := client.Complete(ctx, generator.Next())
				switch {
				case result.Complete:
					done.Add(1)
					tokens.Add(int64(result.CompletionTokens))
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(started).Seconds()
	used := cpuTime() - cpuBefore
	runtime.ReadMemStats(&after)
	served := float64(max(done.Load(), 1))
	return RelayFigures{
		Requests:              int(done.Load()),
		Failed:                int(failed.Load()),
		RequestsPerSecond:     float64(done.Load()) / elapsed,
		TokensPerSecond:       float64(tokens.Load()) / elapsed,
		AllocationsPerRequest: float64(after.Mallocs-before.Mallocs) / served,
		CPUMillis:             float64(used.Microseconds()) / 1000 / served,
	}
}
