// Package bench holds the measurement runs. Each run starts a local fleet, sends
// a seeded workload, and prints one JSON object as its last line.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// Options are common to all runs.
type Options struct {
	Seed uint64
	// Duration bounds the load of each part of a run.
	Duration time.Duration
	// Deployment names the site, cooperativa or beaulieu.
	Deployment string
	// Fault names the fault of a run that causes one; empty for none.
	Fault string
	// JSON suppresses progress.
	JSON   bool
	Output io.Writer
	// LogOutput takes the processes' log lines; nil for none.
	LogOutput io.Writer
}

// deployment returns the site that the options name.
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

// logTo returns where log lines go.
func (o Options) logTo() io.Writer {
	if o.LogOutput == nil {
		return io.Discard
	}
	return o.LogOutput
}

// progress prints one line for a person.
func (o Options) progress(format string, args ...any) {
	if !o.JSON {
		_, _ = fmt.Fprintf(o.Output, format+"\n", args...)
	}
}

// print writes a run's figures as one line of JSON.
func (o Options) print(figures any) error {
	line, err := json.Marshal(figures)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(o.Output, string(line))
	return errors.Trace(err)
}
