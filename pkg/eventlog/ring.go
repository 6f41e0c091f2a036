package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Limits of AsyncWriter.
const (
	// queueCapacity is the number of lines in the queue.
	queueCapacity = 2048
	// maxQueuedBytes bounds the memory of the lines in the queue.
	maxQueuedBytes = 4 << 20
	// maxBatchBytes is the batch size from which no further lines are added.
	maxBatchBytes = 32 << 10
	// writeRetryDelay is the delay before the rest of a batch is written again, and
	// maxWriteAttempts the largest number of writes for a batch: one second in all.
	writeRetryDelay  = 5 * time.Millisecond
	maxWriteAttempts = 200
)

// AsyncWriter is an io.Writer that passes lines to its output from a separate
// goroutine, so that Write never blocks. If the queue is full, new lines are dropped
// and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// queuedBytes is the size of the lines in the queue.
	queuedBytes atomic.Int64
	done        sync.WaitGroup

	mu sync.RWMutex
	// closed is set when the queue is closed. It must not change during a Write.
	closed bool
}

// NewAsyncWriter returns a new AsyncWriter and starts its goroutine, which runs until
// Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity)}
	w.done.Go(w.run)
	return w
}

// Write queues one line. It always succeeds. After Close the line is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue adds a copy of a line to the queue and reports false if the queue is full.
func (w *AsyncWriter) enqueue(line []byte) bool {
	size := int64(len(line))
	if w.queuedBytes.Add(size) > maxQueuedBytes {
		w.queuedBytes.Add(-size)
		return false
	}
	select {
	case w.lines <- bytes.Clone(line):
		return true
	default:
		w.queuedBytes.Add(-size)
		return false
	}
}

// Dropped returns the number of lines dropped since the last call.
func (w *AsyncWriter) Dropped() uint64 {
	return w.dropped.Swap(0)
}

// Close writes the queued lines and stops the goroutine. It must be called once.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	w.done.Wait()
}

// run writes queued lines in batches until the queue is closed and empty.
func (w *AsyncWriter) run() {
	batch := make([]byte, 0, maxBatchBytes)
	for line := range w.lines {
		w.queuedBytes.Add(-int64(len(line)))
		batch = append(batch[:0], line...)
		batch = w.appendQueued(batch)
		w.writeOut(batch)
	}
}

// writeOut writes a batch. An output that can't take all of it for the moment gets
// the rest later. The lines that it doesn't take in time are counted as dropped.
func (w *AsyncWriter) writeOut(batch []byte) {
	for range maxWriteAttempts {
		n, err := w.out.Write(batch)
		batch = batch[n:]
		if len(batch) == 0 {
			return
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			break
		}
		time.Sleep(writeRetryDelay)
	}
	w.dropped.Add(uint64(bytes.Count(batch, []byte("\n"))))
}

// appendQueued appends lines from the queue to batch, without waiting for new ones.
func (w *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			w.queuedBytes.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
