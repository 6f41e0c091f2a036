// Package membudget bounds the memory of the data that a process buffers for all
// its requests together.
//
// Large buffers together may use only a part of the budget, so that data without end
// leaves room for the small buffers of other requests.
package membudget

import (
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// minBufferBytes is the initial size of a buffer.
	minBufferBytes = 4 << 10
	// smallBufferBytes is the size up to which a buffer may use the whole budget. A
	// larger one leaves smallBufferFraction of the budget free.
	smallBufferBytes    = 64 << 10
	smallBufferFraction = 0.5
)

// Errors of Buffer.ReadAll. Compare with errors.Is.
const (
	// ErrTooLarge means that the data exceeds the limit of a single buffer.
	ErrTooLarge = errors.ConstError("data exceeds the size limit")
	// ErrBudgetExceeded means that the buffers of all requests together leave no
	// room for the data.
	ErrBudgetExceeded = errors.ConstError("memory budget for buffered data exceeded")
)

// Budget is the memory of all buffers and claims together. It is safe for concurrent use.
// A nil Budget is unlimited.
type Budget struct {
	limit int64
	// largeLimit is the part of limit that large buffers and claims may use.
	largeLimit int64
	// whole is the budget of which this one is a part; nil if it is none.
	whole *Budget
	// onRefused is called when the budget refuses memory; it may be nil.
	onRefused func()

	mu   sync.Mutex
	used int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, largeLimit: limit - int64(smallBufferFraction*float64(limit))}
}

// Part returns a budget for a part of the data, of limit bytes, of which large buffers and
// claims may use largeLimit. What it reserves counts against b too. The limits of all
// parts together may exceed that of b.
func (b *Budget) Part(limit, largeLimit int64) *Budget {
	if b == nil {
		return nil
	}
	return &Budget{limit: limit, largeLimit: largeLimit, whole: b}
}

// OnRefused sets a function that is called whenever the budget refuses memory. It must be
// set before the budget is used, and must not block.
func (b *Budget) OnRefused(f func()) {
	if b != nil {
		b.onRefused = f
	}
}

// Limit returns the budget in bytes; 0 for an unlimited one.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the number of bytes that all buffers and claims occupy.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewBuffer returns an empty buffer. The caller must release it.
func (b *Budget) NewBuffer() *Buffer {
	return &Buffer{budget: b}
}

// reserve adds size bytes to a buffer or a claim that keeps held bytes in addition, and
// reports whether the budget allows it.
func (b *Budget) reserve(size, held int64) bool {
	if b == nil || b.tryReserve(size, held) {
		return true
	}
	if b.onRefused != nil {
		b.onRefused()
	}
	return false
}

// tryReserve is reserve without a report of a refusal.
func (b *Budget) tryReserve(size, held int64) bool {
	limit := b.limit
	if size+held > smallBufferBytes {
		limit = b.largeLimit
	}
	if !b.add(size, limit) {
		return false
	}
	// The whole budget only bounds the sum of its parts, each of which leaves room for
	// small buffers.
	if b.whole != nil && !b.whole.add(size, b.whole.limit) {
		b.subtract(size)
		return false
	}
	return true
}

// add adds size bytes, and reports whether that is within limit.
func (b *Budget) add(size, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+size > limit {
		return false
	}
	b.used += size
	return true
}

func (b *Budget) subtract(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= size
}

func (b *Budget) release(size int64) {
	if b == nil {
		return
	}
	b.subtract(size)
	if b.whole != nil {
		b.whole.subtract(size)
	}
}

// Buffer holds data that counts against a Budget. It is not safe for concurrent use.
type Buffer struct {
	budget *Budget
	data   []byte
}

// Reserve makes room for size bytes in an empty buffer, and reports whether the budget allows it.
func (b *Buffer) Reserve(size int64) bool {
	// Reading the end of the data needs room for one more byte.
	size++
	if !b.budget.reserve(size, 0) {
		return false
	}
	b.budget.release(int64(cap(b.data)))
	b.data = make([]byte, 0, size)
	return true
}

// ReadAll reads r to its end and appends the data to the buffer. It returns
// ErrTooLarge if the buffer would hold more than limit bytes, and ErrBudgetExceeded
// if the budget leaves no room. The buffer then holds a part of the data.
func (b *Buffer) ReadAll(r io.Reader, limit int64) error {
	for {
		err := b.ReadOnce(r, limit)
		if int64(len(b.data)) > limit {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// ReadOnce reads once from r and appends the data to the buffer. It returns the error
// of r, ErrTooLarge if the buffer holds more than limit bytes already, or
// ErrBudgetExceeded if the budget leaves no room.
func (b *Buffer) ReadOnce(r io.Reader, limit int64) error {
	if int64(len(b.data)) > limit {
		return ErrTooLarge
	}
	if len(b.data) == cap(b.data) && !b.grow(limit) {
		return ErrBudgetExceeded
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err
}

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
}

// grow doubles the capacity, up to one byte more than limit, and reports whether the
// budget allows it. While the data is copied, both the old and the new memory count.
func (b *Buffer) grow(limit int64) bool {
	oldBytes := int64(cap(b.data))
	newBytes := max(minBufferBytes, 2*oldBytes)
	if newBytes >= limit {
		newBytes = max(limit, oldBytes) + 1
	}
	if !b.budget.reserve(newBytes, 0) {
		return false
	}
	data := make([]byte, len(b.data), newBytes)
	copy(data, b.data)
	b.data = data
	b.budget.release(oldBytes)
	return true
}

// Bytes returns the data. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte {
	return b.data
}

// Release discards the data and returns its memory to the budget. Further calls have
// no effect.
func (b *Buffer) Release() {
	b.budget.release(int64(cap(b.data)))
	b.data = nil
}
