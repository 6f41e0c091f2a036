package eventlog

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLogger(t *testing.T) {
	Convey("An event is written as one numbered JSON line", t, func() {
		var out bytes.Buffer
		New(&out, "router", "vm-1").Log(Started, "address", "127.0.0.1:1")
		var line struct {
			Event   int    `json:"event"`
			Name    string `json:"name"`
			VM      string `json:"vm"`
			Address string `json:"address"`
		}
		So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
		So(line.Event, ShouldEqual, 100)
		So(line.Name, ShouldEqual, "started")
		So(line.VM, ShouldEqual, "vm-1")
		So(line.Address, ShouldEqual, "127.0.0.1:1")
	})
}

func TestCatalogue(t *testing.T) {
	Convey("Event numbers are unique and in order", t, func() {
		for i := 1; i < len(Catalogue); i++ {
			So(Catalogue[i].Number, ShouldBeGreaterThan, Catalogue[i-1].Number)
		}
	})
}

func TestPageIsCurrent(t *testing.T) {
	Convey("docs/EVENTS.md is what `baobab events` prints", t, func() {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "EVENTS.md"))
		So(err, ShouldBeNil)
		So(string(page) == MarkdownPage(), ShouldBeTrue)
	})
}

// literals finds the events that the package's source declares.
var literals = regexp.MustCompile(`Event\{(\d+),\s*"([a-z_]+)"`)

func TestCatalogueIsComplete(t *testing.T) {
	Convey("Every declared event is in the catalogue", t, func() {
		known := map[string]string{}
		for _, event := range Catalogue {
			known[strconv.Itoa(int(event.Number))] = event.Name
		}
		files, err := filepath.Glob("*.go")
		So(err, ShouldBeNil)
		declared := 0
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			for _, match := range literals.FindAllStringSubmatch(string(source), -1) {
				declared++
				So(known[match[1]], ShouldEqual, match[2])
			}
		}
		So(declared, ShouldEqual, len(Catalogue))
	})
}
