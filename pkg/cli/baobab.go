package cli

import (
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/demo"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// NewOperatorApp returns the command-line app of baobab.
func NewOperatorApp(platform OperatorPlatform) *cli.App {
	app := newApp("baobab", "approve, roll and withdraw bundles; try and measure the system", os.Stdout)
	app.Commands = append(operatorCommands(), demoCommand(), configCommand(platform), eventsCommand(), benchCommand())
	return app
}

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "print the catalogue of log events",
		Action: func(c *cli.Context) error {
			_, err := fmt.Fprint(c.App.Writer, eventlog.MarkdownPage())
			return errors.Trace(err)
		},
	}
}

func configCommand(platform OperatorPlatform) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check settings files and configurations",
		Subcommands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "report all problems of a settings file, or of a deployment's configuration",
				UsageText: "baobab config check router router.json\nbaobab config check agent agent.json\nbaobab config check deployment config.json --in-force current.json",
				ArgsUsage: "router|agent|deployment FILE",
				Action:    checkConfig,

				Subcommands: []*cli.Command{deploymentCheckCommand(platform)},
			},
			{
				Name:  "reference",
				Usage: "print the settings reference page",
				Action: func(c *cli.Context) error {
					_, err := fmt.Fprint(c.App.Writer, config.Reference())
					return errors.Trace(err)
				},
			},
		},
	}
}

func checkConfig(c *cli.Context) error {
	if c.NArg() != 2 {
		return usageError{errors.New("want a kind, router, agent or deployment, and a file")}
	}
	var err error
	switch kind, file := c.Args().Get(0), c.Args().Get(1); kind {
	case "router":
		_, err = config.LoadRouter(file)
	case "agent":
		_, err = config.LoadAgent(file)
	default:
		err = errors.Errorf("unknown kind %q: want router, agent or deployment", kind)
	}
	if err != nil {
		return usageError{err}
	}
	_, err = fmt.Fprintln(c.App.Writer, "no problems")
	return errors.Trace(err)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet in this process and send it requests",
		UsageText: "baobab demo\nbaobab demo --json --seed 7\n" +
			"baobab demo --serve    # then curl it as the README shows",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the workload"},
			&cli.IntFlag{Name: "requests", Value: 40, Usage: "`NUMBER` of requests"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object as the last line"},
			&cli.BoolFlag{Name: "serve", Usage: "stay up after the requests until interrupted"},
			&cli.BoolFlag{Name: "log", Usage: "print the processes' log lines on standard error"},
		},
		Action: func(c *cli.Context) error {
			settings := demo.Config{
				Seed:     c.Uint64("seed"),
				Requests: c.Int("requests"),
				JSON:     c.Bool("json"),
				Serve:    c.Bool("serve"),
				Output:   c.App.Writer,
			}
			if c.Bool("log") {
				settings.LogOutput = os.Stderr
			}
			err := demo.Run(c.Context, settings)
			if errors.Is(err, demo.ErrWrongAnswer) {
				return cli.Exit(err.Error(), ExitWrongAnswer)
			}
			return errors.Trace(err)
		},
	}
}
