// Package bench runs the benchmarks and fault-injection measurements. Each run
// starts a local fleet, sends a seeded workload, and prints its results as one
// JSON object on the last line.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// Options holds the settings that all runs share.
type Options struct {
	Seed uint64
	// Duration is the length of each load phase of a run; 0 selects the run's
	// default.
	Duration time.Duration
	// Deployment selects the fleet layout, cooperativa or beaulieu; empty means
	// cooperativa.
	Deployment string
	// Fault names the fault to inject, in runs that support it; empty for none.
	Fault string
	// JSON suppresses progress messages.
	JSON   bool
	Output io.Writer
	// LogOutput receives the log lines of the fleet's processes; nil discards them.
	LogOutput io.Writer
}

// deployment returns the fleet layout that Options.Deployment selects.
func (o Options) deployment() (localfleet.Deployment, error) {
	switch o.Deployment {
	case "", "cooperativa":
		return localfleet.CooperativaDeployment(), nil
	case "beaulieu":
		return localfleet.BeaulieuDeployment(), nil
	default:
		return localfleet.Deployment{}, errors.NotValidf("deployment %q", o.Deployment)
	}
}

// logOutput returns the writer for the processes' log lines.
func (o Options) logOutput() io.Writer {
	if o.LogOutput == nil {
		return io.Discard
	}
	return o.LogOutput
}

// progress prints a human-readable progress line unless JSON is set.
func (o Options) progress(format string, args ...any) {
	if !o.JSON {
		_, _ = fmt.Fprintf(o.Output, format+"\n", args...)
	}
}

// printJSON writes the results of a run as one line of JSON.
func (o Options) printJSON(results any) error {
	line, err := json.Marshal(results)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(o.Output, string(line))
	return errors.Trace(err)
}
