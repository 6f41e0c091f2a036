package cli

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/configcheck"
)

// OperatorPlatform connects baobab to the platform's adapter.
type OperatorPlatform struct {
	// DecodeDocument decodes a deployment's configuration for a check.
	DecodeDocument func(data []byte) *configcheck.Document
}

// Exit codes of a check of a deployment's configuration.
const (
	exitConfigWarnings = 1
	exitConfigErrors   = 2
)

// Names of the options of a check of a deployment's configuration.
const (
	inForceOption = "in-force"
	targetsOption = "targets"
)

func deploymentCheckCommand(platform OperatorPlatform) *cli.Command {
	return &cli.Command{
		Name:      "deployment",
		Usage:     "report what is wrong with a deployment's configuration, and what it changes for callers",
		ArgsUsage: "FILE [--in-force FILE] [--targets SERVICE=NUMBER,...] [--json]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: inForceOption, Usage: "`FILE` with the configuration in force, to compare with", TakesFile: true},
			&cli.StringFlag{Name: targetsOption, Usage: "numbers of targets, such as `SERVICE=NUMBER,...`, to compare attempts with"},
			jsonFlag(),
		},
		Action: func(c *cli.Context) error { return checkDeployment(c, platform) },
	}
}

func checkDeployment(c *cli.Context, platform OperatorPlatform) error {
	files, err := parseInterspersed(c)
	if err != nil {
		return err
	}
	if len(files) != 1 {
		return usageError{errors.Errorf("want FILE, found %d arguments", len(files))}
	}
	targets, err := parseTargets(c.String(targetsOption))
	if err != nil {
		return err
	}
	doc, err := readDocument(files[0], platform)
	if err != nil {
		return err
	}
	report := configcheck.Report{File: files[0], Version: doc.Version, Findings: configcheck.Check(doc, configcheck.Options{Targets: targets}), Changes: []configcheck.Change{}}
	if c.IsSet(inForceOption) {
		inForce, err := readDocument(c.String(inForceOption), platform)
		if err != nil {
			return err
		}
		if inForce.Rejected {
			return usageError{errors.Errorf("%s: can't be decoded, so there is nothing to compare with", c.String(inForceOption))}
		}
		if !doc.Rejected {
			changes, findings := configcheck.Compare(inForce, doc)
			report.Changes, report.Findings = append(report.Changes, changes...), append(report.Findings, findings...)
		}
	}
	if err := printResult(c, report, report.String()); err != nil {
		return err
	}
	switch {
	case report.Count(configcheck.SeverityError) > 0:
		return cli.Exit(report.Summary(), exitConfigErrors)
	case report.Count(configcheck.SeverityWarning) > 0:
		return cli.Exit(report.Summary(), exitConfigWarnings)
	default:
		return nil
	}
}

func readDocument(file string, platform OperatorPlatform) (*configcheck.Document, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return platform.DecodeDocument(data), nil
}

// parseInterspersed returns the positional arguments. Options may also stand after them, where
// the library leaves them unparsed.
func parseInterspersed(c *cli.Context) ([]string, error) {
	set := flag.NewFlagSet(c.Command.Name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	for _, option := range c.Command.Flags {
		if err := option.Apply(set); err != nil {
			return nil, errors.Trace(err)
		}
	}
	var positional []string
	for rest := c.Args().Slice(); len(rest) > 0; {
		if rest[0] == "-" || !strings.HasPrefix(rest[0], "-") {
			positional, rest = append(positional, rest[0]), rest[1:]
			continue
		}
		if err := set.Parse(rest); err != nil {
			return nil, usageError{err}
		}
		rest = set.Args()
	}
	var err error
	set.Visit(func(option *flag.Flag) {
		if setErr := c.Set(option.Name, option.Value.String()); err == nil {
			err = setErr
		}
	})
	return positional, errors.Trace(err)
}

// parseTargets parses numbers of targets by service.
func parseTargets(text string) (map[string]int, error) {
	targets := map[string]int{}
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		service, number, _ := strings.Cut(part, "=")
		count, err := strconv.Atoi(number)
		if err != nil || count < 0 || service == "" {
			return nil, usageError{fmt.Errorf("--%s %q: want SERVICE=NUMBER,... such as chat=12", targetsOption, text)}
		}
		targets[service] = count
	}
	return targets, nil
}
