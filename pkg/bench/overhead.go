package bench

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/prefix"
	"github.com/baobabhub/baobabhub/pkg/stats"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// OverheadResult compares requests through router and agent with the same
// requests sent directly to the engine.
type OverheadResult struct {
	Requests        int     `json:"requests"`
	DirectP50MS     float64 `json:"direct_ttft_p50_ms"`
	DirectP99MS     float64 `json:"direct_ttft_p99_ms"`
	RoutedP50MS     float64 `json:"routed_ttft_p50_ms"`
	RoutedP99MS     float64 `json:"routed_ttft_p99_ms"`
	AddedP99MS      float64 `json:"added_p99_ms"`
	RatioP50        float64 `json:"ratio_p50"`
	StartToServedMS float64 `json:"start_to_served_ms"`
}

const (
	overheadRequests     = 200
	overheadBlockTokens  = 500
	overheadEngineBlocks = 4096
	overheadAnswerTokens = 4
	// overheadDecodeStep is short so that a request that arrives just after the
	// start of a step does not wait long for the next one.
	overheadDecodeStep = 500 * time.Microsecond
)

// Overhead measures what router and agent add to the time to first token on an
// idle machine, with one request at a time. Each prompt is sent once
// beforehand, so that it is cached on both paths.
func Overhead(ctx context.Context, o Options) error {
	deployment := localfleet.SmallDeployment()
	deployment.Pools[0].TargetCount = 1
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: 1, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{
			BlockTokens: overheadBlockTokens, TotalBlocks: overheadEngineBlocks, MinStepDuration: overheadDecodeStep,
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	workloadConfig := workload.DefaultConfig(o.Seed, deployment.Accounts, deployment.Model, localfleet.BlockBytes(overheadBlockTokens))
	workloadConfig.Documents = 8
	workloadConfig.MaxTokens = overheadAnswerTokens
	generator := workload.New(workloadConfig)
	direct := engine.NewHTTP(fleet.Targets[0].Engine.Addr(), engine.Timeouts{
		Dial: time.Second, Idle: time.Second, Call: time.Second,
	})
	defer direct.Close()
	client := loadclient.New(fleet.Routers[0].Daemon.Address())
	defer client.Close()
	var directTimes, routedTimes, added stats.DurationHistogram
	for i := range overheadRequests {
		request := generator.Next()
		if result := client.Complete(ctx, request); !result.Complete {
			return errors.Errorf("request %d not complete: %s %v", i, result.Code, result.Err)
		}
		directTime, err := sendDirect(ctx, direct, deployment, request, i)
		if err != nil {
			return errors.Trace(err)
		}
		routed := client.Complete(ctx, request)
		if !routed.Complete {
			return errors.Errorf("request %d not complete: %s %v", i, routed.Code, routed.Err)
		}
		directTimes.Record(directTime)
		routedTimes.Record(routed.FirstToken)
		added.Record(routed.FirstToken - directTime)
	}
	startToServed, err := measureRouterStart(ctx, fleet, generator.Next())
	if err != nil {
		return errors.Trace(err)
	}
	return o.printJSON(OverheadResult{
		Requests:    overheadRequests,
		DirectP50MS: directTimes.QuantileMS(0.5), DirectP99MS: directTimes.QuantileMS(0.99),
		RoutedP50MS: routedTimes.QuantileMS(0.5), RoutedP99MS: routedTimes.QuantileMS(0.99),
		AddedP99MS:      added.QuantileMS(0.99),
		RatioP50:        float64(routedTimes.Quantile(0.5)) / float64(directTimes.Quantile(0.5)),
		StartToServedMS: float64(startToServed.Microseconds()) / 1000,
	})
}

// sendDirect sends the prompt directly to the engine and returns the time to
// first token.
func sendDirect(ctx context.Context, direct *engine.HTTP, d localfleet.Deployment, request workload.Request, index int) (time.Duration, error) {
	salt := prefix.Salt(request.Account.Name, d.Model, "", d.WeightsVersion)
	started := time.Now()
	stream, err := direct.Generate(ctx, engine.Request{
		ID: "direct-" + time.Duration(index).String(), Model: d.Model, WeightsVersion: d.WeightsVersion,
		CacheSalt:   salt,
		BlockHashes: prefix.Chain(salt, []byte(request.Prompt), localfleet.BlockBytes(overheadBlockTokens)),
		BlockTokens: overheadBlockTokens, Prompt: request.Prompt, MaxTokens: request.MaxTokens,
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = stream.Close() }()
	var firstToken time.Duration
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return firstToken, nil
		}
		if err != nil {
			return 0, errors.Trace(err)
		}
		if firstToken == 0 && chunk.Seq > 0 {
			firstToken = time.Since(started)
		}
	}
}

// measureRouterStart starts an additional router and returns the time from its
// start to the first token of its first complete answer.
func measureRouterStart(ctx context.Context, fleet *localfleet.Fleet, request workload.Request) (time.Duration, error) {
	started := time.Now()
	if err := fleet.AddRouter(len(fleet.Routers)); err != nil {
		return 0, errors.Trace(err)
	}
	client := loadclient.New(fleet.Routers[len(fleet.Routers)-1].Daemon.Address())
	defer client.Close()
	for {
		sentAt := time.Now()
		result := client.Complete(ctx, request)
		if result.Complete {
			return sentAt.Add(result.FirstToken).Sub(started), nil
		}
		if ctx.Err() != nil {
			return 0, errors.Trace(ctx.Err())
		}
		time.Sleep(time.Millisecond)
	}
}
