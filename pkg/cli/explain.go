package cli

import (
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show a request's decisions in order, from the processes' log lines",
		UsageText: "baobab explain 0192f0c4a7 router.log agent-1.log agent-2.log",
		ArgsUsage: "REQUEST-ID FILE...",
		Flags:     []cli.Flag{jsonFlag()},
		Action:    explainRequest,
	}
}

// explainReport is the JSON output of explain.
type explainReport struct {
	RequestID string         `json:"request_id"`
	Steps     []explain.Step `json:"steps"`
	// SkippedLines is the number of lines that are not valid log lines.
	SkippedLines int `json:"skipped_lines"`
}

func explainRequest(c *cli.Context) error {
	if c.NArg() < 2 {
		return usageError{errors.New("want a request's identifier and log files")}
	}
	id := c.Args().First()
	trace := explain.New(id)
	for _, path := range c.Args().Tail() {
		if err := readLogFile(trace, path); err != nil {
			return err
		}
	}
	steps := trace.Steps()
	if len(steps) == 0 {
		return errors.NotFoundf("request %q in %d files, %d lines of which were skipped,", id, c.NArg()-1, trace.SkippedLines)
	}
	return printResult(c, explainReport{RequestID: id, Steps: steps, SkippedLines: trace.SkippedLines}, explain.FormatSteps(id, steps))
}

func readLogFile(trace *explain.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return usageError{err}
	}
	defer func() { _ = file.Close() }()
	return errors.Annotate(trace.ReadLog(file), path)
}
