package cli

import (
	"context"
	"slices"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bench"
)

// benchRoutingCommand returns the subcommand that compares the routing
// policies.
func benchRoutingCommand() *cli.Command {
	return &cli.Command{
		Name:      "routing",
		Usage:     "the routing policies side by side on one workload",
		UsageText: "baobab bench routing --seed 7 --json --plot curves.svg",
		Flags: slices.Concat(benchFlags, []cli.Flag{
			&cli.StringFlag{Name: "fault", Value: string(bench.FaultNone), Usage: "`FAULT`: none, crash, events_lost or leaving"},
			&cli.StringFlag{Name: "plot", Usage: "write the curves of time to first token to `FILE`, .svg or .png"},
			&cli.Float64Flag{Name: "rate", Usage: "arrivals a second for each engine in model time; 0 for the deployment's own"},
			&cli.StringFlag{Name: "only", Usage: "run one `POLICY` at the first load"},
		}),
		Action: func(c *cli.Context) error {
			ctx, cancel := context.WithTimeout(c.Context, benchTimeout)
			defer cancel()
			return errors.Trace(bench.Routing(ctx, bench.RoutingOptions{
				Options:  benchOptions(c),
				Fault:    bench.RoutingFault(c.String("fault")),
				Rate:     c.Float64("rate"),
				Policy:   c.String("only"),
				PlotFile: c.String("plot"),
			}))
		},
	}
}
