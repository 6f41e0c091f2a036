package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/configcheck"
)

const soundDeployment = `{"version":2,"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","timeout_ms":1000,"slo_ms":300,"attempts":2,"service":"s"}],` +
	`"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["secret-key"],"unit":"requests","rate_per_s":10,"burst":20}]}`

// TestCheckDeployment guards against an exit code that hides a problem, an option that is ignored
// because it stands after the file, and keys that are printed.
func TestCheckDeployment(t *testing.T) {
	Convey("Given configurations of a deployment", t, func() {
		dir := t.TempDir()
		write := func(name string, replacements ...string) string {
			file := filepath.Join(dir, name)
			So(os.WriteFile(file, []byte(strings.NewReplacer(replacements...).Replace(soundDeployment)), privateFileMode), ShouldBeNil)
			return file
		}
		check := func(arguments ...string) commandResult {
			return runCommand(append([]string{"config", "check", "deployment"}, arguments...)...)
		}
		sound := write("sound.json")
		older := write("older.json", `"version":2`, `"version":1`)
		lowered := write("lowered.json", `"version":2`, `"version":3`, `"rate_per_s":10`, `"rate_per_s":5`, "secret-key", "other-key")
		broken := write("broken.json", `"service":"s"`, `"service":"x"`)
		Convey("the exit code is 0 for a sound one, 1 for warnings, 2 for errors", func() {
			So(check(sound).code, ShouldEqual, 0)
			So(check(sound, "--in-force", older).code, ShouldEqual, 0)
			So(check(lowered, "--in-force", sound).code, ShouldEqual, 1)
			So(check("--in-force", sound, lowered).code, ShouldEqual, 1)
			So(check(sound, "--targets", "s=1").code, ShouldEqual, 1)
			So(check(broken).code, ShouldEqual, 2)
			So(check(lowered, "--in-force="+sound).stdout, ShouldContainSubstring, "rate_per_s 10 → 5")
			So(check(older, "--in-force", lowered).code, ShouldEqual, 2)
		})
		Convey("the report is one JSON object with --json, without keys", func() {
			result := check(lowered, "--in-force", sound, "--json")
			var report configcheck.Report
			So(json.Unmarshal([]byte(result.stdout), &report), ShouldBeNil)
			So(report.Count(configcheck.SeverityWarning), ShouldEqual, 2)
			So(result.stdout+result.stderr, ShouldNotContainSubstring, "-key")
		})
		Convey("a value of the wrong type is not printed", func() {
			mistyped := write("mistyped.json", `["secret-key"]`, `{"a":"secret-key"}`, `"rate_per_s":10`, `"rate_per_s":"secret-key"`)
			result := check(mistyped)
			So(result.code, ShouldEqual, 2)
			So(result.stdout+result.stderr, ShouldNotContainSubstring, "secret-key")
		})
		Convey("a wrong command line is refused", func() {
			for _, arguments := range [][]string{{}, {sound, sound}, {sound, "--unknown"}, {sound, "--targets", "s"}, {filepath.Join(dir, "none")}, {sound, "--in-force", filepath.Join(dir, "none")}} {
				So(check(arguments...).code, ShouldEqual, ExitUsage)
			}
			So(runCommand("config", "check", "other", sound).code, ShouldEqual, ExitUsage)
		})
	})
}
