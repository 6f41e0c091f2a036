package cli

import (
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
)

var configFlag = &cli.StringFlag{
	Name:      "config",
	Usage:     "settings `FILE` in JSON; docs/SETTINGS.md lists them",
	Required:  true,
	TakesFile: true,
}

// NewRouterApp is the command line of baobab-router.
func NewRouterApp() *cli.App {
	app := newApp("baobab-router", "serve callers on an entry VM", os.Stdout)
	app.UsageText = "baobab-router --config router.json"
	app.Flags = []cli.Flag{configFlag}
	app.Action = func(c *cli.Context) error {
		settings, err := config.LoadRouter(c.String(configFlag.Name))
		if err != nil {
			return usageError{err}
		}
		router, err := daemon.NewRouter(settings, os.Stderr, nil)
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(router.Run(c.Context))
	}
	return app
}

// NewAgentApp is the command line of baobab-agent.
func NewAgentApp() *cli.App {
	app := newApp("baobab-agent", "serve routers beside one target", os.Stdout)
	app.UsageText = "baobab-agent --config agent.json"
	app.Flags = []cli.Flag{configFlag}
	app.Action = func(c *cli.Context) error {
		settings, err := config.LoadAgent(c.String(configFlag.Name))
		if err != nil {
			return usageError{err}
		}
		agent, err := daemon.NewAgent(settings, os.Stderr)
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(agent.Run(c.Context))
	}
	return app
}
