package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
)

func comment(text string) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) { b.Comment = text }
}

func TestDraftToFleet(t *testing.T) {
	s := startSite(t)
	Convey("A bundle goes from draft to fleet and back", t, func() {
		draft, envelope := s.file("next.json"), s.file("next.signed")
		So(run("bundle", "init", "--platform", s.fleet.KVAddress, draft).out, ShouldContainSubstring, "a draft of version 2")
		granted := run("key", "grant", "--account", "account-a", "--id", "new", "--json", draft)
		var key keyReport
		So(json.Unmarshal([]byte(granted.out), &key), ShouldBeNil)
		So(run("bundle", "check", draft).out, ShouldContainSubstring, "no problems")
		difference := run("bundle", "diff", "--platform", s.fleet.KVAddress, draft)
		So(difference.out, ShouldContainSubstring, `+ accounts[account-a].keys[new].hash = "`)

		So(run("bundle", "sign", "--key", s.file("ana.key"), "--out", envelope, draft).code, ShouldEqual, 0)
		So(s.roll(envelope).err, ShouldContainSubstring, "approvals: found 0, allowed: 1 or more")
		renamed := s.file("other-name.key")
		data, _ := os.ReadFile(s.file("ana.key"))
		So(os.WriteFile(renamed, bytes.Replace(data, []byte("ana"), []byte("eva"), 1), 0o600), ShouldBeNil)
		So(run("bundle", "approve", "--key", renamed, envelope).code, ShouldEqual, ExitUsage)
		So(run("bundle", "approve", "--key", s.file("bea.key"), envelope).out, ShouldContainSubstring, "approved by: bea")
		unasked := run("bundle", "roll", "--platform", s.fleet.KVAddress, "--trust", s.trust, envelope)
		So(unasked.err, ShouldContainSubstring, "no terminal to ask")

		rolled := s.roll(envelope, "--router", s.router, "--wait", "10s")
		So(rolled.err, ShouldContainSubstring, "version 2 in force at 1 of 1 routers")
		So(rolled.code, ShouldEqual, 0)
		So(s.roll(envelope).out, ShouldContainSubstring, `"already_published"`)
		index := s.fleet.Routers[0].Daemon.Bundles().Current().Index
		owner, known := index.LookupKey(key.Key)
		So(known, ShouldBeTrue)
		So(owner.Account, ShouldEqual, "account-a")

		further := s.signed("further", func(b *bundle.Bundle) { b.Accounts[0].Keys, b.Comment = b.Accounts[0].Keys[:1], "one key" })
		So(s.roll(further).code, ShouldEqual, 0)
		back := s.file("back.signed")
		withdrawn := run("bundle", "withdraw", "--platform", s.fleet.KVAddress, "--to", "2", "--key", s.file("bea.key"), "--out", back)
		So(withdrawn.err, ShouldContainSubstring, "brings back a key that was withdrawn since: accounts[account-a].keys[")
		So(run("bundle", "approve", "--key", s.file("ana.key"), back).code, ShouldEqual, 0)
		So(s.roll(back, "--router", s.router, "--wait", "10s").code, ShouldEqual, 0)
		var entries []historyEntry
		So(json.Unmarshal([]byte(run("bundle", "history", "--platform", s.fleet.KVAddress, "--json").out), &entries), ShouldBeNil)
		versions := []string{}
		for _, entry := range entries {
			versions = append(versions, fmt.Sprint(entry.Version, entry.Signer, entry.Approvals))
		}
		So(versions, ShouldResemble, []string{"4bea[ana]", "3ana[bea]", "2ana[bea]", "1operator[]"})
		So(entries[0].Changes, ShouldHaveLength, len(entries[1].Changes))

		So(holdsText(s.dir, key.Key), ShouldBeEmpty)
	})
}

// holdsText names the files below a directory that hold a text.
func holdsText(dir, text string) []string {
	var found []string
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		if data, err := os.ReadFile(path); err != nil || bytes.Contains(data, []byte(text)) {
			found = append(found, path)
		}
	}
	return found
}

// meddle returns the address of a service that passes calls on to the key-value
// service, and runs act before it passes on the call of that number.
func meddle(s *site, number int, act func()) *httptest.Server {
	target, _ := url.Parse("http://" + s.fleet.KVAddress)
	pass := httputil.NewSingleHostReverseProxy(target)
	calls := 0
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == number {
			act()
		}
		pass.ServeHTTP(w, r)
	}))
}

func TestRacingOperators(t *testing.T) {
	s := startSite(t)
	Convey("Whenever another operator rolls in between, one wins and the other sees what changed", t, func() {
		won := map[string]int{}
		for call, met := 1, true; met; call++ {
			met = false
			names := []string{fmt.Sprintf("slow-%d", call), fmt.Sprintf("quick-%d", call)}
			envelopes := []string{s.signed(names[0], comment(names[0])), s.signed(names[1], comment(names[1]))}
			var answers [2]answer
			between := meddle(s, call, func() { met = true; answers[1] = s.roll(envelopes[1]) })
			answers[0] = run("bundle", "roll", "--platform", between.Listener.Addr().String(), "--trust", s.trust,
				"--yes", "--json", envelopes[0])
			between.Close()
			if !met {
				answers[1] = s.roll(envelopes[1])
			}
			winner := 0
			if answers[0].code != 0 {
				winner = 1
			}
			loser := answers[1-winner]
			So([]int{answers[winner].code, loser.code}, ShouldResemble, []int{0, ExitSuperseded})
			var report rollReport
			So(json.Unmarshal([]byte(loser.out), &report), ShouldBeNil)
			So(report.Outcome, ShouldEqual, rollSuperseded)
			So(report.Meanwhile.Changes, ShouldHaveLength, 1)
			So(report.Meanwhile.Changes[0].After, ShouldEqual, fmt.Sprintf("%q", names[winner]))
			won[names[winner][:4]]++
		}
		So(won["slow"], ShouldBeGreaterThan, 1)
		So(won["quic"], ShouldBeGreaterThan, 1)
		var entries []historyEntry
		So(json.Unmarshal([]byte(run("bundle", "history", "--platform", s.fleet.KVAddress, "--json").out), &entries), ShouldBeNil)
		So(entries, ShouldHaveLength, 1+won["slow"]+won["quic"])
	})
}

func TestServiceDown(t *testing.T) {
	s := startSite(t)
	Convey("Without the key-value service the commands say what is in force and what isn't possible", t, func() {
		envelope := s.signed("next", comment("next"))
		s.down(true)
		status := run("bundle", "status", "--platform", s.fleet.KVAddress, "--router", s.router)
		So(status.code, ShouldEqual, ExitUnavailable)
		So(status.out, ShouldContainSubstring, "in force: version 1 at entry-00")
		So(status.out, ShouldContainSubstring, "not possible now: roll, withdraw")
		rolled := s.roll(envelope, "--router", s.router)
		So(rolled.code, ShouldEqual, ExitUnavailable)
		So(rolled.err, ShouldContainSubstring, "in force: version 1 at entry-00")
		So(run("bundle", "check", envelope).code, ShouldEqual, 0)
		s.down(false)
		So(s.roll(envelope, "--router", s.router, "--wait", "10s").code, ShouldEqual, 0)
	})
}

func TestRefusals(t *testing.T) {
	dir := t.TempDir()
	Convey("All problems come at once with their paths, and no secret with them", t, func() {
		draft := filepath.Join(dir, "draft.json")
		So(run("bundle", "init", draft).code, ShouldEqual, 0)
		So(run("bundle", "init", draft).err, ShouldContainSubstring, "exists and is left as it is")
		const secret = "bbk_by-mistake"
		data, _ := os.ReadFile(draft)
		text := strings.Replace(string(data), `"accounts": []`, `"accounts": [{"name": "acme", "rate_tokens_per_second": 0,
			"burst_tokens": 5, "weight": 1, "keys": [{"id": "k", "hash": "`+secret+`", "key": "`+secret+`"}]}]`, 1)
		text = strings.Replace(text, `"min_ready_share": 0.6`, `"min_ready_share": 6`, 1)
		So(os.WriteFile(draft, []byte(text), 0o600), ShouldBeNil)
		checked := run("bundle", "check", "--json", draft)
		So(checked.code, ShouldEqual, ExitUsage)
		var report problemReport
		So(json.Unmarshal([]byte(checked.out), &report), ShouldBeNil)
		var paths []string
		for _, problem := range report.Problems {
			paths = append(paths, problem.Path)
		}
		So(paths, ShouldResemble, []string{"accounts[0].keys[0].key", "accounts[0].rate_tokens_per_second",
			"accounts[0].keys[0].hash", "rollout.min_ready_share"})
		So(checked.out+checked.err, ShouldNotContainSubstring, secret)

		key := filepath.Join(dir, "ana.key")
		So(run("keygen", "--id", "ana", "--out", key).code, ShouldEqual, 0)
		So(os.Chmod(key, 0o640), ShouldBeNil)
		signed := run("bundle", "sign", "--key", key, "--out", filepath.Join(dir, "x"), draft)
		So(signed.err, ShouldContainSubstring, "lets others read")
		So(signed.code, ShouldEqual, ExitUsage)
		So(run("bundle", "status", "--platform", "localhost:80").code, ShouldEqual, ExitUsage)
	})
	Convey("Only a whole yes confirms", t, func() {
		var shown bytes.Buffer
		So(ask(strings.NewReader("yes\n"), &shown, "Roll"), ShouldBeNil)
		for _, other := range []string{"", "y\n", "no\n", "yes please\n"} {
			So(ask(strings.NewReader(other), &shown, "Roll"), ShouldNotBeNil)
		}
		So(shown.String(), ShouldStartWith, "Roll [yes/no]: ")
	})
}
