package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// commandResult holds the output and the exit code of a command. The returned
// error is appended to stderr.
type commandResult struct {
	stdout, stderr string
	code           int
}

// runCommand runs baobab with arguments in this process.
func runCommand(arguments ...string) commandResult {
	var stdout, stderr bytes.Buffer
	app := NewOperatorApp()
	app.Writer, app.ErrWriter, app.Reader = &stdout, &stderr, &bytes.Buffer{}
	err := app.RunContext(context.Background(), append([]string{"baobab"}, arguments...))
	if err == nil {
		return commandResult{stdout: stdout.String(), stderr: stderr.String()}
	}
	return commandResult{stdout: stdout.String(), stderr: stderr.String() + err.Error(), code: exitCode(err)}
}

// fixture is a small running fleet with two operators, ana and bea.
type fixture struct {
	dir, trustFile, routerAddress string
	fleet                         *localfleet.Fleet
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

// approvedEnvelope drafts the next version with a change, signs and approves it,
// and returns the path of the envelope.
func (f *fixture) approvedEnvelope(name string, change func(*bundle.Bundle)) string {
	draft, envelope := f.path(name+".json"), f.path(name+".signed")
	So(runCommand("bundle", "init", "--platform", f.fleet.KVAddress, draft).code, ShouldEqual, 0)
	data, err := os.ReadFile(draft)
	So(err, ShouldBeNil)
	content, problems := bundle.Decode(data)
	So(problems, ShouldBeEmpty)
	change(&content)
	So(writeDraft(draft, content, true), ShouldBeNil)
	So(runCommand("bundle", "sign", "--key", f.path("ana.key"), "--out", envelope, draft).code, ShouldEqual, 0)
	So(runCommand("bundle", "approve", "--key", f.path("bea.key"), envelope).code, ShouldEqual, 0)
	return envelope
}

func (f *fixture) roll(envelope string, extraArguments ...string) commandResult {
	arguments := []string{"bundle", "roll", "--platform", f.fleet.KVAddress, "--trust", f.trustFile, "--yes", "--json"}
	return runCommand(append(append(arguments, extraArguments...), envelope)...)
}

// setOutage starts or ends an outage of the key-value service.
func (f *fixture) setOutage(outage bool) {
	faults := kvfake.DefaultFaults()
	faults.Outage = outage
	f.fleet.KVServer.SetFaults(faults)
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startFixture starts a fleet that trusts keys of operators ana and bea, generated
// by keygen, in addition to the fleet's own key.
func startFixture(t *testing.T) *fixture {
	f := &fixture{dir: t.TempDir(), routerAddress: freeAddress(t)}
	var bundleSettings config.Bundles
	for _, id := range []string{"ana", "bea"} {
		generated := runCommand("keygen", "--id", id, "--out", f.path(id+".key"), "--json")
		var entry config.TrustedKey
		if err := json.Unmarshal([]byte(generated.stdout), &entry); err != nil {
			t.Fatal(generated, err)
		}
		bundleSettings.TrustedKeys = append(bundleSettings.TrustedKeys, entry)
	}
	bundleSettings.MinApprovals = 1
	data, err := json.Marshal(bundleSettings)
	if err != nil {
		t.Fatal(err)
	}
	f.trustFile = f.path("trust.json")
	if err := os.WriteFile(f.trustFile, data, 0o644); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f.fleet, err = localfleet.Start(ctx, localfleet.Config{
		Deployment: localfleet.SmallDeployment(), RouterCount: 1, Seed: 7,
		Engine:    enginefake.Config{BlockTokens: 2000, TotalBlocks: 120},
		LogOutput: io.Discard,
		ConfigureAgent: func(settings *config.Agent) {
			settings.DrainTimeout = config.Duration(time.Second)
			settings.Bundles.TrustedKeys = append(settings.Bundles.TrustedKeys, bundleSettings.TrustedKeys...)
		},
		ConfigureRouter: func(settings *config.Router) {
			settings.Operators.Address = f.routerAddress
			settings.Bundles.TrustedKeys = append(settings.Bundles.TrustedKeys, bundleSettings.TrustedKeys...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.fleet.Close)
	return f
}
