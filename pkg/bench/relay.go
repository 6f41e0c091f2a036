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

// RelayResult is the throughput of one router in front of three agents, with
// client and fake engines in the same process.
type RelayResult struct {
	Requests          int     `json:"requests"`
	Failed            int     `json:"failed"`
	RequestsPerSecond float64 `json:"requests_per_s"`
	TokensPerSecond   float64 `json:"tokens_per_s"`
	// AllocationsPerRequest and CPUMillis cover all parts of the process
	// together.
	AllocationsPerRequest float64 `json:"allocations_per_request_all_parts"`
	CPUMillis             float64 `json:"cpu_ms_per_request_all_parts"`
}

const (
	relayCallers      = 64
	relayDuration     = 5 * time.Second
	relayAnswerTokens = 16
	relayBlockTokens  = 250
)

// Relay measures the throughput of the relay path under a closed-loop load,
// with engines that answer immediately.
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
	return o.printJSON(runRelayLoad(ctx, o, fleet, duration, relayAnswerTokens))
}

// startRelayFleet starts a small fleet of engines that answer immediately.
func startRelayFleet(ctx context.Context, o Options) (*localfleet.Fleet, error) {
	return localfleet.Start(ctx, localfleet.Config{
		Deployment: localfleet.SmallDeployment(), RouterCount: 1, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{
			BlockTokens: relayBlockTokens, TotalBlocks: 4096, PrefillTokensPerSecond: 1e9,
			MinStepDuration: time.Millisecond, StepTokenBudget: 1 << 20, MaxRunning: 256,
		},
	})
}

func runRelayLoad(ctx context.Context, o Options, fleet *localfleet.Fleet, duration time.Duration, answerTokens int) RelayResult {
	deployment := fleet.Config.Deployment
	client := loadclient.New(fleet.Routers[0].Daemon.Address())
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var completed, failed, tokens atomic.Int64
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	cpuBefore, started := cpuTime(), time.Now()
	var callers sync.WaitGroup
	for i := range relayCallers {
		workloadConfig := workload.DefaultConfig(o.Seed+uint64(i), deployment.Accounts, deployment.Model, localfleet.BlockBytes(relayBlockTokens))
		workloadConfig.MaxTokens = answerTokens
		workloadConfig.Documents = 20
		generator := workload.New(workloadConfig)
		callers.Go(func() {
			for ctx.Err() == nil {
				result := client.Complete(ctx, generator.Next())
				switch {
				case result.Complete:
					completed.Add(1)
					tokens.Add(int64(result.CompletionTokens))
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(started).Seconds()
	cpuUsed := cpuTime() - cpuBefore
	runtime.ReadMemStats(&memAfter)
	served := float64(max(completed.Load(), 1))
	return RelayResult{
		Requests:              int(completed.Load()),
		Failed:                int(failed.Load()),
		RequestsPerSecond:     float64(completed.Load()) / elapsed,
		TokensPerSecond:       float64(tokens.Load()) / elapsed,
		AllocationsPerRequest: float64(memAfter.Mallocs-memBefore.Mallocs) / served,
		CPUMillis:             float64(cpuUsed.Microseconds()) / 1000 / served,
	}
}
