// Package demo runs a small fleet in one process, sends it requests with long
// shared prompts, checks every answer and shows the decision behind each.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Config sets up a demonstration.
type Config struct {
	Seed     uint64
	Requests int
	// JSON prints one JSON object as the last line in place of the summary.
	JSON bool
	// Serve keeps the fleet up after the requests until ctx ends.
	Serve bool
	// Output takes what a person reads; LogOutput the processes' log lines.
	Output    io.Writer
	LogOutput io.Writer
}

// Summary holds a demonstration's figures.
type Summary struct {
	Requests  int     `json:"requests"`
	Complete  int     `json:"complete"`
	Wrong     int     `json:"wrong"`
	HitRate   float64 `json:"hit_rate"`
	TTFTP50MS float64 `json:"ttft_p50_ms"`
	TTFTP99MS float64 `json:"ttft_p99_ms"`
}

// ErrWrongAnswer means that an answer was wrong, incomplete or out of order.
const ErrWrongAnswer = errors.ConstError("an answer was wrong, incomplete or out of order")

const (
	blockTokens   = 2000
	engineBlocks  = 120
	startTimeout  = 10 * time.Second
	requestRate   = 6
	demoDocuments = 12
)

// Run runs a demonstration and returns ErrWrongAnswer when an answer was not
// what the engines' own rule gives.
func Run(ctx context.Context, config Config) error {
	decisions := newDecisionLog(config.LogOutput)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Config{
		Deployment:  localfleet.SmallDeployment(),
		RouterCount: 1,
		Seed:        config.Seed,
		Engine:      enginefake.Config{BlockTokens: blockTokens, TotalBlocks: engineBlocks},
		LogOutput:   decisions,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	summary, err := send(ctx, config, fleet, decisions)
	if err != nil {
		return errors.Trace(err)
	}
	if err := report(config, summary); err != nil {
		return errors.Trace(err)
	}
	if config.Serve {
		serve(ctx, config, fleet)
	}
	if summary.Wrong > 0 || summary.Complete != summary.Requests {
		return ErrWrongAnswer
	}
	return nil
}

func send(ctx context.Context, config Config, fleet *localfleet.Fleet, decisions *decisionLog) (Summary, error) {
	deployment := fleet.Config.Deployment
	pattern := workload.DefaultConfig(config.Seed, deployment.Accounts, deployment.Model, localfleet.BlockBytes(blockTokens))
	pattern.RequestsPerSecond = requestRate
	pattern.Documents = demoDocuments
	generator := workload.New(pattern)
	requests := make([]workload.Request, 0, config.Requests)
	for range config.Requests {
		requests = append(requests, generator.Next())
	}
	client := loadclient.New(fleet.Routers[0].Daemon.Address())
	defer client.Close()
	results := loadclient.Run(ctx, []*loadclient.Client{client}, requests)
	if err := bookOnce(ctx, config.Output, fleet); err != nil {
		return Summary{}, err
	}
	return summarize(config.Output, deployment, results, decisions), nil
}

// summarize checks and prints the results.
func summarize(out io.Writer, deployment localfleet.Deployment, results []loadclient.Result, decisions *decisionLog) Summary {
	summary := Summary{Requests: len(results)}
	var firstTokens stats.DurationHistogram
	promptTokens, cachedTokens := 0, 0
	_, _ = fmt.Fprintf(out, "%-4s %-10s %-12s %8s %8s %9s  %s\n", "#", "account", "target", "prompt", "cached", "ttft", "decision")
	for _, result := range results {
		correct := result.Text == enginefake.Answer(deployment.Model, deployment.WeightsVersion,
			result.Request.Prompt, result.Request.MaxTokens)
		if result.Complete {
			summary.Complete++
			firstTokens.Record(result.FirstToken)
		}
		if result.Complete && !correct {
			summary.Wrong++
		}
		promptTokens += result.PromptTokens
		cachedTokens += result.CachedTokens
		_, _ = fmt.Fprintf(out, "%-4d %-10s %-12s %8d %8d %7.0fms  %s\n", result.Request.Number, result.Request.Account.Name,
			result.Target, result.PromptTokens, result.CachedTokens,
			float64(result.FirstToken.Microseconds())/1000, decisions.of(result.RequestID)+result.Code)
	}
	if promptTokens > 0 {
		summary.HitRate = float64(cachedTokens) / float64(promptTokens)
	}
	summary.TTFTP50MS = firstTokens.QuantileMS(0.5)
	summary.TTFTP99MS = firstTokens.QuantileMS(0.99)
	return summary
}

func report(config Config, summary Summary) error {
	if config.JSON {
		line, err := json.Marshal(summary)
		if err != nil {
			return errors.Trace(err)
		}
		_, err = fmt.Fprintln(config.Output, string(line))
		return errors.Trace(err)
	}
	_, err := fmt.Fprintf(config.Output, "\n%d requests, %d complete, %d wrong, hit rate %.3f, first token p50 %.0f ms, p99 %.0f ms\n",
		summary.Requests, summary.Complete, summary.Wrong, summary.HitRate, summary.TTFTP50MS, summary.TTFTP99MS)
	return errors.Trace(err)
}

func serve(ctx context.Context, config Config, fleet *localfleet.Fleet) {
	address := fleet.Routers[0].Daemon.Address()
	_, _ = fmt.Fprintf(config.Output, "\nserving at http://%s, model %s, key %s; interrupt to stop\n",
		address, fleet.Config.Deployment.Model, fleet.Config.Deployment.Accounts[0].Key)
	<-ctx.Done()
}

// bookOnce looks something up at the plain service and shows the answer.
func bookOnce(ctx context.Context, out io.Writer, fleet *localfleet.Fleet) error {
	url := "http://" + fleet.Routers[0].Daemon.Address() + "/lookups/flight-7"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Config.Deployment.Accounts[0].Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("lookup: status %d: %s", resp.StatusCode, body)
	}
	_, _ = fmt.Fprintf(out, "lookup at the booking service: %s\n\n", body)
	return nil
}
