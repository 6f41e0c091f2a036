package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/entry"
)

// EntryPlatform is what the platform's adapter gives baobab-entry.
type EntryPlatform struct {
	// SettingsPath is the settings file that the platform names; empty when it
	// names none.
	SettingsPath string
	// LoadSettings reads and checks a settings file.
	LoadSettings func(path string) (entry.Settings, error)
	// NewAdapter returns the adapter for checked settings.
	NewAdapter func(entry.Settings) entry.Platform
}

// NewEntryApp is the command line of baobab-entry.
func NewEntryApp(platform EntryPlatform) *cli.App {
	app := newApp("baobab-entry", "serve callers on an entry VM of the platform", os.Stdout)
	app.UsageText = "baobab-entry [--settings FILE] [--check]"
	app.Flags = []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`; by default the one that the platform names", Value: platform.SettingsPath, TakesFile: true},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
	app.Action = func(c *cli.Context) error {
		settings, err := platform.LoadSettings(c.String("settings"))
		if err != nil {
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
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		go func() {
			for range hangups {
				_, err := platform.LoadSettings(c.String("settings"))
				process.LogSettingsReload(err)
			}
		}()
		return errors.Trace(process.Run(ctx))
	}
	return app
}
