package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Limits of a load run.
const (
	maxLoadDuration = 10 * time.Minute
	maxLoadRate     = 1000
	maxLoadRequests = 20_000
	// maxTotalPromptBytes limits the total size of all prompts of a run.
	maxTotalPromptBytes = 1 << 29
	// answerTimeout limits the wait for answers after the last arrival.
	answerTimeout = 2 * time.Minute
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a seeded open-loop workload to a router and measure the answers",
		UsageText: "baobab load --router 127.0.0.1:8080 --workload load.json --duration 30s --rate 10 --plot load.svg\n" +
			"baobab load --router 127.0.0.1:8080 --model drafts --seed 7 --duration 10s    # an open route",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: routerOption, Usage: "`ADDR` of a router's callers' listener", Required: true},
			&cli.StringFlag{Name: "workload", Usage: "`FILE` of the workload, mode 0600", TakesFile: true},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` in place of the workload's"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` in place of the workload's model"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`TIME` of arrivals, at most 10m"},
			&cli.Float64Flag{Name: "rate", Value: 10, Usage: "mean `REQUESTS` a second"},
			&cli.StringFlag{Name: "verify-weights", Usage: "check each answer against the stand-in engine's for this weights `VERSION`"},
			&cli.StringFlag{Name: "plot", Usage: "SVG `FILE` of times by percentile", TakesFile: true},
			jsonFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
		return err
	}
	requests, err := generateRequests(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("duration")+answerTimeout)
	defer cancel()
	client := loadclient.New(c.String(routerOption))
	defer client.Close()
	stopProgress := startProgress(ctx, c, requests)
	results := loadclient.Run(ctx, []*loadclient.Client{client}, requests)
	stopProgress()
	report := summarizeResults(results, len(requests), c.String("verify-weights"))
	if path := c.String("plot"); path != "" {
		if err := writePlot(path, &report); err != nil {
			return err
		}
	}
	if err := printResult(c, report, report.text()); err != nil {
		return err
	}
	return report.exitError()
}

// generateRequests validates the options and generates the run's requests.
func generateRequests(c *cli.Context) ([]workload.Request, error) {
	if err := checkAddress(routerOption, c.String(routerOption)); err != nil {
		return nil, err
	}
	duration, rate := c.Duration("duration"), c.Float64("rate")
	if duration <= 0 || duration > maxLoadDuration || !(rate > 0 && rate <= maxLoadRate) {
		return nil, usageError{errors.Errorf("want a --duration up to %v and a --rate up to %d", maxLoadDuration, maxLoadRate)}
	}
	settings := defaultWorkload()
	if path := c.String("workload"); path != "" {
		var err error
		if settings, err = loadWorkload(path); err != nil {
			return nil, err
		}
	}
	if c.IsSet("seed") {
		settings.Seed = c.Uint64("seed")
	}
	if c.IsSet("model") {
		settings.Model = c.String("model")
	}
	config, err := settings.generatorConfig(rate)
	if err != nil {
		return nil, err
	}
	maxRequests := min(maxLoadRequests, maxTotalPromptBytes/(config.BlockBytes*config.MaxBlocks))
	requests := workload.New(config).RequestsBefore(duration, maxRequests+1)
	if len(requests) > maxRequests {
		return nil, usageError{errors.Errorf("more than %d requests of this size: want a lower --rate or --duration", maxRequests)}
	}
	if len(requests) == 0 {
		return nil, usageError{errors.New("no request arrives in this time: want a higher --rate or --duration")}
	}
	return requests, nil
}

// progressInterval is the interval between progress lines.
const progressInterval = time.Second

// startProgress periodically prints on standard error how many requests are
// due, until the returned function is called or ctx is done.
func startProgress(ctx context.Context, c *cli.Context, requests []workload.Request) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	started := time.Now()
	go func() {
		defer close(done)
		due := 0
		for clock.Sleep(ctx, progressInterval) {
			for due < len(requests) && requests[due].ArrivalTime <= time.Since(started) {
				due++
			}
			_, _ = fmt.Fprintf(c.App.ErrWriter, "%v: %d of %d requests due\n",
				time.Since(started).Round(time.Second), due, len(requests))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
