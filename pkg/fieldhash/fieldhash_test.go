package fieldhash

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSum(t *testing.T) {
	sum := func(fields ...string) uint64 {
		list := make([][]byte, len(fields))
		for i, field := range fields {
			list[i] = []byte(field)
		}
		return Sum(list...)
	}
	Convey("Equal fields have the same hash, at any process", t, func() {
		So(sum("a", "b"), ShouldEqual, uint64(4367745140043581558))
	})
	Convey("A byte that moves to the next field, or an empty field, changes the hash", t, func() {
		sums := map[uint64]bool{}
		for _, fields := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, {"abc", ""}, {"", "abc"}, {"c", "ab"}, {}} {
			sums[sum(fields...)] = true
		}
		So(sums, ShouldHaveLength, 7)
	})
}
