package bench

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// RoutingFault is the fault to inject during a routing run.
type RoutingFault string

// Faults of a routing run.
const (
	// FaultNone injects no fault.
	FaultNone RoutingFault = "none"
	// FaultEngineCrash crashes one engine, which restarts with an empty cache.
	FaultEngineCrash RoutingFault = "crash"
	// FaultEventLoss drops 5% of the cache events and delays load reports by
	// one second.
	FaultEventLoss RoutingFault = "events_lost"
	// FaultAgentsLeave stops a third of the agents gracefully.
	FaultAgentsLeave RoutingFault = "leaving"
)

func (f RoutingFault) valid() bool {
	return f == FaultNone || f == FaultEngineCrash || f == FaultEventLoss || f == FaultAgentsLeave
}

// routingCrashDowntime is the downtime of a crashed engine.
const routingCrashDowntime = 200 * time.Millisecond

// injectRoutingFault injects the fault after a delay.
func injectRoutingFault(ctx context.Context, fault RoutingFault, fleet *localfleet.Fleet, delay time.Duration) {
	if !clock.Sleep(ctx, delay) {
		return
	}
	for i, target := range fleet.Targets {
		if target.Engine == nil {
			continue
		}
		switch {
		case fault == FaultEngineCrash && i == 0:
			target.Engine.Crash(routingCrashDowntime)
		case fault == FaultAgentsLeave && i%3 == 0:
			go func() { _ = target.Agent.Stop() }()
		}
	}
}

// resourceUsage measures the CPU time of the whole run and the scheduling delay
// of goroutines, which shows whether an overloaded machine distorted the run.
type resourceUsage struct {
	started time.Time
	cpu     time.Duration
	stop    chan struct{}
	delays  chan stats.DurationHistogram
}

func startResourceUsage() *resourceUsage {
	u := &resourceUsage{started: time.Now(), cpu: cpuTime(), stop: make(chan struct{}), delays: make(chan stats.DurationHistogram, 1)}
	go u.measureDelays()
	return u
}

// measureDelays sleeps for short intervals and records by how much each sleep
// overruns.
func (u *resourceUsage) measureDelays() {
	const sleepTime = 2 * time.Millisecond
	var delays stats.DurationHistogram
	for {
		select {
		case <-u.stop:
			u.delays <- delays
			return
		default:
		}
		before := time.Now()
		time.Sleep(sleepTime)
		delays.Record(time.Since(before) - sleepTime)
	}
}

func (u *resourceUsage) stopAndRecord(result *PolicyResult) {
	close(u.stop)
	delays := <-u.delays
	result.CPUCores = (cpuTime() - u.cpu).Seconds() / time.Since(u.started).Seconds()
	result.SchedulingDelayP99MS = delays.QuantileMS(0.99)
	result.SchedulingDelayWorstMS = delays.QuantileMS(1)
}
