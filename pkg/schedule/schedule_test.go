package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func newPool(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{VMID: fmt.Sprintf("vm-%03d", i), DataCentre: "dc-1", Region: "r-1", Pool: "p"}
	}
	return targets
}

func newScheduler(settings Settings, targets []Target) (*Scheduler, *Directory) {
	directory := NewDirectory(time.Minute)
	directory.ApplyList(targets, start)
	random := rand.New(rand.NewPCG(1, 2))
	return New(settings, Location{DataCentre: "dc-1", Region: "r-1"}, directory, random), directory
}

func healthyAnswer(vmID string) Answer {
	return Answer{VMID: vmID, EngineBoot: 1, ServesModel: true, PrefillPerKtoken: 50 * time.Millisecond}
}

func vmIDs(candidates []Candidate) []string {
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.Target.VMID
	}
	return ids
}

func rendezvousVMIDs(key uint64, targets []Target) []string {
	hashed := make([]Target, len(targets))
	for i, t := range targets {
		hashed[i] = t.hashed()
	}
	ids := make([]string, 0, len(targets))
	for _, r := range rendezvousOrder(nil, key, hashed, len(hashed)) {
		ids = append(ids, hashed[r.targetIndex].VMID)
	}
	return ids
}

func TestRendezvous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := newPool(rapid.IntRange(2, 30).Draw(t, "targets"))
		key := rapid.Uint64().Draw(t, "key")
		removed := rapid.IntRange(0, len(targets)-1).Draw(t, "gone")
		before := rendezvousVMIDs(key, targets)
		after := rendezvousVMIDs(key, slices.Delete(slices.Clone(targets), removed, removed+1))
		before = slices.DeleteFunc(before, func(id string) bool { return id == targets[removed].VMID })
		if !slices.Equal(before, after) {
			t.Fatalf("removing a target changed the order of the others: %v, %v", before, after)
		}
	})
	Convey("A target's share of keys is proportional to its weight", t, func() {
		targets := newPool(4)
		targets[0].Weight = 3
		const keys = 6000
		first := 0
		random := rand.New(rand.NewPCG(3, 4))
		for range keys {
			if rendezvousVMIDs(random.Uint64(), targets)[0] == "vm-000" {
				first++
			}
		}
		So(first, ShouldBeBetween, keys*45/100, keys*55/100)
	})
}

// TestDecideNeverChoosesUnusableTarget gives each target a random fault or none,
// and checks that only targets without a fault are chosen, best score first.
func TestDecideNeverChoosesUnusableTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := newPool(rapid.IntRange(1, 20).Draw(t, "targets"))
		s, directory := newScheduler(DefaultSettings(), targets)
		q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4}, BlockTokens: 100, PromptTokens: 450}
		probed := s.Candidates(q, start)
		usable := map[string]bool{}
		var answers []Answer
		for _, c := range probed {
			vmID := c.Target.VMID
			answer := healthyAnswer(vmID)
			answer.Wait = time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond
			answer.MatchedBlocks = rapid.IntRange(0, 5).Draw(t, "matched")
			answer.EvictionPPMPerSecond = rapid.Uint32Range(0, 40_000).Draw(t, "evictions")
			fault := rapid.SampledFrom([]string{"", "", "leaving", "reported down", "boot", "model", "excluded", "breaker open", "no answer"}).Draw(t, "fault")
			usable[vmID] = fault == ""
			switch fault {
			case "leaving":
				answer.State = StateLeaving
			case "reported down":
				directory.ApplyReport(AgentReport{VMID: vmID, BootID: 7, State: StateDown}, start)
			case "boot":
				answer.EngineBoot = 0
			case "model":
				answer.ServesModel = false
			case "excluded":
				q.Excluded = append(q.Excluded, vmID)
			case "breaker open":
				for range 3 {
					s.RecordFailure(vmID, start)
				}
			case "no answer":
				continue
			}
			answers = append(answers, answer)
		}
		d := s.Decide(q, probed, answers, start)
		usableCount := 0
		for _, ok := range usable {
			if ok {
				usableCount++
			}
		}
		if len(d.Choices) != min(usableCount, s.settings.MaxTries) || len(d.Choices)+len(d.Others) != len(probed) {
			t.Fatalf("%d choices of %d usable, %d probed", len(d.Choices), usableCount, len(probed))
		}
		for i, c := range d.Choices {
			if !usable[c.Candidate.Target.VMID] {
				t.Fatalf("unusable target %s was chosen", c.Candidate.Target.VMID)
			}
			if i > 0 && c.Score < d.Choices[i-1].Score {
				t.Fatalf("choice %d has a lower score than the previous one", i)
			}
		}
		for _, c := range d.Others {
			if last := len(d.Choices) - 1; last >= 0 && c.Rejection == RejectNone && c.Score < d.Choices[last].Score {
				t.Fatalf("%s has a lower score than a choice", c.Candidate.Target.VMID)
			}
		}
	})
}

func TestScore(t *testing.T) {
	q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4}, BlockTokens: 1000, PromptTokens: 4100}
	decide := func(s *Scheduler, answers ...Answer) ScoredCandidate {
		d := s.Decide(q, s.Candidates(q, start), answers, start)
		choice, ok := d.Choice(0)
		So(ok, ShouldBeTrue)
		return choice
	}
	Convey("With a busy target that has the prefix cached and an idle one that does not", t, func() {
		s, _ := newScheduler(DefaultSettings(), newPool(2))
		warm, cold := healthyAnswer("vm-000"), healthyAnswer("vm-001")
		warm.MatchedBlocks, warm.Wait = 4, 300*time.Millisecond
		Convey("The idle target is chosen if its cache has free space", func() {
			So(decide(s, warm, cold).Candidate.Target.VMID, ShouldEqual, "vm-001")
		})
		Convey("The target with the cached prefix is chosen if the idle target evicts blocks", func() {
			cold.EvictionPPMPerSecond = 20_000
			So(decide(s, warm, cold).Candidate.Target.VMID, ShouldEqual, "vm-000")
		})
		Convey("The decision includes an import if copying is faster than computing", func() {
			settings := DefaultSettings()
			settings.EngineImport = ImportCost{Enabled: true, Fixed: 10 * time.Millisecond, PerKtoken: 5 * time.Millisecond}
			s, _ := newScheduler(settings, newPool(2))
			choice := decide(s, warm, cold)
			So(choice.Candidate.Target.VMID, ShouldEqual, "vm-001")
			So(choice.ImportFromVMID, ShouldEqual, "vm-000")
			So(choice.ImportBlocks, ShouldEqual, 4)
			So(choice.TimeToFirstToken, ShouldEqual, 35*time.Millisecond)
		})
	})
	Convey("Of equal targets, the one in the router's data centre is chosen", t, func() {
		targets := newPool(2)
		targets[0].DataCentre = "dc-2"
		s, _ := newScheduler(DefaultSettings(), targets)
		So(decide(s, healthyAnswer("vm-000"), healthyAnswer("vm-001")).Candidate.Target.VMID, ShouldEqual, "vm-001")
	})
}

func TestCandidates(t *testing.T) {
	chain := []uint64{11, 12, 13, 14, 15}
	Convey("In a large pool", t, func() {
		s, _ := newScheduler(DefaultSettings(), newPool(60))
		q := &Query{Pool: "p", Chain: chain}
		initial := s.selectCandidates(q, s.eligible(q, start), start)
		Convey("Six distinct candidates are selected from several chain levels", func() {
			ids := vmIDs(initial)
			slices.Sort(ids)
			So(len(slices.Compact(ids)), ShouldEqual, 6)
			So(initial[0].Source, ShouldEqual, SourceDeep)
			So(initial[2].Source, ShouldEqual, SourceMiddle)
			So(initial[4].Source, ShouldEqual, SourceShallow)
			So(initial[5].Source, ShouldEqual, SourceRandom)
		})
		Convey("A hot prefix adds candidates up to MaxCandidates until its rate decays", func() {
			for range 500 {
				s.Candidates(q, start)
			}
			So(len(s.Candidates(q, start)), ShouldEqual, s.settings.MaxCandidates)
			So(len(s.Candidates(q, start.Add(time.Minute))), ShouldEqual, 6)
		})
		Convey("At most two hinted targets are probed, and no excluded one", func() {
			q.Excluded = []string{"vm-059"}
			unprobed := slices.DeleteFunc(vmIDs(allCandidates(s, q)), func(id string) bool { return slices.Contains(vmIDs(initial), id) })
			answer := Answer{HintVMIDs: append([]string{"vm-059", "unknown-vm"}, unprobed[:5]...)}
			hinted := s.HintedCandidates(q, initial, &answer, start)
			So(vmIDs(hinted), ShouldResemble, unprobed[:2])
			So(s.HintedCandidates(q, append(initial, hinted...), &answer, start), ShouldBeEmpty)
		})
	})
	Convey("All targets of a small pool are probed, except those in other regions", t, func() {
		targets := newPool(8)
		targets[7].Region = "r-2"
		s, _ := newScheduler(DefaultSettings(), targets)
		So(len(s.Candidates(&Query{Pool: "p", Chain: chain}, start)), ShouldEqual, 7)
		So(len(s.Candidates(&Query{Pool: "p", Chain: chain, AnyRegion: true}, start)), ShouldEqual, 8)
	})
}

func allCandidates(s *Scheduler, q *Query) []Candidate {
	return s.wholePool(q, s.eligible(q, start))
}

func TestBaselines(t *testing.T) {
	Convey("Each baseline probes and orders targets by its own rule", t, func() {
		q := &Query{Pool: "p", Chain: []uint64{5, 6}, BlockTokens: 1000, PromptTokens: 2100}
		decide := func(kind BaselineKind) (Policy, []Candidate, Decision) {
			s, _ := newScheduler(DefaultSettings(), newPool(30))
			policy := NewBaseline(kind, s)
			probed := policy.Candidates(q, start)
			var answers []Answer
			for i, c := range probed {
				a := healthyAnswer(c.Target.VMID)
				a.Wait = time.Duration(len(probed)-i) * time.Millisecond
				a.MatchedBlocks = 2 - min(2, i)
				answers = append(answers, a)
			}
			return policy, probed, policy.Decide(q, probed, answers, start)
		}
		_, probed, d := decide(BaselinePrefixHash)
		So(len(probed), ShouldEqual, 3)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, probed[0].Target.VMID)
		_, probed, d = decide(BaselineLeastLoaded)
		So(len(probed), ShouldEqual, 30)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, probed[29].Target.VMID)
		_, probed, d = decide(BaselineAllProbed)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, probed[0].Target.VMID)
		policy, probed, d := decide(BaselineRandom)
		So(len(probed), ShouldEqual, 3)
		So(d.Policy, ShouldEqual, policy.Name())
	})
}

func TestLogFields(t *testing.T) {
	Convey("The log fields contain the choice and a summary of every candidate", t, func() {
		s, _ := newScheduler(DefaultSettings(), newPool(2))
		q := &Query{RequestID: "r", Pool: "p", Chain: []uint64{1}, BlockTokens: 1000, PromptTokens: 1100}
		answer := healthyAnswer("vm-001")
		answer.MatchedBlocks = 1
		d := s.Decide(q, s.Candidates(q, start), []Answer{answer}, start)
		So(d.LogFields(0), ShouldResemble, []any{
			"request_id", "r", "policy", "baobab", "try", 0, "target", "vm-001",
			"ttft_us", int64(5000), "score_us", int64(5000), "missing_tokens", 100, "import_from", "",
			"asked", 2, "answered", 1,
			"candidates", []string{"vm-001:whole_pool:blocks=1:wait=0s:score=5ms", "vm-000:whole_pool:no_answer"},
		})
		So(d.LogFields(1)[4], ShouldEqual, "asked")
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, candidates := range []int{6, 24} {
		b.Run(fmt.Sprint(candidates), func(b *testing.B) {
			settings := DefaultSettings()
			settings.WholePoolTargets = candidates
			s, _ := newScheduler(settings, newPool(candidates))
			q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4, 5, 6, 7}, BlockTokens: 2000, PromptTokens: 15000}
			probed := s.Candidates(q, start)
			var answers []Answer
			for i, c := range probed {
				a := healthyAnswer(c.Target.VMID)
				a.MatchedBlocks, a.Wait = i%7, time.Duration(i)*time.Millisecond
				answers = append(answers, a)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(q, probed, answers, start)
			}
		})
	}
}

func BenchmarkCandidates670(b *testing.B) {
	s, _ := newScheduler(DefaultSettings(), newPool(670))
	q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4, 5, 6, 7}}
	b.ReportAllocs()
	for b.Loop() {
		s.Candidates(q, start)
	}
}
