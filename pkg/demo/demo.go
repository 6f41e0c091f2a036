// Package demo runs a small fleet in one process, sends it requests with long
// shared prompts, checks every answer and prints the routing decision for each
// request.
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

// Config configures a demonstration.
type Config struct {
	Seed     uint64
	Requests int
	// JSON prints the summary as a JSON object on the last line instead of as text.
	JSON bool
	// Serve keeps the fleet running after the requests until ctx is done.
	Serve bool
	// Output receives the demonstration's output. LogOutput receives the log of the
	// processes; nil discards it.
	Output    io.Writer
	LogOutput io.Writer
}

// Summary holds the results of a demonstration.
type Summary struct {
	Requests  int     `json:"requests"`
	Complete  int     `json:"complete"`
	Wrong     int     `json:"wrong"`
	HitRate   float64 `json:"hit_rate"`
	TTFTP50MS float64 `json:"ttft_p50_ms"`
	TTFTP99MS float64 `json:"ttft_p99_ms"`
}

// ErrWrongAnswer is returned if an answer was wrong, incomplete or out of order.
const ErrWrongAnswer = errors.ConstError("an answer was wrong, incomplete or out of order")

const (
	blockTokens         = 2000
	blocksPerEngine     = 120
	startTimeout        = 10 * time.Second
	requestsPerSecond   = 6
	documentsPerAccount = 12
)

// Run runs a demonstration. It returns ErrWrongAnswer if an answer was incomplete
// or differs from the answer that the simulated engine generates for the prompt.
func Run(ctx context.Context, config Config) error {
	decisions := newDecisionRecorder(config.LogOutput)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Config{
		Deployment:  localfleet.SmallDeployment(),
		RouterCount: 1,
		Seed:        config.Seed,
		Engine:      enginefake.Config{BlockTokens: blockTokens, TotalBlocks: blocksPerEngine},
		LogOutput:   decisions,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	summary, err := sendRequests(ctx, config, fleet, decisions)
	if err != nil {
		return errors.Trace(err)
	}
	if err := printSummary(config, summary); err != nil {
		return errors.Trace(err)
	}
	if config.Serve {
		serveUntilDone(ctx, config, fleet)
	}
	if summary.Wrong > 0 || summary.Complete != summary.Requests {
		return ErrWrongAnswer
	}
	return nil
}

func sendRequests(ctx context.Context, config Config, fleet *localfleet.Fleet, decisions *decisionRecorder) (Summary, error) {
	deployment := fleet.Config.Deployment
	workloadConfig := workload.DefaultConfig(config.Seed, deployment.Accounts, deployment.Model, localfleet.BlockBytes(blockTokens))
	workloadConfig.RequestsPerSecond = requestsPerSecond
	workloadConfig.Documents = documentsPerAccount
	generator := workload.New(workloadConfig)
	requests := make([]workload.Request, 0, config.Requests)
	for range config.Requests {
		requests = append(requests, generator.Next())
	}
	client := loadclient.New(fleet.Routers[0].Daemon.Address())
	defer client.Close()
	results := loadclient.Run(ctx, []*loadclient.Client{client}, requests)
	if err := sendLookup(ctx, config.Output, fleet); err != nil {
		return Summary{}, err
	}
	return printResults(config.Output, deployment, results, decisions), nil
}

// printResults checks all results, prints them as a table and returns the summary.
func printResults(out io.Writer, deployment localfleet.Deployment, results []loadclient.Result, decisions *decisionRecorder) Summary {
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
			float64(result.FirstToken.Microseconds())/1000, decisions.decisionFor(result.RequestID)+result.Code)
	}
	if promptTokens > 0 {
		summary.HitRate = float64(cachedTokens) / float64(promptTokens)
	}
	summary.TTFTP50MS = firstTokens.QuantileMS(0.5)
	summary.TTFTP99MS = firstTokens.QuantileMS(0.99)
	return summary
}

func printSummary(config Config, summary Summary) error {
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

func serveUntilDone(ctx context.Context, config Config, fleet *localfleet.Fleet) {
	address := fleet.Routers[0].Daemon.Address()
	_, _ = fmt.Fprintf(config.Output, "\nserving at http://%s, model %s, key %s; interrupt to stop\n",
		address, fleet.Config.Deployment.Model, fleet.Config.Deployment.Accounts[0].Key)
	<-ctx.Done()
}

// sendLookup sends one lookup to the plain service and prints the response.
func sendLookup(ctx context.Context, out io.Writer, fleet *localfleet.Fleet) error {
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
