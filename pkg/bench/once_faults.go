package bench

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/servicefake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

const (
	// onceFaultDuration is the length of a fault, and onceFaultInterval is the
	// time between faults.
	onceFaultDuration = 600 * time.Millisecond
	onceFaultInterval = 700 * time.Millisecond
	// kvOutageDuration is the length of an outage of the key-value service. It
	// exceeds the time for which a call waits for its idempotency record.
	kvOutageDuration = 1800 * time.Millisecond
	// kvDelayMillis is the latency of the key-value service without a fault.
	kvDelayMillis = 2
	// serviceLatency is the duration of a service call in the phase with
	// faults, chosen so that faults hit calls in flight.
	serviceLatency = 20 * time.Millisecond
	// callerAbortTimeout is the time after which callers disconnect in the
	// caller_leaves fault.
	callerAbortTimeout = 15 * time.Millisecond
	// slowKVDelayMillis is the latency of the key-value service in the kv_slow
	// fault.
	slowKVDelayMillis = 150
	// kvLostResponseShare is the share of key-value writes whose response is
	// lost.
	kvLostResponseShare = 0.3
	// serviceCutCalls is the number of calls whose connection a service cuts.
	serviceCutCalls = 4
	// slowServiceDelay is the duration of a call at a slow service.
	slowServiceDelay = 400 * time.Millisecond
)

// onceFault is one kind of fault. inject returns the function that clears the
// fault, which is called after the fault's duration.
type onceFault struct {
	name string
	// restartsAgent reports whether the fault stops an agent and starts a new
	// one.
	restartsAgent bool
	duration      time.Duration
	inject        func(r *onceRun) (clear func())
}

// onceFaultKinds returns the fault kinds, which together cover the steps of a
// call.
func onceFaultKinds() []onceFault {
	return []onceFault{
		{"agent_crash", true, onceFaultDuration, (*onceRun).crashAgent},
		{"agent_stop", true, onceFaultDuration, (*onceRun).stopAgent},
		{"service_agent_crash", true, onceFaultDuration, (*onceRun).crashServiceAgent},
		{"service_crash_before", false, onceFaultDuration, serviceFault(servicefake.Fault{CrashBefore: true, MaxCalls: 1})},
		{"service_crash_after", false, onceFaultDuration, serviceFault(servicefake.Fault{CrashAfter: true, MaxCalls: 1})},
		{"service_cut_after", false, onceFaultDuration, serviceFault(servicefake.Fault{CloseAfter: true, MaxCalls: serviceCutCalls})},
		{"service_slow", false, onceFaultDuration, serviceFault(servicefake.Fault{Delay: slowServiceDelay})},
		{"kv_lost_answers", false, onceFaultDuration, kvFault(func(f *kvfake.Faults) { f.LostResponseShare = kvLostResponseShare })},
		{"kv_slow", false, onceFaultDuration, kvFault(func(f *kvfake.Faults) { f.DelayMillis = slowKVDelayMillis })},
		{"kv_outage", false, kvOutageDuration, kvFault(func(f *kvfake.Faults) { f.Outage = true })},
		{"caller_leaves", false, onceFaultDuration, (*onceRun).disconnectCallers},
		{"kv_silent_watches", false, onceFaultDuration, kvFault(func(f *kvfake.Faults) { f.StallWatches = true })},
	}
}

// injectFaults cycles through all kinds in random order until ctx is done. Every
// third injection combines two faults. All faults are cleared when it returns.
func (r *onceRun) injectFaults(ctx context.Context) {
	kinds := onceFaultKinds()
	for n := 0; clock.Sleep(ctx, onceFaultInterval); n++ {
		if n%len(kinds) == 0 {
			r.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		selected := []onceFault{kinds[n%len(kinds)]}
		if n%3 == 2 {
			selected = append(selected, kinds[(n+1+r.random.IntN(len(kinds)-1))%len(kinds)])
		}
		r.injectTogether(ctx, selected)
	}
}

func (r *onceRun) injectTogether(ctx context.Context, faults []onceFault) {
	name := ""
	clears := make([]func(), 0, len(faults))
	for _, fault := range faults {
		if name != "" {
			name += "+"
		}
		name += fault.name
	}
	r.setActiveFault(name)
	for _, fault := range faults {
		r.mu.Lock()
		r.faultCounts[fault.name]++
		if fault.restartsAgent {
			r.restarts++
		}
		r.mu.Unlock()
		clears = append(clears, fault.inject(r))
	}
	duration := time.Duration(0)
	for _, fault := range faults {
		duration = max(duration, fault.duration)
	}
	clock.Sleep(ctx, duration)
	for i := len(clears) - 1; i >= 0; i-- {
		clears[i]()
	}
	r.setActiveFault("after " + name)
}

func (r *onceRun) setActiveFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFault = name
}

func (r *onceRun) currentFault() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeFault
}

// pickTargetWithAgent returns a random target that has a running agent: a
// service if services is set, an engine otherwise.
func (r *onceRun) pickTargetWithAgent(services bool) *localfleet.Target {
	var running []*localfleet.Target
	for _, target := range r.fleet.Targets {
		if target.Agent != nil && (target.Service != nil) == services {
			running = append(running, target)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[r.random.IntN(len(running))]
}

// crashAgent crashes the agent of an engine. Such agents own slots.
func (r *onceRun) crashAgent() func() {
	target := r.pickTargetWithAgent(false)
	r.fleet.KillAgent(target)
	return r.restartFunc(target)
}

// stopAgent performs a planned stop of an agent.
func (r *onceRun) stopAgent() func() {
	target := r.pickTargetWithAgent(r.random.IntN(2) == 0)
	_ = r.fleet.StopAgent(target)
	return r.restartFunc(target)
}

// crashServiceAgent crashes the agent of a service.
func (r *onceRun) crashServiceAgent() func() {
	target := r.pickTargetWithAgent(true)
	r.fleet.KillAgent(target)
	return r.restartFunc(target)
}

func (r *onceRun) restartFunc(target *localfleet.Target) func() {
	return func() { _ = r.fleet.StartAgent(target) }
}

// serviceFault returns a function that injects a fault at one service.
func serviceFault(fault servicefake.Fault) func(r *onceRun) func() {
	return func(r *onceRun) func() {
		target := r.pickTargetWithAgent(true)
		fault.Delay = max(fault.Delay, serviceLatency)
		target.Service.SetFault(fault)
		return func() { target.Service.SetFault(servicefake.Fault{Delay: serviceLatency}) }
	}
}

// kvFault returns a function that injects a fault at the key-value service.
func kvFault(change func(*kvfake.Faults)) func(r *onceRun) func() {
	return func(r *onceRun) func() {
		faults := r.fleet.KVServer.Faults()
		change(&faults)
		r.fleet.KVServer.SetFaults(faults)
		return r.resetKVFaults
	}
}

// resetKVFaults clears the faults of the key-value service.
func (r *onceRun) resetKVFaults() {
	faults := kvfake.DefaultFaults()
	faults.DelayMillis = kvDelayMillis
	r.fleet.KVServer.SetFaults(faults)
}

// setServiceLatency sets every service's call duration to serviceLatency.
func (r *onceRun) setServiceLatency() {
	for _, target := range r.fleet.Targets {
		if target.Service != nil {
			target.Service.SetFault(servicefake.Fault{Delay: serviceLatency})
		}
	}
}

// disconnectCallers makes callers disconnect early and retry.
func (r *onceRun) disconnectCallers() func() {
	r.abortCalls.Store(true)
	return func() { r.abortCalls.Store(false) }
}

// executions waits for calls in flight and then returns the executions at all
// services by business key and by request ID.
func (r *onceRun) executions(ctx context.Context) (byKey, byRequest map[string]int) {
	clock.Sleep(ctx, onceDrainTime)
	byKey, byRequest = map[string]int{}, map[string]int{}
	for _, target := range r.fleet.Targets {
		if target.Service == nil {
			continue
		}
		executions := target.Service.Executions()
		for key, count := range executions.ByKey {
			byKey[key] += count
		}
		for request, count := range executions.ByRequest {
			byRequest[request] += count
		}
	}
	return byKey, byRequest
}
