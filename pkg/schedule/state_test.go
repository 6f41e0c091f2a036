package schedule

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestRetryBudget checks that over any run the retries stay within burst plus
// what requests and time earned, and that an earned retry is granted.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := RetryBudgetSettings{Ratio: 0.125, MinPerSecond: 1, Burst: 5}
		now := start
		budget := NewRetryBudget(settings, now)
		level := settings.Burst
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				budget.OnRequest(now)
				level = min(settings.Burst, level+settings.Ratio)
			},
			"retry": func(t *rapid.T) {
				granted := budget.TryRetry(now)
				if granted != (level >= 1) {
					t.Fatalf("granted %v at level %v", granted, level)
				}
				if granted {
					level--
				}
			},
			"time": func(t *rapid.T) {
				quarters := rapid.IntRange(-4, 8).Draw(t, "quarter seconds")
				budget.Level(now.Add(time.Duration(quarters) * time.Second / 4))
				if quarters > 0 {
					now = now.Add(time.Duration(quarters) * time.Second / 4)
					level = min(settings.Burst, level+float64(quarters)/4)
				}
			},
		})
	})
}

func TestBreaker(t *testing.T) {
	Convey("A breaker opens, lets one trial through, and backs off", t, func() {
		settings := DefaultSettings().Breaker
		b := newBreakers(settings)
		for range settings.Failures {
			So(b.allows("vm", start), ShouldBeTrue)
			b.fail("vm", start)
		}
		So(b.allows("vm", start), ShouldBeFalse)
		b.fail("vm", start.Add(settings.OpenFor/2))
		half := start.Add(settings.OpenFor)
		So(b.allows("vm", half), ShouldBeTrue)
		b.begin("vm", half)
		So(b.allows("vm", half), ShouldBeFalse)
		b.fail("vm", half)
		So(b.allows("vm", half.Add(settings.OpenFor)), ShouldBeFalse)
		So(b.allows("vm", half.Add(2*settings.OpenFor)), ShouldBeTrue)
		Convey("A trial without a result ends by itself", func() {
			b.begin("vm", half.Add(2*settings.OpenFor))
			So(b.allows("vm", half.Add(2*settings.OpenFor+settings.TrialFor)), ShouldBeTrue)
		})
		Convey("A success closes it", func() {
			b.succeed("vm")
			So(b.allows("vm", half), ShouldBeTrue)
		})
	})
}

func TestProbeWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultProbeWindowSettings()
		asked := rapid.IntRange(1, 8).Draw(t, "asked")
		w := NewProbeWindow(settings, asked, start)
		now, answers := start, 0
		for range rapid.IntRange(0, asked).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond)
			if rapid.Bool().Draw(t, "failed") {
				w.RecordFailure()
				asked--
			} else {
				w.RecordAnswer(now)
				answers++
			}
			until := w.Deadline()
			switch {
			case answers == asked:
				if !w.Closed(now) {
					t.Fatal("open with nothing to wait for")
				}
			case answers > 0 && until.After(start.Add(settings.Max)):
				t.Fatalf("open until %v with answers in", until.Sub(start))
			case answers == 0 && !until.Equal(start.Add(settings.NoAnswerTimeout)):
				t.Fatalf("open until %v without an answer", until.Sub(start))
			}
		}
	})
	Convey("With enough answers the fastest sets the wait", t, func() {
		w := NewProbeWindow(DefaultProbeWindowSettings(), 6, start)
		w.RecordAnswer(start.Add(time.Millisecond))
		w.RecordAnswer(start.Add(3 * time.Millisecond))
		So(w.Deadline(), ShouldEqual, start.Add(4*time.Millisecond))
	})
}

// TestDirectory compares with an oracle that keeps the whole history of words.
func TestDirectory(t *testing.T) {
	const freshFor = 10 * time.Second
	type said struct {
		boot uint64
		at   time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(freshFor)
		now, boot := start, uint64(1)
		listed, listLeaving, wordLeaving, heardBefore := false, false, false, false
		var last said
		forgetGone := func() {
			if !listed && (last.boot == 0 || now.Sub(last.at) > freshFor) {
				last, listLeaving, wordLeaving, heardBefore = said{}, false, false, false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				listed = rapid.Bool().Draw(t, "listed")
				var list []Target
				if listed {
					target := Target{VMID: "vm"}
					listLeaving = rapid.Bool().Draw(t, "leaving")
					if listLeaving {
						target.State = StateLeaving
					}
					list = append(list, target)
				}
				d.ApplyList(list, now)
				forgetGone()
			},
			"word": func(t *rapid.T) {
				state := rapid.SampledFrom([]State{StateLive, StateLeaving}).Draw(t, "state")
				d.ApplyReport(AgentReport{VMID: "vm", BootID: boot, State: state, Target: &Target{VMID: "vm"}}, now)
				wordLeaving = (wordLeaving && last.boot == boot) || state == StateLeaving
				last = said{boot, now}
			},
			"late word of the boot before": func(*rapid.T) {
				if heardBefore && last.boot == boot {
					d.ApplyReport(AgentReport{VMID: "vm", BootID: boot - 1, State: StateLeaving}, now)
				}
			},
			"restart": func(*rapid.T) {
				if last.boot == boot {
					boot++
					heardBefore = true
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(4 * time.Second)
				d.Refresh(now)
				forgetGone()
			},
			"": func(t *rapid.T) {
				target, known := d.Lookup("vm")
				fresh := last.boot != 0 && now.Sub(last.at) <= freshFor
				if known != (listed || fresh) {
					t.Fatalf("known %v, listed %v, fresh %v", known, listed, fresh)
				}
				leaving := listLeaving || wordLeaving
				if known && (target.State == StateLeaving) != leaving {
					t.Fatalf("state %v, leaving %v", target.State, leaving)
				}
			},
		})
	})
}
