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

// Bounds of a load run.
const (
	maxLoadTime     = 10 * time.Minute
	maxLoadRate     = 1000
	maxLoadRequests = 20_000
	// maxPromptBytes bounds all prompts of a run together.
	maxPromptBytes = 1 << 29
	// answerTime bounds the wait for answers after the last arrival.
	answerTime = 2 * time.Minute
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
	if _, err := arguments(c); err != nil {
		return err
	}
	requests, err := arrivals(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("duration")+answerTime)
	defer cancel()
	client := loadclient.New(c.String(routerOption))
	defer client.Close()
	stopProgress := showProgress(ctx, c, requests)
	results := loadclient.Run(ctx, []*loadclient.Client{client}, requests)
	stopProgress()
	report := sumUp(results, len(requests), c.String("verify-weights"))
	if path := c.String("plot"); path != "" {
		if err := plotTo(path, &report); err != nil {
			return err
		}
	}
	if err := show(c, report, report.text()); err != nil {
		return err
	}
	return report.verdict()
}

// arrivals checks the options and makes the run's requests.
func arrivals(c *cli.Context) ([]workload.Request, error) {
	if err := checkAddress(routerOption, c.String(routerOption)); err != nil {
		return nil, err
	}
	duration, rate := c.Duration("duration"), c.Float64("rate")
	if duration <= 0 || duration > maxLoadTime || !(rate > 0 && rate <= maxLoadRate) {
		return nil, usageError{errors.Errorf("want a --duration up to %v and a --rate up to %d", maxLoadTime, maxLoadRate)}
	}
	file := defaultWorkload()
	if path := c.String("workload"); path != "" {
		var err error
		if file, err = loadWorkload(path); err != nil {
			return nil, err
		}
	}
	if c.IsSet("seed") {
		file.Seed = c.Uint64("seed")
	}
	if c.IsSet("model") {
		file.Model = c.String("model")
	}
	config, err := file.config(rate)
	if err != nil {
		return nil, err
	}
	limit := min(maxLoadRequests, maxPromptBytes/(config.BlockBytes*config.MaxBlocks))
	requests := workload.New(config).RequestsBefore(duration, limit+1)
	if len(requests) > limit {
		return nil, usageError{errors.Errorf("more than %d requests of this size: want a lower --rate or --duration", limit)}
	}
	if len(requests) == 0 {
		return nil, usageError{errors.New("no request arrives in this time: want a higher --rate or --duration")}
	}
	return requests, nil
}

// progressPeriod is the time between two lines of progress.
const progressPeriod = time.Second

// showProgress shows on standard error how many requests have arrived, until
// the returned function is called.
func showProgress(ctx context.Context, c *cli.Context, requests []workload.Request) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	started := time.Now()
	go func() {
		defer close(done)
		arrived := 0
		for clock.Sleep(ctx, progressPeriod) {
			for arrived < len(requests) && requests[arrived].ArrivalTime <= time.Since(started) {
				arrived++
			}
			_, _ = fmt.Fprintf(c.App.ErrWriter, "%v: %d of %d requests due\n",
				time.Since(started).Round(time.Second), arrived, len(requests))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
