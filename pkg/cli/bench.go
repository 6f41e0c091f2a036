package cli

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bench"
)

// benchFlags are the flags that all benchmarks share.
var benchFlags = []cli.Flag{
	&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the workload and the faults"},
	&cli.DurationFlag{Name: "duration", Usage: "`TIME` of load in each part; 0 for the run's own"},
	&cli.StringFlag{Name: "deployment", Value: "cooperativa", Usage: "`SITE`: cooperativa or beaulieu"},
	&cli.BoolFlag{Name: "json", Usage: "print nothing but one JSON object"},
	&cli.BoolFlag{Name: "log", Usage: "print the processes' log lines on standard error"},
}

// benchTimeout aborts a benchmark that hangs.
const benchTimeout = 10 * time.Minute

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure on this machine; the last line is one JSON object",
		Subcommands: []*cli.Command{
			newBenchCommand("relay", "throughput of the relay path", bench.Relay),
			newBenchCommand("overhead", "what router and agent add to a request", bench.Overhead),
			newBenchCommand("slopes", "the costs that docs/CAPACITY.md multiplies", bench.MeasureUnitCosts),
			benchRoutingCommand(),
			newBenchCommand("recovery", "answers under faults and planned stops", bench.Recovery),
			newBenchCommand("once", "at-most-once calls under faults", bench.AtMostOnce),
			newBenchCommand("limits", "account rates, withdrawn keys and bundles under a fault", bench.Limits,
				&cli.StringFlag{Name: "fault", Value: "none", Usage: "`NAME`: " + strings.Join(bench.LimitsFaultNames(), ", ")}),
		},
	}
}

// newBenchCommand returns the subcommand of a benchmark that takes the common
// options and extraFlags.
func newBenchCommand(name, usage string, run func(context.Context, bench.Options) error, extraFlags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		UsageText: "baobab bench " + name + " --seed 7 --json",
		Flags:     append(slices.Clone(benchFlags), extraFlags...),
		Action: func(c *cli.Context) error {
			ctx, cancel := context.WithTimeout(c.Context, benchTimeout)
			defer cancel()
			return errors.Trace(run(ctx, benchOptions(c)))
		},
	}
}

func benchOptions(c *cli.Context) bench.Options {
	options := bench.Options{
		Seed:       c.Uint64("seed"),
		Duration:   c.Duration("duration"),
		Deployment: c.String("deployment"),
		Fault:      c.String("fault"),
		JSON:       c.Bool("json"),
		Output:     c.App.Writer,
	}
	if c.Bool("log") {
		options.LogOutput = os.Stderr
	}
	return options
}
