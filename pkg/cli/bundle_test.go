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

func setComment(text string) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) { b.Comment = text }
}

func TestBundleLifecycle(t *testing.T) {
	f := startFixture(t)
	Convey("A bundle is drafted, signed, approved, rolled and withdrawn", t, func() {
		draft, envelope := f.path("next.json"), f.path("next.signed")
		So(runCommand("bundle", "init", "--platform", f.fleet.KVAddress, draft).stdout, ShouldContainSubstring, "a draft of version 2")
		granted := runCommand("key", "grant", "--account", "account-a", "--id", "new", "--json", draft)
		var key keyReport
		So(json.Unmarshal([]byte(granted.stdout), &key), ShouldBeNil)
		So(runCommand("bundle", "check", draft).stdout, ShouldContainSubstring, "no problems")
		diff := runCommand("bundle", "diff", "--platform", f.fleet.KVAddress, draft)
		So(diff.stdout, ShouldContainSubstring, `+ accounts[account-a].keys[new].hash = "`)

		So(runCommand("bundle", "sign", "--key", f.path("ana.key"), "--out", envelope, draft).code, ShouldEqual, 0)
		So(f.roll(envelope).stderr, ShouldContainSubstring, "approvals: found 0, allowed: 1 or more")
		renamedKey := f.path("other-name.key")
		data, _ := os.ReadFile(f.path("ana.key"))
		So(os.WriteFile(renamedKey, bytes.Replace(data, []byte("ana"), []byte("eva"), 1), 0o600), ShouldBeNil)
		So(runCommand("bundle", "approve", "--key", renamedKey, envelope).code, ShouldEqual, ExitUsage)
		So(runCommand("bundle", "approve", "--key", f.path("bea.key"), envelope).stdout, ShouldContainSubstring, "approved by: bea")
		unconfirmed := runCommand("bundle", "roll", "--platform", f.fleet.KVAddress, "--trust", f.trustFile, envelope)
		So(unconfirmed.stderr, ShouldContainSubstring, "no terminal to ask")

		rolled := f.roll(envelope, "--router", f.routerAddress, "--wait", "10s")
		So(rolled.stderr, ShouldContainSubstring, "version 2 in force at 1 of 1 routers")
		So(rolled.code, ShouldEqual, 0)
		So(f.roll(envelope).stdout, ShouldContainSubstring, `"already_published"`)
		index := f.fleet.Routers[0].Daemon.Bundles().Current().Index
		owner, found := index.LookupKey(key.Key)
		So(found, ShouldBeTrue)
		So(owner.Account, ShouldEqual, "account-a")

		keyRemoved := f.approvedEnvelope("further", func(b *bundle.Bundle) { b.Accounts[0].Keys, b.Comment = b.Accounts[0].Keys[:1], "one key" })
		So(f.roll(keyRemoved).code, ShouldEqual, 0)
		restored := f.path("back.signed")
		withdrawn := runCommand("bundle", "withdraw", "--platform", f.fleet.KVAddress, "--to", "2", "--key", f.path("bea.key"), "--out", restored)
		So(withdrawn.stderr, ShouldContainSubstring, "brings back a key that was withdrawn since: accounts[account-a].keys[")
		So(runCommand("bundle", "approve", "--key", f.path("ana.key"), restored).code, ShouldEqual, 0)
		So(f.roll(restored, "--router", f.routerAddress, "--wait", "10s").code, ShouldEqual, 0)
		var entries []historyEntry
		So(json.Unmarshal([]byte(runCommand("bundle", "history", "--platform", f.fleet.KVAddress, "--json").stdout), &entries), ShouldBeNil)
		versions := []string{}
		for _, entry := range entries {
			versions = append(versions, fmt.Sprint(entry.Version, entry.Signer, entry.Approvals))
		}
		So(versions, ShouldResemble, []string{"4bea[ana]", "3ana[bea]", "2ana[bea]", "1operator[]"})
		So(entries[0].Changes, ShouldHaveLength, len(entries[1].Changes))

		So(filesContaining(f.dir, key.Key), ShouldBeEmpty)
	})
}

// filesContaining returns the files in a directory that contain a text or can't
// be read.
func filesContaining(dir, text string) []string {
	var found []string
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		if data, err := os.ReadFile(path); err != nil || bytes.Contains(data, []byte(text)) {
			found = append(found, path)
		}
	}
	return found
}

// proxyWithHook starts a proxy in front of the key-value service that runs hook
// before it forwards the call with number hookedCall, counted from 1.
func proxyWithHook(f *fixture, hookedCall int, hook func()) *httptest.Server {
	target, _ := url.Parse("http://" + f.fleet.KVAddress)
	proxy := httputil.NewSingleHostReverseProxy(target)
	calls := 0
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == hookedCall {
			hook()
		}
		proxy.ServeHTTP(w, r)
	}))
}

// TestConcurrentRolls runs a second roll just before the n-th key-value call of
// a first roll, for n from 1 until the first roll makes fewer than n calls.
func TestConcurrentRolls(t *testing.T) {
	f := startFixture(t)
	Convey("Of two concurrent rolls, one is published and the other reports the concurrent changes", t, func() {
		winsByName := map[string]int{}
		for call, hookCalled := 1, true; hookCalled; call++ {
			hookCalled = false
			names := []string{fmt.Sprintf("slow-%d", call), fmt.Sprintf("quick-%d", call)}
			envelopes := []string{f.approvedEnvelope(names[0], setComment(names[0])), f.approvedEnvelope(names[1], setComment(names[1]))}
			var results [2]commandResult
			proxy := proxyWithHook(f, call, func() { hookCalled = true; results[1] = f.roll(envelopes[1]) })
			results[0] = runCommand("bundle", "roll", "--platform", proxy.Listener.Addr().String(), "--trust", f.trustFile,
				"--yes", "--json", envelopes[0])
			proxy.Close()
			if !hookCalled {
				results[1] = f.roll(envelopes[1])
			}
			winner := 0
			if results[0].code != 0 {
				winner = 1
			}
			loser := results[1-winner]
			So([]int{results[winner].code, loser.code}, ShouldResemble, []int{0, ExitSuperseded})
			var report rollReport
			So(json.Unmarshal([]byte(loser.stdout), &report), ShouldBeNil)
			So(report.Outcome, ShouldEqual, rollSuperseded)
			So(report.ConcurrentChanges.Changes, ShouldHaveLength, 1)
			So(report.ConcurrentChanges.Changes[0].After, ShouldEqual, fmt.Sprintf("%q", names[winner]))
			winsByName[names[winner][:4]]++
		}
		So(winsByName["slow"], ShouldBeGreaterThan, 1)
		So(winsByName["quic"], ShouldBeGreaterThan, 1)
		var entries []historyEntry
		So(json.Unmarshal([]byte(runCommand("bundle", "history", "--platform", f.fleet.KVAddress, "--json").stdout), &entries), ShouldBeNil)
		So(entries, ShouldHaveLength, 1+winsByName["slow"]+winsByName["quic"])
	})
}

func TestKeyValueServiceOutage(t *testing.T) {
	f := startFixture(t)
	Convey("During an outage of the key-value service, commands report the active bundle versions and the operations that aren't possible", t, func() {
		envelope := f.approvedEnvelope("next", setComment("next"))
		f.setOutage(true)
		status := runCommand("bundle", "status", "--platform", f.fleet.KVAddress, "--router", f.routerAddress)
		So(status.code, ShouldEqual, ExitUnavailable)
		So(status.stdout, ShouldContainSubstring, "in force: version 1 at entry-00")
		So(status.stdout, ShouldContainSubstring, "not possible now: roll, withdraw")
		rolled := f.roll(envelope, "--router", f.routerAddress)
		So(rolled.code, ShouldEqual, ExitUnavailable)
		So(rolled.stderr, ShouldContainSubstring, "in force: version 1 at entry-00")
		So(runCommand("bundle", "check", envelope).code, ShouldEqual, 0)
		f.setOutage(false)
		So(f.roll(envelope, "--router", f.routerAddress, "--wait", "10s").code, ShouldEqual, 0)
	})
}

func TestInvalidInput(t *testing.T) {
	dir := t.TempDir()
	Convey("All problems are reported at once with their paths and without secrets", t, func() {
		draft := filepath.Join(dir, "draft.json")
		So(runCommand("bundle", "init", draft).code, ShouldEqual, 0)
		So(runCommand("bundle", "init", draft).stderr, ShouldContainSubstring, "exists and is left as it is")
		const secret = "bbk_by-mistake"
		data, _ := os.ReadFile(draft)
		text := strings.Replace(string(data), `"accounts": []`, `"accounts": [{"name": "acme", "rate_tokens_per_second": 0,
			"burst_tokens": 5, "weight": 1, "keys": [{"id": "k", "hash": "`+secret+`", "key": "`+secret+`"}]}]`, 1)
		text = strings.Replace(text, `"min_ready_share": 0.6`, `"min_ready_share": 6`, 1)
		So(os.WriteFile(draft, []byte(text), 0o600), ShouldBeNil)
		result := runCommand("bundle", "check", "--json", draft)
		So(result.code, ShouldEqual, ExitUsage)
		var report problemReport
		So(json.Unmarshal([]byte(result.stdout), &report), ShouldBeNil)
		var paths []string
		for _, problem := range report.Problems {
			paths = append(paths, problem.Path)
		}
		So(paths, ShouldResemble, []string{"accounts[0].keys[0].key", "accounts[0].rate_tokens_per_second",
			"accounts[0].keys[0].hash", "rollout.min_ready_share"})
		So(result.stdout+result.stderr, ShouldNotContainSubstring, secret)

		key := filepath.Join(dir, "ana.key")
		So(runCommand("keygen", "--id", "ana", "--out", key).code, ShouldEqual, 0)
		So(os.Chmod(key, 0o640), ShouldBeNil)
		signed := runCommand("bundle", "sign", "--key", key, "--out", filepath.Join(dir, "x"), draft)
		So(signed.stderr, ShouldContainSubstring, "lets others read")
		So(signed.code, ShouldEqual, ExitUsage)
		So(runCommand("bundle", "status", "--platform", "localhost:80").code, ShouldEqual, ExitUsage)
	})
	Convey("Only the complete answer \"yes\" confirms", t, func() {
		var prompt bytes.Buffer
		So(promptYes(strings.NewReader("yes\n"), &prompt, "Roll"), ShouldBeNil)
		for _, input := range []string{"", "y\n", "no\n", "yes please\n"} {
			So(promptYes(strings.NewReader(input), &prompt, "Roll"), ShouldNotBeNil)
		}
		So(prompt.String(), ShouldStartWith, "Roll [yes/no]: ")
	})
}
