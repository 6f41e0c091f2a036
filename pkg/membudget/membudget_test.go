package membudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	testLimit  = 1 << 20
	testBudget = 4 << 20
)

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestReadAll guards against data that is lost, or memory that isn't returned, at the
// limits of a buffer.
func TestReadAll(t *testing.T) {
	Convey("Given a budget", t, func() {
		budget := New(testBudget)
		buffer := budget.NewBuffer()
		Reset(func() {
			buffer.Release()
			buffer.Release()
			So(budget.Used(), ShouldEqual, 0)
		})
		Convey("data up to the limit is read", func() {
			for _, size := range []int{0, 1, minBufferBytes, minBufferBytes + 1, testLimit} {
				buffer.Release()
				data := bytes.Repeat([]byte("x"), size)
				So(buffer.ReadAll(bytes.NewReader(data), testLimit), ShouldBeNil)
				So(bytes.Equal(buffer.Bytes(), data), ShouldBeTrue)
			}
		})
		Convey("data over the limit fails", func() {
			So(buffer.ReadAll(io.LimitReader(zeros{}, testLimit+1), testLimit), ShouldEqual, ErrTooLarge)
		})
		Convey("the error of the reader is returned", func() {
			broken := errors.New("broken")
			So(errors.Is(buffer.ReadAll(iotest.ErrReader(broken), testLimit), broken), ShouldBeTrue)
		})
	})
	Convey("Without a budget, only the limit applies", t, func() {
		var budget *Budget
		buffer := budget.NewBuffer()
		defer buffer.Release()
		So(buffer.ReadAll(io.LimitReader(zeros{}, testLimit), testLimit), ShouldBeNil)
		So(buffer.Bytes(), ShouldHaveLength, testLimit)
	})
}

// TestSmallBufferBesideLargeOnes guards against data without end, in many buffers at
// once, that leaves no room for the data of other requests.
func TestSmallBufferBesideLargeOnes(t *testing.T) {
	Convey("Beside any number of buffers that grow as far as they can, a small one finds room", t, func() {
		const largeBuffers, smallBuffers = 20, 100
		budget := New(testBudget)
		for range largeBuffers {
			// A caller that is slow to read the response would hold the buffer.
			_ = budget.NewBuffer().ReadAll(io.LimitReader(zeros{}, testLimit), testLimit)
		}
		for range smallBuffers {
			small := budget.NewBuffer()
			So(small.ReadAll(io.LimitReader(zeros{}, minBufferBytes-1), testLimit), ShouldBeNil)
		}
		So(budget.Used(), ShouldBeLessThanOrEqualTo, testBudget)
	})
}

// TestBudgetAccounting checks that the budget is never exceeded and always equals
// the memory of the buffers, whatever the order of reads and releases.
func TestBudgetAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(testBudget)
		buffers := make([]*Buffer, 8)
		for i := range buffers {
			buffers[i] = budget.NewBuffer()
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			buffer := rapid.SampledFrom(buffers).Draw(t, "buffer")
			if rapid.Bool().Draw(t, "release") {
				buffer.Release()
				continue
			}
			size := rapid.Int64Range(0, 2*testLimit).Draw(t, "size")
			_ = buffer.ReadAll(io.LimitReader(zeros{}, size), testLimit)
			total := int64(0)
			for _, b := range buffers {
				total += int64(cap(b.data))
			}
			if budget.Used() != total || total > testBudget {
				t.Fatalf("the budget of %d bytes counts %d, the buffers occupy %d", testBudget, budget.Used(), total)
			}
		}
	})
}
