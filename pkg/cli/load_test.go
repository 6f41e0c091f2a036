package cli

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/loadclient"
)

func TestLoad(t *testing.T) {
	f := startFixture(t)
	Convey("A load run measures latencies and fails on wrong or refused answers and invalid options", t, func() {
		deployment := f.fleet.Config.Deployment
		settings := defaultWorkload()
		settings.Model, settings.Seed, settings.BlockBytes, settings.MaxTokens = deployment.Model, 7, 400, 4
		settings.Accounts = nil
		for _, account := range deployment.Accounts {
			settings.Accounts = append(settings.Accounts, workloadAccount(account))
		}
		data, err := json.Marshal(settings)
		So(err, ShouldBeNil)
		path, plotFile := f.path("load.json"), f.path("load.svg")
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		load := func(more ...string) (loadReport, commandResult) {
			result := runCommand(append([]string{"load", "--json", "--router", f.fleet.Routers[0].Daemon.Address(),
				"--workload", path, "--duration", "1500ms", "--rate", "20"}, more...)...)
			var report loadReport
			if result.stdout != "" {
				So(json.Unmarshal([]byte(result.stdout), &report), ShouldBeNil)
			}
			return report, result
		}
		report, result := load("--verify-weights", deployment.WeightsVersion, "--plot", plotFile)
		So(result.code, ShouldEqual, 0)
		So(result.stderr, ShouldContainSubstring, "requests due")
		So(report.Complete, ShouldEqual, report.Requests)
		So(report.Requests, ShouldBeGreaterThan, 10)
		So(report.FirstToken.P99, ShouldBeGreaterThanOrEqualTo, report.FirstToken.P50)
		So(report.FirstToken.P50, ShouldBeGreaterThan, 0)
		plot, err := os.ReadFile(plotFile)
		So(err, ShouldBeNil)
		So(string(plot), ShouldContainSubstring, "<svg")

		report, result = load("--verify-weights", "other-weights")
		So(report.Wrong, ShouldEqual, report.Complete)
		So(result.code, ShouldEqual, ExitWrongAnswer)
		report, result = load("--model", "unknown")
		So(report.Refused["unknown_model"], ShouldEqual, report.Requests)
		So(result.code, ShouldEqual, ExitFailure)
		_, result = load("--rate", "1000", "--duration", "10m")
		So(result.stderr, ShouldContainSubstring, "want a lower --rate")
		So(os.Chmod(path, 0o644), ShouldBeNil)
		_, result = load()
		So(result.stderr, ShouldContainSubstring, "lets others read")
	})
	Convey("Requests that are truncated, failed or not sent count as incomplete; refusals don't", t, func() {
		report := summarizeResults([]loadclient.Result{
			{Status: 200, Complete: true}, {Status: 200, Code: "engine_lost"}, {Status: 429, Code: "rate_limited"},
			{Status: 200}, {Status: 0},
		}, 6, "")
		So(report.Complete, ShouldEqual, 1)
		So(report.Refused, ShouldResemble, map[string]int{"rate_limited": 1})
		So(report.Incomplete, ShouldResemble, map[string]int{"engine_lost": 1, "connection": 2, "not_sent": 1})
		So(exitCode(report.exitError()), ShouldEqual, ExitWrongAnswer)
	})
}
