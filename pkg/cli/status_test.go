package cli

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

func TestFleetStatus(t *testing.T) {
	f := startFixture(t)
	Convey("Status shows the bundle versions, outdated and unresponsive VMs, targets, slots and the time of the key-value service's last response", t, func() {
		stopped := f.fleet.Targets[0]
		So(stopped.Agent.Stop(), ShouldBeNil)
		stopped.Agent = nil
		So(f.roll(f.approvedEnvelope("next", setComment("next"))).code, ShouldEqual, 0)
		var report fleetReport
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for ctx.Err() == nil && report.VMsByVersion[2] != len(f.fleet.Targets) {
			result := runCommand("status", "--json", "--router", f.routerAddress, "--router", "127.0.0.1:1")
			So(result.code, ShouldEqual, 0)
			report = fleetReport{}
			So(json.Unmarshal([]byte(result.stdout), &report), ShouldBeNil)
		}
		So(report.VMsByVersion, ShouldResemble, map[uint64]int{2: len(f.fleet.Targets)})
		So(report.UnresponsiveVMs, ShouldResemble, []string{stopped.VMID})
		So(report.Routers[1].Error, ShouldContainSubstring, "refused")
		text := runCommand("status", "--router", f.routerAddress).stdout
		So(text, ShouldContainSubstring, "bundle   version 2 in force at 4 VMs\nlaggards none\nsilent   "+stopped.VMID+"\n")
		So(text, ShouldContainSubstring, "targets  booking: live 1\n")
		So(text, ShouldContainSubstring, "key-value service last answered")
		So(len(strings.Split(text, "\n")), ShouldBeLessThan, 24)
		So(runCommand("status", "--router", "127.0.0.1:1").code, ShouldEqual, ExitUnavailable)
	})
}

func TestExplain(t *testing.T) {
	Convey("Explain lists a request's events from several files in time order", t, func() {
		dir := t.TempDir()
		var logs [2]strings.Builder
		router, agent := eventlog.New(&logs[0], "router", "entry-1"), eventlog.New(&logs[1], "agent", "engine-1")
		router.Log(eventlog.RoutingDecided, "request_id", "r-1", "target", "engine-1", "candidates", []string{"engine-1: 3 ms", "engine-2: 9 ms"})
		agent.Log(eventlog.PromptRefused, "request_id", "r-1", "code", "overloaded")
		router.Log(eventlog.RoutingDecided, "request_id", "r-2", "target", "engine-2")
		router.Log(eventlog.RoutingRetried, "request_id", "r-1", "target", "engine-1")
		files := []string{dir + "/agent", dir + "/router"}
		So(os.WriteFile(files[0], []byte("cut off\n"+logs[1].String()), 0o600), ShouldBeNil)
		So(os.WriteFile(files[1], []byte(logs[0].String()+strings.Repeat("x", 3<<20)), 0o600), ShouldBeNil)
		result := runCommand("explain", "--json", "r-1", files[0], files[1])
		var report explainReport
		So(json.Unmarshal([]byte(result.stdout), &report), ShouldBeNil)
		var events []eventlog.Number
		for _, step := range report.Steps {
			events = append(events, step.Event)
		}
		So(events, ShouldResemble, []eventlog.Number{200, 803, 202})
		So(report.SkippedLines, ShouldEqual, 2)
		text := runCommand("explain", "r-1", files[0], files[1]).stdout
		So(text, ShouldContainSubstring, "A target was chosen for a request among the probed candidates.\n    target: engine-1\n    candidates: \n      engine-1: 3 ms\n")
		So(runCommand("explain", "r-3", files[0]).code, ShouldEqual, ExitFailure)
	})
}
