package peer

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGeneratedCodeIsCurrent(t *testing.T) {
	Convey("The committed code was generated from the committed peer.proto", t, func() {
		source, err := os.ReadFile(filepath.Join("..", "..", "proto", "baobab", "peer", "v1", "peer.proto"))
		So(err, ShouldBeNil)
		recorded, err := os.ReadFile(filepath.Join("peerpb", "peer.proto.sha256"))
		So(err, ShouldBeNil)
		sum := sha256.Sum256(source)
		So(hex.EncodeToString(sum[:]), ShouldEqual, strings.TrimSpace(string(recorded)))
	})
}
