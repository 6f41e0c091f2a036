package prefix

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestSaltIsInjective(t *testing.T) {
	field := rapid.StringMatching(`[0-9:a]{0,4}`)
	rapid.Check(t, func(t *rapid.T) {
		var left, right [4]string
		for i := range left {
			left[i], right[i] = field.Draw(t, "left"), field.Draw(t, "right")
		}
		equal := Salt(left[0], left[1], left[2], left[3]) == Salt(right[0], right[1], right[2], right[3])
		if equal != (left == right) {
			t.Fatalf("salts equal: %v, for %q and %q", equal, left, right)
		}
	})
	Convey("Moving bytes between adjacent fields changes the salt", t, func() {
		So(Salt("ab", "c", "", "1"), ShouldNotEqual, Salt("a", "bc", "", "1"))
		So(Salt("a", "", "b", "1"), ShouldNotEqual, Salt("a", "b", "", "1"))
	})
}

func TestChainHashesCoverAllPrecedingBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blockBytes := rapid.IntRange(1, 70).Draw(t, "blockBytes")
		prompt := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "prompt")
		chain := Chain("salt", prompt, blockBytes)
		if len(chain) != len(prompt)/blockBytes {
			t.Fatalf("%d hashes for %d bytes", len(chain), len(prompt))
		}
		if len(chain) == 0 {
			return
		}
		changedIndex := rapid.IntRange(0, len(chain)*blockBytes-1).Draw(t, "changed byte")
		changed := bytes.Clone(prompt)
		changed[changedIndex] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		changedChain := Chain("salt", changed, blockBytes)
		// This salt has the same length and differs in one byte.
		resaltedChain := Chain("sals", prompt, blockBytes)
		for i := range chain {
			if (chain[i] == changedChain[i]) != (i < changedIndex/blockBytes) {
				t.Fatalf("byte %d changed, hash %d equal: %v", changedIndex, i, chain[i] == changedChain[i])
			}
			if chain[i] == resaltedChain[i] {
				t.Fatalf("hash %d does not depend on the salt", i)
			}
		}
	})
}

func TestBlockBytes(t *testing.T) {
	Convey("The block size is at least one byte, or 0 without cache blocks, which have no chain", t, func() {
		So(BlockBytes(2000, 3.5), ShouldEqual, 7000)
		So(BlockBytes(1, 0.2), ShouldEqual, 1)
		So(BlockBytes(0, 4), ShouldEqual, 0)
		So(Chain("s", []byte("abc"), 0), ShouldBeNil)
	})
}

func BenchmarkChain(b *testing.B) {
	const blockBytes = 8000
	prompt := bytes.Repeat([]byte("x"), 9*blockBytes)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		Chain("salt", prompt, blockBytes)
	}
}
