package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
