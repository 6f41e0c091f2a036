package balance

import (
	"testing"
	"time"
)

// BenchmarkPick measures a choice among 45 targets with 23 peers.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name     string
		adaptive bool
	}{{"assumed", false}, {"learned", true}} {
		b.Run(c.name, func(b *testing.B) {
			s := newFleetSim(24, 45, 100*time.Millisecond)
			for _, p := range s.processes {
				p.SetAdaptive(c.adaptive)
			}
			s.offer(1200, 2*time.Second, s.simPrompt)
			s.run(2 * time.Second)
			req := newRequest("", 0, 2000)
			req.SharedParts = nil
			b.ReportAllocs()
			for b.Loop() {
				s.processes[0].Pick(s.now, req, s.listed)
			}
		})
	}
}
