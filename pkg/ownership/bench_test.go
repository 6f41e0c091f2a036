package ownership_test

import (
	"testing"
	"time"
)

// unavailableTime returns the virtual time during which slot 0 had no holder
// that could serve requests.
func unavailableTime(b *testing.B, seed uint64, fault func(*simulation, *process)) time.Duration {
	sim := newSimulation(seed)
	advance(b, sim, 15*time.Second)
	fault(sim, owner(sim, 0))
	var unavailable time.Duration
	for end := sim.now + 30*time.Second; sim.now < end; {
		advance(b, sim, stepTime)
		served := false
		for _, p := range sim.processes {
			_, held := p.machine.Holds(0, sim.clock(p))
			served = served || (held && !p.terminated && !p.paused && !p.peersPartitioned)
		}
		if !served {
			unavailable += stepTime
		}
	}
	return unavailable
}

// BenchmarkUnavailability reports the virtual time during which slot 0 has no
// usable holder after each kind of fault, with a lease TTL of 3 s.
func BenchmarkUnavailability(b *testing.B) {
	outage := func(sim *simulation) { sim.service.down = true }
	faults := []struct {
		name   string
		inject func(*simulation, *process)
	}{
		{"none", func(*simulation, *process) {}},
		{"crash", func(_ *simulation, p *process) { p.terminated = true }},
		{"restart", func(sim *simulation, p *process) { p.terminated = true; sim.boot(p.vm) }},
		{"pause", func(_ *simulation, p *process) { p.paused = true }},
		{"cut_off", func(_ *simulation, p *process) { p.kvPartitioned, p.peersPartitioned = true, true }},
		{"cut_from_service", func(_ *simulation, p *process) { p.kvPartitioned = true }},
		{"planned_stop", beginPlannedStop},
		{"outage", func(sim *simulation, _ *process) { outage(sim) }},
		{"outage_10s_and_crash", func(sim *simulation, p *process) {
			outage(sim)
			p.terminated = true
			sim.after(10*time.Second, nil, func() { sim.service.down = false })
		}},
		{"outage_10s_and_all_restart", func(sim *simulation, _ *process) {
			outage(sim)
			for vm, p := range sim.processes {
				p.terminated = true
				sim.boot(vm)
			}
			sim.after(10*time.Second, nil, func() { sim.service.down = false })
		}},
		{"outage_and_successor_crash", func(sim *simulation, _ *process) {
			outage(sim)
			for _, other := range sim.processes {
				if other.id.VM == sim.service.records[0].Successors[0] {
					other.terminated = true
				}
			}
		}},
		{"outage_and_successor_pause", func(sim *simulation, _ *process) {
			outage(sim)
			for _, other := range sim.processes {
				if other.id.VM == sim.service.records[0].Successors[0] {
					other.paused = true
				}
			}
		}},
		{"outage_and_successor_restart", func(sim *simulation, p *process) {
			outage(sim)
			vm := sim.service.records[0].Successors[0]
			for i, other := range sim.processes {
				if other.id.VM == vm {
					other.terminated = true
					sim.boot(i)
				}
			}
		}},
	}
	for _, fault := range faults {
		b.Run(fault.name, func(b *testing.B) {
			var sum, longest time.Duration
			for i := range b.N {
				unavailable := unavailableTime(b, uint64(i)+100, fault.inject)
				sum += unavailable
				longest = max(longest, unavailable)
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
			b.ReportMetric(longest.Seconds(), "max-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
