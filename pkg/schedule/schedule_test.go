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

func pool(n int) []Target {
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

func healthy(vmID string) Answer {
	return Answer{VMID: vmID, EngineBoot: 1, ServesModel: true, PrefillPerKtoken: 50 * time.Millisecond}
}

func vmIDs(candidates []Candidate) []string {
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.Target.VMID
	}
	return ids
}

func order(key uint64, targets []Target) []string {
	hashed := make([]Target, len(targets))
	for i, t := range targets {
		hashed[i] = t.hashed()
	}
	ids := make([]string, 0, len(targets))
	for _, r := range rendezvousOrder(nil, key, hashed, len(hashed)) {
		ids = append(ids, hashed[r.target].VMID)
	}
	return ids
}

func TestRendezvous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := pool(rapid.IntRange(2, 30).Draw(t, "targets"))
		key := rapid.Uint64().Draw(t, "key")
		gone := rapid.IntRange(0, len(targets)-1).Draw(t, "gone")
		whole := order(key, targets)
		without := order(key, slices.Delete(slices.Clone(targets), gone, gone+1))
		whole = slices.DeleteFunc(whole, func(id string) bool { return id == targets[gone].VMID })
		if !slices.Equal(whole, without) {
			t.Fatalf("order of the others moved: %v, %v", whole, without)
		}
	})
	Convey("A target's share follows its weight", t, func() {
		targets := pool(4)
		targets[0].Weight = 3
		const keys = 6000
		first := 0
		random := rand.New(rand.NewPCG(3, 4))
		for range keys {
			if order(random.Uint64(), targets)[0] == "vm-000" {
				first++
			}
		}
		So(first, ShouldBeBetween, keys*45/100, keys*55/100)
	})
}

// TestPickNeverTakesAnUnusableTarget draws every reason against a target at
// once and compares the choices with a plain list of usable targets.
func TestPickNeverTakesAnUnusableTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := pool(rapid.IntRange(1, 20).Draw(t, "targets"))
		s, directory := newScheduler(DefaultSettings(), targets)
		q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4}, BlockTokens: 100, PromptTokens: 450}
		asked := s.Candidates(q, start)
		usable := map[string]bool{}
		var answers []Answer
		for _, c := range asked {
			vmID := c.Target.VMID
			a := healthy(vmID)
			a.Wait = time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond
			a.MatchedBlocks = rapid.IntRange(0, 5).Draw(t, "matched")
			a.EvictionPPMPerSecond = rapid.Uint32Range(0, 40_000).Draw(t, "evictions")
			fault := rapid.SampledFrom([]string{"", "", "leaving", "word", "boot", "model", "excluded", "broken", "silent"}).Draw(t, "fault")
			usable[vmID] = fault == ""
			switch fault {
			case "leaving":
				a.State = StateLeaving
			case "word":
				directory.ApplyReport(AgentReport{VMID: vmID, BootID: 7, State: StateDown}, start)
			case "boot":
				a.EngineBoot = 0
			case "model":
				a.ServesModel = false
			case "excluded":
				q.Excluded = append(q.Excluded, vmID)
			case "broken":
				for range 3 {
					s.RecordFailure(vmID, start)
				}
			case "silent":
				continue
			}
			answers = append(answers, a)
		}
		d := s.Decide(q, asked, answers, start)
		wanted := 0
		for _, ok := range usable {
			if ok {
				wanted++
			}
		}
		if len(d.Choices) != min(wanted, s.settings.MaxTries) || len(d.Choices)+len(d.Others) != len(asked) {
			t.Fatalf("%d choices of %d usable, %d asked", len(d.Choices), wanted, len(asked))
		}
		for i, c := range d.Choices {
			if !usable[c.Candidate.Target.VMID] {
				t.Fatalf("chose unusable %s", c.Candidate.Target.VMID)
			}
			if i > 0 && c.Score < d.Choices[i-1].Score {
				t.Fatalf("choice %d scores less than the one before", i)
			}
		}
		for _, c := range d.Others {
			if last := len(d.Choices) - 1; last >= 0 && c.Rejection == RejectNone && c.Score < d.Choices[last].Score {
				t.Fatalf("%s scores less than a choice", c.Candidate.Target.VMID)
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
	Convey("With two targets, one warm and busy, one cold and idle", t, func() {
		s, _ := newScheduler(DefaultSettings(), pool(2))
		warm, cold := healthy("vm-000"), healthy("vm-001")
		warm.MatchedBlocks, warm.Wait = 4, 300*time.Millisecond
		Convey("The idle one wins while its cache has room", func() {
			So(decide(s, warm, cold).Candidate.Target.VMID, ShouldEqual, "vm-001")
		})
		Convey("The warm one wins when the idle one evicts", func() {
			cold.EvictionPPMPerSecond = 20_000
			So(decide(s, warm, cold).Candidate.Target.VMID, ShouldEqual, "vm-000")
		})
		Convey("An import is named when copying beats computing", func() {
			settings := DefaultSettings()
			settings.EngineImport = ImportCost{Enabled: true, Fixed: 10 * time.Millisecond, PerKtoken: 5 * time.Millisecond}
			s, _ := newScheduler(settings, pool(2))
			choice := decide(s, warm, cold)
			So(choice.Candidate.Target.VMID, ShouldEqual, "vm-001")
			So(choice.ImportFromVMID, ShouldEqual, "vm-000")
			So(choice.ImportBlocks, ShouldEqual, 4)
			So(choice.TimeToFirstToken, ShouldEqual, 35*time.Millisecond)
		})
	})
	Convey("Between equals the own data centre wins", t, func() {
		targets := pool(2)
		targets[0].DataCentre = "dc-2"
		s, _ := newScheduler(DefaultSettings(), targets)
		So(decide(s, healthy("vm-000"), healthy("vm-001")).Candidate.Target.VMID, ShouldEqual, "vm-001")
	})
}

func TestCandidates(t *testing.T) {
	chain := []uint64{11, 12, 13, 14, 15}
	Convey("In a large pool", t, func() {
		s, _ := newScheduler(DefaultSettings(), pool(60))
		q := &Query{Pool: "p", Chain: chain}
		usual := s.choose(q, s.eligible(q, start), start)
		Convey("Six distinct candidates come from several levels", func() {
			ids := vmIDs(usual)
			slices.Sort(ids)
			So(len(slices.Compact(ids)), ShouldEqual, 6)
			So(usual[0].Source, ShouldEqual, SourceDeep)
			So(usual[2].Source, ShouldEqual, SourceMiddle)
			So(usual[4].Source, ShouldEqual, SourceShallow)
			So(usual[5].Source, ShouldEqual, SourceRandom)
		})
		Convey("A hot prefix widens the set, within its bound, until it cools", func() {
			for range 500 {
				s.Candidates(q, start)
			}
			So(len(s.Candidates(q, start)), ShouldEqual, s.settings.MaxCandidates)
			So(len(s.Candidates(q, start.Add(time.Minute))), ShouldEqual, 6)
		})
		Convey("At most two hints are probed, and none that is excluded", func() {
			q.Excluded = []string{"vm-059"}
			unasked := slices.DeleteFunc(vmIDs(wholeOf(s, q)), func(id string) bool { return slices.Contains(vmIDs(usual), id) })
			answer := Answer{HintVMIDs: append([]string{"vm-059", "nowhere"}, unasked[:5]...)}
			hinted := s.HintedCandidates(q, usual, &answer, start)
			So(vmIDs(hinted), ShouldResemble, unasked[:2])
			So(s.HintedCandidates(q, append(usual, hinted...), &answer, start), ShouldBeEmpty)
		})
	})
	Convey("A small pool is probed whole, without other regions", t, func() {
		targets := pool(8)
		targets[7].Region = "r-2"
		s, _ := newScheduler(DefaultSettings(), targets)
		So(len(s.Candidates(&Query{Pool: "p", Chain: chain}, start)), ShouldEqual, 7)
		So(len(s.Candidates(&Query{Pool: "p", Chain: chain, AnyRegion: true}, start)), ShouldEqual, 8)
	})
}

func wholeOf(s *Scheduler, q *Query) []Candidate {
	return s.wholePool(q, s.eligible(q, start))
}

func TestBaselines(t *testing.T) {
	Convey("Each baseline orders by its own rule alone", t, func() {
		q := &Query{Pool: "p", Chain: []uint64{5, 6}, BlockTokens: 1000, PromptTokens: 2100}
		decide := func(kind BaselineKind) (Policy, []Candidate, Decision) {
			s, _ := newScheduler(DefaultSettings(), pool(30))
			policy := NewBaseline(kind, s)
			asked := policy.Candidates(q, start)
			var answers []Answer
			for i, c := range asked {
				a := healthy(c.Target.VMID)
				a.Wait = time.Duration(len(asked)-i) * time.Millisecond
				a.MatchedBlocks = 2 - min(2, i)
				answers = append(answers, a)
			}
			return policy, asked, policy.Decide(q, asked, answers, start)
		}
		_, asked, d := decide(BaselinePrefixHash)
		So(len(asked), ShouldEqual, 3)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, asked[0].Target.VMID)
		_, asked, d = decide(BaselineLeastLoaded)
		So(len(asked), ShouldEqual, 30)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, asked[29].Target.VMID)
		_, asked, d = decide(BaselineAllProbed)
		So(d.Choices[0].Candidate.Target.VMID, ShouldEqual, asked[0].Target.VMID)
		policy, asked, d := decide(BaselineRandom)
		So(len(asked), ShouldEqual, 3)
		So(d.Policy, ShouldEqual, policy.Name())
	})
}

func TestLogFields(t *testing.T) {
	Convey("A decision tells its choice and every candidate's reason", t, func() {
		s, _ := newScheduler(DefaultSettings(), pool(2))
		q := &Query{RequestID: "r", Pool: "p", Chain: []uint64{1}, BlockTokens: 1000, PromptTokens: 1100}
		answer := healthy("vm-001")
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
			s, _ := newScheduler(settings, pool(candidates))
			q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4, 5, 6, 7}, BlockTokens: 2000, PromptTokens: 15000}
			asked := s.Candidates(q, start)
			var answers []Answer
			for i, c := range asked {
				a := healthy(c.Target.VMID)
				a.MatchedBlocks, a.Wait = i%7, time.Duration(i)*time.Millisecond
				answers = append(answers, a)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(q, asked, answers, start)
			}
		})
	}
}

func BenchmarkCandidates670(b *testing.B) {
	s, _ := newScheduler(DefaultSettings(), pool(670))
	q := &Query{Pool: "p", Chain: []uint64{1, 2, 3, 4, 5, 6, 7}}
	b.ReportAllocs()
	for b.Loop() {
		s.Candidates(q, start)
	}
}
