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
	// faultTime and onceFaultPause are the length of a fault and the time until
	// the next.
	faultTime      = 600 * time.Millisecond
	onceFaultPause = 700 * time.Millisecond
	// outageTime is the length of an outage of the key-value service, longer
	// than a call waits for its record.
	outageTime = 1800 * time.Millisecond
	// kvMillis is the time of its calls otherwise.
	kvMillis = 2
	// serviceTime is the time of a call at a service while faults happen, so
	// that they meet calls under way.
	serviceTime = 20 * time.Millisecond
	// impatience is the time after which callers leave, when that is the fault.
	impatience = 15 * time.Millisecond
	// kvSlowMillis is the added time of a call of the key-value service.
	kvSlowMillis = 150
	// kvLostShare is the share of its writes whose answers are lost.
	kvLostShare = 0.3
	// serviceCuts is the number of calls that a service breaks.
	serviceCuts = 4
	// serviceDelay is the time of a slow service.
	serviceDelay = 400 * time.Millisecond
)

// onceFault is one kind of fault; end is called after faultTime.
type onceFault struct {
	name string
	// restart says that an agent is stopped and started anew.
	restart bool
	time    time.Duration
	begin   func(r *onceRun) (end func())
}

// onceFaultKinds are the faults, each at a step of a call.
func onceFaultKinds() []onceFault {
	return []onceFault{
		{"agent_crash", true, faultTime, (*onceRun).crashAgent},
		{"agent_stop", true, faultTime, (*onceRun).stopAgent},
		{"service_agent_crash", true, faultTime, (*onceRun).crashServiceAgent},
		{"service_crash_before", false, faultTime, serviceFault(servicefake.Fault{CrashBefore: true, Times: 1})},
		{"service_crash_after", false, faultTime, serviceFault(servicefake.Fault{CrashAfter: true, Times: 1})},
		{"service_cut_after", false, faultTime, serviceFault(servicefake.Fault{CutAfter: true, Times: serviceCuts})},
		{"service_slow", false, faultTime, serviceFault(servicefake.Fault{Delay: serviceDelay})},
		{"kv_lost_answers", false, faultTime, kvFault(func(f *kvfake.Faults) { f.LostAnswerShare = kvLostShare })},
		{"kv_slow", false, faultTime, kvFault(func(f *kvfake.Faults) { f.DelayMillis = kvSlowMillis })},
		{"kv_outage", false, outageTime, kvFault(func(f *kvfake.Faults) { f.Outage = true })},
		{"caller_leaves", false, faultTime, (*onceRun).hurryCallers},
		{"kv_silent_watches", false, faultTime, kvFault(func(f *kvfake.Faults) { f.SilentWatches = true })},
	}
}

// injectFaults runs every kind in a random order, every third time two at
// once, until ctx ends. All faults have ended when it returns.
func (r *onceRun) injectFaults(ctx context.Context) {
	kinds := onceFaultKinds()
	for n := 0; clock.Sleep(ctx, onceFaultPause); n++ {
		if n%len(kinds) == 0 {
			r.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		chosen := []onceFault{kinds[n%len(kinds)]}
		if n%3 == 2 {
			chosen = append(chosen, kinds[(n+1+r.random.IntN(len(kinds)-1))%len(kinds)])
		}
		r.inject(ctx, chosen)
	}
}

func (r *onceRun) inject(ctx context.Context, chosen []onceFault) {
	name := ""
	ends := make([]func(), 0, len(chosen))
	for _, fault := range chosen {
		if name != "" {
			name += "+"
		}
		name += fault.name
	}
	r.setFault(name)
	for _, fault := range chosen {
		r.mu.Lock()
		r.counts[fault.name]++
		if fault.restart {
			r.restarts++
		}
		r.mu.Unlock()
		ends = append(ends, fault.begin(r))
	}
	length := time.Duration(0)
	for _, fault := range chosen {
		length = max(length, fault.time)
	}
	clock.Sleep(ctx, length)
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	r.setFault("after " + name)
}

func (r *onceRun) setFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = name
}

func (r *onceRun) faultNow() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// pick returns a random target with a running agent.
func (r *onceRun) pick(services bool) *localfleet.Target {
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

// crashAgent crashes the agent of an engine, which owns slots.
func (r *onceRun) crashAgent() func() {
	target := r.pick(false)
	r.fleet.KillAgent(target)
	return r.restarter(target)
}

// stopAgent stops an agent as planned.
func (r *onceRun) stopAgent() func() {
	target := r.pick(r.random.IntN(2) == 0)
	_ = r.fleet.StopAgent(target)
	return r.restarter(target)
}

// crashServiceAgent crashes the agent beside a service.
func (r *onceRun) crashServiceAgent() func() {
	target := r.pick(true)
	r.fleet.KillAgent(target)
	return r.restarter(target)
}

func (r *onceRun) restarter(target *localfleet.Target) func() {
	return func() { _ = r.fleet.StartAgent(target) }
}

// serviceFault makes one service fail.
func serviceFault(fault servicefake.Fault) func(r *onceRun) func() {
	return func(r *onceRun) func() {
		target := r.pick(true)
		fault.Delay = max(fault.Delay, serviceTime)
		target.Service.SetFault(fault)
		return func() { target.Service.SetFault(servicefake.Fault{Delay: serviceTime}) }
	}
}

// kvFault makes the key-value service fail.
func kvFault(change func(*kvfake.Faults)) func(r *onceRun) func() {
	return func(r *onceRun) func() {
		faults := r.fleet.KVServer.Faults()
		change(&faults)
		r.fleet.KVServer.SetFaults(faults)
		return r.calmKV
	}
}

// calmKV ends the faults of the key-value service.
func (r *onceRun) calmKV() {
	faults := kvfake.DefaultFaults()
	faults.DelayMillis = kvMillis
	r.fleet.KVServer.SetFaults(faults)
}

// slowServices gives every service its time.
func (r *onceRun) slowServices() {
	for _, target := range r.fleet.Targets {
		if target.Service != nil {
			target.Service.SetFault(servicefake.Fault{Delay: serviceTime})
		}
	}
}

// hurryCallers makes callers leave early and repeat.
func (r *onceRun) hurryCallers() func() {
	r.hurried.Store(true)
	return func() { r.hurried.Store(false) }
}

// executions waits for calls under way, then counts by business key and by
// request over all services.
func (r *onceRun) executions(ctx context.Context) (byKey, byRequest map[string]int) {
	clock.Sleep(ctx, onceLingering)
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
