package schedule

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestRetryBudget checks that retries never exceed the burst plus the credits
// from requests and elapsed time, and that a retry within the budget is granted.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := RetryBudgetSettings{Ratio: 0.125, MinPerSecond: 1, Burst: 5}
		now := start
		budget := NewRetryBudget(settings, now)
		wantLevel := settings.Burst
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				budget.OnRequest(now)
				wantLevel = min(settings.Burst, wantLevel+settings.Ratio)
			},
			"retry": func(t *rapid.T) {
				granted := budget.TryRetry(now)
				if granted != (wantLevel >= 1) {
					t.Fatalf("retry granted: %v at level %v", granted, wantLevel)
				}
				if granted {
					wantLevel--
				}
			},
			"time": func(t *rapid.T) {
				quarters := rapid.IntRange(-4, 8).Draw(t, "quarter seconds")
				budget.Level(now.Add(time.Duration(quarters) * time.Second / 4))
				if quarters > 0 {
					now = now.Add(time.Duration(quarters) * time.Second / 4)
					wantLevel = min(settings.Burst, wantLevel+float64(quarters)/4)
				}
			},
		})
	})
}

func TestBreaker(t *testing.T) {
	Convey("A breaker opens, allows one trial request, and backs off", t, func() {
		settings := DefaultSettings().Breaker
		b := newBreakers(settings)
		for range settings.FailureThreshold {
			So(b.allow("vm", start), ShouldBeTrue)
			b.onFailure("vm", start)
		}
		So(b.allow("vm", start), ShouldBeFalse)
		b.onFailure("vm", start.Add(settings.OpenDuration/2))
		halfOpenAt := start.Add(settings.OpenDuration)
		So(b.allow("vm", halfOpenAt), ShouldBeTrue)
		b.onDispatch("vm", halfOpenAt)
		So(b.allow("vm", halfOpenAt), ShouldBeFalse)
		b.onFailure("vm", halfOpenAt)
		So(b.allow("vm", halfOpenAt.Add(settings.OpenDuration)), ShouldBeFalse)
		So(b.allow("vm", halfOpenAt.Add(2*settings.OpenDuration)), ShouldBeTrue)
		Convey("A trial without a result times out", func() {
			b.onDispatch("vm", halfOpenAt.Add(2*settings.OpenDuration))
			So(b.allow("vm", halfOpenAt.Add(2*settings.OpenDuration+settings.TrialTimeout)), ShouldBeTrue)
		})
		Convey("A success closes the breaker", func() {
			b.onSuccess("vm")
			So(b.allow("vm", halfOpenAt), ShouldBeTrue)
		})
	})
}

func TestProbeWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultProbeWindowSettings()
		probes := rapid.IntRange(1, 8).Draw(t, "probes")
		w := NewProbeWindow(settings, probes, start)
		now, answers := start, 0
		for range rapid.IntRange(0, probes).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond)
			if rapid.Bool().Draw(t, "failed") {
				w.RecordFailure()
				probes--
			} else {
				w.RecordAnswer(now)
				answers++
			}
			until := w.Deadline()
			switch {
			case answers == probes:
				if !w.Closed(now) {
					t.Fatal("window is open with no answer pending")
				}
			case answers > 0 && until.After(start.Add(settings.MaxWait)):
				t.Fatalf("window is open until %v with at least one answer", until.Sub(start))
			case answers == 0 && !until.Equal(start.Add(settings.NoAnswerTimeout)):
				t.Fatalf("window is open until %v without an answer", until.Sub(start))
			}
		}
	})
	Convey("With enough answers, the fastest answer determines the wait", t, func() {
		w := NewProbeWindow(DefaultProbeWindowSettings(), 6, start)
		w.RecordAnswer(start.Add(time.Millisecond))
		w.RecordAnswer(start.Add(3 * time.Millisecond))
		So(w.Deadline(), ShouldEqual, start.Add(4*time.Millisecond))
	})
}

// TestDirectory compares a Directory with a reference model of one VM's list
// entries and agent reports.
func TestDirectory(t *testing.T) {
	const reportTTL = 10 * time.Second
	type report struct {
		boot uint64
		at   time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(reportTTL)
		now, boot := start, uint64(1)
		listed, listedLeaving, reportedLeaving, previousBootReported := false, false, false, false
		var lastReport report
		resetIfGone := func() {
			if !listed && (lastReport.boot == 0 || now.Sub(lastReport.at) > reportTTL) {
				lastReport, listedLeaving, reportedLeaving, previousBootReported = report{}, false, false, false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				listed = rapid.Bool().Draw(t, "listed")
				var list []Target
				if listed {
					target := Target{VMID: "vm"}
					listedLeaving = rapid.Bool().Draw(t, "leaving")
					if listedLeaving {
						target.State = StateLeaving
					}
					list = append(list, target)
				}
				d.ApplyList(list, now)
				resetIfGone()
			},
			"report": func(t *rapid.T) {
				state := rapid.SampledFrom([]State{StateLive, StateLeaving}).Draw(t, "state")
				d.ApplyReport(AgentReport{VMID: "vm", BootID: boot, State: state, Target: &Target{VMID: "vm"}}, now)
				reportedLeaving = (reportedLeaving && lastReport.boot == boot) || state == StateLeaving
				lastReport = report{boot, now}
			},
			"late report of the previous boot": func(*rapid.T) {
				if previousBootReported && lastReport.boot == boot {
					d.ApplyReport(AgentReport{VMID: "vm", BootID: boot - 1, State: StateLeaving}, now)
				}
			},
			"restart": func(*rapid.T) {
				if lastReport.boot == boot {
					boot++
					previousBootReported = true
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(4 * time.Second)
				d.Refresh(now)
				resetIfGone()
			},
			"": func(t *rapid.T) {
				target, known := d.Lookup("vm")
				hasFreshReport := lastReport.boot != 0 && now.Sub(lastReport.at) <= reportTTL
				if known != (listed || hasFreshReport) {
					t.Fatalf("known %v, listed %v, fresh %v", known, listed, hasFreshReport)
				}
				leaving := listedLeaving || reportedLeaving
				if known && (target.State == StateLeaving) != leaving {
					t.Fatalf("state %v, leaving %v", target.State, leaving)
				}
			},
		})
	})
}
