// Package cli implements the command-line interfaces of the daemons and of the
// operator command baobab.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
)

// Exit codes of the commands.
const (
	// ExitFailure reports a runtime failure.
	ExitFailure = 1
	// ExitUsage reports an invalid command line, settings file or input file.
	ExitUsage = 2
	// ExitWrongAnswer reports a demonstration or load run with wrong or
	// incomplete answers.
	ExitWrongAnswer = 3
)

// Main runs an app with the process's arguments. It cancels the app's context
// on SIGINT and SIGTERM, and exits with a nonzero code if the app fails.
func Main(app *cli.App) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := app.RunContext(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, app.Name+":", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return ExitFailure
}

// newApp returns an app with the settings that all commands share.
func newApp(name, usage string, out io.Writer) *cli.App {
	return &cli.App{
		Name:                 name,
		Usage:                usage,
		Version:              version(),
		EnableBashCompletion: true,
		Writer:               out,
		ExitErrHandler:       func(*cli.Context, error) {},
	}
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// usageError is an error that makes the process exit with ExitUsage.
type usageError struct{ error }

// ExitCode implements cli.ExitCoder.
func (usageError) ExitCode() int { return ExitUsage }
