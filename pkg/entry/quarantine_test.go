package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

// TestStoredQuarantineOrder guards against a quarantine that is missing in the store for good:
// the response to a write that arrives after the news of a deletion must not hide it.
func TestStoredQuarantineOrder(t *testing.T) {
	Convey("A write that was followed by a deletion doesn't count as stored", t, func() {
		k := &quarantineKeeper{}
		written := []quarantine.Record{{Suspect: quarantine.Suspect{Part: "p"}}}
		k.setStored(nil, 0, 7)
		k.setStored(written, 6, 6)
		records, revision := k.storedRecords()
		So(records, ShouldBeNil)
		So(revision, ShouldEqual, 0)
		k.setStored(written, 8, 8)
		_, revision = k.storedRecords()
		So(revision, ShouldEqual, 8)
	})
}
