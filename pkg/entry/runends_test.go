package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

// TestUnframedResponseBeforeRefusal guards against a sound prompt that is suspected of crashes, because
// the address of a target that has answered it refused a connection afterwards.
func TestUnframedResponseBeforeRefusal(t *testing.T) {
	request := quarantine.Request{Fingerprint: "r", Parts: []string{"p"}}
	Convey("Given a response that ended with its connection, at a target that refuses another one then", t, func() {
		e := newTestEntry(t, newScriptedStore())
		target := fleet.Target{ID: "a", Service: "s", StartUnixMS: 1}
		e.directory.Put(e.uptime(), target)
		e.quarantine.CompletedUnframed(target, request)
		e.runEnds.Refused(target.Boot())
		later := func() time.Duration { time.Sleep(time.Millisecond); return e.uptime() }
		isSuspected := func() bool {
			crash := quarantine.Crash{Target: fleet.Boot{ID: "b"}, UnixMS: time.Now().UnixMilli()}
			return len(e.quarantine.table.RecordCrash(time.Now(), crash, request)) > 0
		}
		Convey("the response proves nothing when some run answers at the address", func() {
			e.quarantine.Answered(target.Boot(), later())
			So(isSuspected(), ShouldBeTrue)
		})
		Convey("it proves the request sound once the run itself has answered", func() {
			e.runEnds.Running(target.Boot(), later())
			e.quarantine.Answered(target.Boot(), later())
			So(isSuspected(), ShouldBeFalse)
		})
		Convey("it proves nothing once another run was found there", func() {
			e.runEnds.Replaced(target.Boot())
			e.quarantine.Answered(target.Boot(), later())
			So(isSuspected(), ShouldBeTrue)
		})
	})
}

// TestRefusalsDuringRollout guards against a sound software version that is rolled back, because the
// addresses of its targets refused connections for some time. One whose targets crash is rolled back.
func TestRefusalsDuringRollout(t *testing.T) {
	Convey("Given a rollout, and three targets of the new version that refuse connections in turn", t, func() {
		k := newCanaryFixture(t, "v1", "v2")
		r := k.order("v2", 1)
		r.Raise(canary.Running, "")
		judge := func() canary.State {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.judge(k.entry.uptime(), r, false)
			state, _ := r.State()
			return state
		}
		var runs []fleet.Boot
		for n := range int64(3) {
			run := fleet.Boot{ID: fmt.Sprint("new-", n), StartUnixMS: n}
			runs = append(runs, run)
			k.entry.directory.Put(k.entry.uptime(), fleet.Target{ID: run.ID, StartUnixMS: n, Service: "s", SoftwareVersion: "v2"})
			k.entry.startTime = k.entry.startTime.Add(-2 * time.Second)
			k.entry.runEnds.Refused(run)
		}
		Convey("it goes on while they may have ended, and when they answer again", func() {
			So(judge(), ShouldEqual, canary.Running)
			for _, run := range runs {
				k.entry.runEnds.Running(run, k.entry.uptime())
			}
			So(judge(), ShouldEqual, canary.Running)
		})
		Convey("it is reverted once they have ended", func() {
			k.entry.directory.Remove(k.entry.uptime(), runs[0].ID)
			k.entry.directory.Remove(k.entry.uptime(), runs[1].ID)
			So(judge(), ShouldEqual, canary.Running)
			k.entry.runEnds.Replaced(runs[2])
			So(judge(), ShouldEqual, canary.Reverted)
		})
	})
}
