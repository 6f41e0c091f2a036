package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/entry"
)

// EntryPlatform connects baobab-entry to the platform's adapter.
type EntryPlatform struct {
	// SettingsPath is the settings file that the platform specifies; empty if
	// it specifies none.
	SettingsPath string
	// LoadSettings reads and validates a settings file.
	LoadSettings func(path string) (entry.Settings, error)
	// NewAdapter returns the adapter for valid settings.
	NewAdapter func(entry.Settings) entry.Platform
}

// hedgeShareOption is the name of the option for the share of hedged requests.
const hedgeShareOption = "hedge-share"

// NewEntryApp returns the command-line app of baobab-entry. On SIGHUP the app
// validates the settings file again and logs the result; changes take effect at
// the next start.
func NewEntryApp(platform EntryPlatform) *cli.App {
	app := newApp("baobab-entry", "serve callers on an entry VM of the platform", os.Stdout)
	app.UsageText = "baobab-entry [--settings FILE] [--hedge-share SHARE] [--check]"
	app.Flags = []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`; by default the one that the platform names", Value: platform.SettingsPath, TakesFile: true},
		&cli.Float64Flag{Name: hedgeShareOption, Usage: "largest `SHARE` of a service's requests, 0 to 0.2, that are sent a second time when the first response is late; 0 sends none"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
	app.Action = func(c *cli.Context) error {
		settings, err := platform.LoadSettings(c.String("settings"))
		if err != nil {
			return usageError{err}
		}
		settings.HedgeShare = c.Float64(hedgeShareOption)
		if err := settings.Check(); err != nil {
			return usageError{err}
		}
		if c.Bool("check") {
			return nil
		}
		process, err := entry.New(settings, platform.NewAdapter(settings), os.Stdout)
		if err != nil {
			return errors.Trace(err)
		}
		ctx, stop := signal.NotifyContext(c.Context, syscall.SIGTERM, os.Interrupt)
		defer stop()
		hangupSignals := make(chan os.Signal, 1)
		signal.Notify(hangupSignals, syscall.SIGHUP)
		go func() {
			for range hangupSignals {
				_, err := platform.LoadSettings(c.String("settings"))
				process.LogSettingsReload(err)
			}
		}()
		return errors.Trace(process.Run(ctx))
	}
	return app
}
