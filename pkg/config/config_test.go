package config

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func problemPaths(problems []Problem) []string {
	var result []string
	for _, problem := range problems {
		result = append(result, problem.Path)
	}
	return result
}

func TestParse(t *testing.T) {
	Convey("All problems of a file are reported together, each with its path", t, func() {
		_, problems := ParseRouter([]byte(`{
			"vm": {"id": "", "region": "r", "data_centre": "d", "colour": 1},
			"callers": {"address": "localhost:80", "max_body_bytes": 1, "body_timeout": "soon"},
			"peers": {"seeds": ["x"], "tls": {"cert_file": "c"}},
			"bundles": {"trusted_keys": [{"id": "a", "public_key": "zz"}]}
		}`))
		found := problemPaths(problems)
		for _, path := range []string{
			"vm.id", "vm.colour", "callers.address", "callers.max_body_bytes", "callers.body_timeout",
			"peers.seeds[0]", "peers.tls", "platform.address", "bundles.trusted_keys[0].public_key",
		} {
			So(found, ShouldContain, path)
		}
	})

	Convey("A valid agent settings file has no problems, and omitted slot settings have their defaults", t, func() {
		settings, problems := ParseAgent([]byte(`{
			"vm": {"id": "vm-1", "region": "r", "data_centre": "d"},
			"peer_address": "127.0.0.1:7000",
			"target": {"kind": "service", "address": "127.0.0.1:9000", "pool": "bidding"},
			"platform": {"address": "127.0.0.1:2379"},
			"bundles": {"trusted_keys": [{"id": "ops",
				"public_key": "0000000000000000000000000000000000000000000000000000000000000000"}]}
		}`))
		So(problems, ShouldBeEmpty)
		So(settings.Target.Kind, ShouldEqual, TargetService)
		So(settings.Slots, ShouldResemble, DefaultAgent().Slots)
	})
}

func TestReferenceUpToDate(t *testing.T) {
	Convey("docs/SETTINGS.md matches the output of `baobab config reference`", t, func() {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
		So(err, ShouldBeNil)
		So(string(page) == Reference(), ShouldBeTrue)
	})
}
