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

// answer is what one command gave.
type answer struct {
	out, err string
	code     int
}

// run runs the operators' command in this process.
func run(arguments ...string) answer {
	var out, shown bytes.Buffer
	app := NewOperatorApp()
	app.Writer, app.ErrWriter, app.Reader = &out, &shown, &bytes.Buffer{}
	err := app.RunContext(context.Background(), append([]string{"baobab"}, arguments...))
	if err == nil {
		return answer{out: out.String(), err: shown.String()}
	}
	return answer{out: out.String(), err: shown.String() + err.Error(), code: exitCode(err)}
}

// site is a small running fleet with two operators.
type site struct {
	dir, trust, router string
	fleet              *localfleet.Fleet
}

func (s *site) file(name string) string { return filepath.Join(s.dir, name) }

// signed drafts the next version with one change, and signs and approves it.
func (s *site) signed(name string, change func(*bundle.Bundle)) string {
	draft, envelope := s.file(name+".json"), s.file(name+".signed")
	So(run("bundle", "init", "--platform", s.fleet.KVAddress, draft).code, ShouldEqual, 0)
	data, err := os.ReadFile(draft)
	So(err, ShouldBeNil)
	content, problems := bundle.Decode(data)
	So(problems, ShouldBeEmpty)
	change(&content)
	So(writeDraft(draft, content, true), ShouldBeNil)
	So(run("bundle", "sign", "--key", s.file("ana.key"), "--out", envelope, draft).code, ShouldEqual, 0)
	So(run("bundle", "approve", "--key", s.file("bea.key"), envelope).code, ShouldEqual, 0)
	return envelope
}

func (s *site) roll(envelope string, more ...string) answer {
	arguments := []string{"bundle", "roll", "--platform", s.fleet.KVAddress, "--trust", s.trust, "--yes", "--json"}
	return run(append(append(arguments, more...), envelope)...)
}

// down stops or restarts the key-value service.
func (s *site) down(outage bool) {
	faults := kvfake.DefaultFaults()
	faults.Outage = outage
	s.fleet.KVServer.SetFaults(faults)
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startSite starts a fleet that trusts the keys of operators ana and bea, made
// by keygen, besides the fleet's own.
func startSite(t *testing.T) *site {
	s := &site{dir: t.TempDir(), router: freeAddress(t)}
	var trusted config.Bundles
	for _, id := range []string{"ana", "bea"} {
		made := run("keygen", "--id", id, "--out", s.file(id+".key"), "--json")
		var entry config.TrustedKey
		if err := json.Unmarshal([]byte(made.out), &entry); err != nil {
			t.Fatal(made, err)
		}
		trusted.TrustedKeys = append(trusted.TrustedKeys, entry)
	}
	trusted.MinApprovals = 1
	data, err := json.Marshal(trusted)
	if err != nil {
		t.Fatal(err)
	}
	s.trust = s.file("trust.json")
	if err := os.WriteFile(s.trust, data, 0o644); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s.fleet, err = localfleet.Start(ctx, localfleet.Config{
		Deployment: localfleet.SmallDeployment(), RouterCount: 1, Seed: 7,
		Engine:    enginefake.Config{BlockTokens: 2000, TotalBlocks: 120},
		LogOutput: io.Discard,
		ConfigureAgent: func(settings *config.Agent) {
			settings.DrainTimeout = config.Duration(time.Second)
			settings.Bundles.TrustedKeys = append(settings.Bundles.TrustedKeys, trusted.TrustedKeys...)
		},
		ConfigureRouter: func(settings *config.Router) {
			settings.Operators.Address = s.router
			settings.Bundles.TrustedKeys = append(settings.Bundles.TrustedKeys, trusted.TrustedKeys...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.fleet.Close)
	return s
}
