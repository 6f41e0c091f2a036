package bench

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// RoutingFault names what goes wrong during a routing run.
type RoutingFault string

// Faults of a routing run.
const (
	// FaultNone leaves everything well.
	FaultNone RoutingFault = "none"
	// FaultCrash crashes one engine; it comes back empty.
	FaultCrash RoutingFault = "crash"
	// FaultEventsLost loses 5% of the cache events and makes load 1 s late.
	FaultEventsLost RoutingFault = "events_lost"
	// FaultLeaving makes a third of the agents leave.
	FaultLeaving RoutingFault = "leaving"
)

func (f RoutingFault) valid() bool {
	return f == FaultNone || f == FaultCrash || f == FaultEventsLost || f == FaultLeaving
}

// crashTime is how long a crashed engine is down.
const crashTime = 200 * time.Millisecond

// strike brings the fault about after a time.
func strike(ctx context.Context, fault RoutingFault, fleet *localfleet.Fleet, after time.Duration) {
	if !clock.Sleep(ctx, after) {
		return
	}
	for i, target := range fleet.Targets {
		if target.Engine == nil {
			continue
		}
		switch {
		case fault == FaultCrash && i == 0:
			target.Engine.Crash(crashTime)
		case fault == FaultLeaving && i%3 == 0:
			go func() { _ = target.Agent.Stop() }()
		}
	}
}

// usage measures the processor time of the whole run and how late goroutines
// get their turn, which tells whether the machine itself held a part up.
type usage struct {
	started time.Time
	cpu     time.Duration
	stop    chan struct{}
	delays  chan stats.DurationHistogram
}

func startUsage() *usage {
	u := &usage{started: time.Now(), cpu: cpuTime(), stop: make(chan struct{}), delays: make(chan stats.DurationHistogram, 1)}
	go u.watch()
	return u
}

// watch sleeps for short times and notes by how much they were exceeded.
func (u *usage) watch() {
	const nap = 2 * time.Millisecond
	var delays stats.DurationHistogram
	for {
		select {
		case <-u.stop:
			u.delays <- delays
			return
		default:
		}
		before := time.Now()
		time.Sleep(nap)
		delays.Record(time.Since(before) - nap)
	}
}

func (u *usage) into(f *PolicyFigures) {
	close(u.stop)
	delays := <-u.delays
	f.CPUCores = (cpuTime() - u.cpu).Seconds() / time.Since(u.started).Seconds()
	f.SchedulingDelayP99MS = delays.QuantileMS(0.99)
	f.SchedulingDelayWorstMS = delays.QuantileMS(1)
}
