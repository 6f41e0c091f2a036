package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Bounds of a AsyncWriter.
const (
	ringLines = 2048
	// ringBatchBytes is the most that one write of the output holds.
	ringBatchBytes = 32 << 10
)

// AsyncWriter writes lines to an output from a goroutine of its own, so that
// writing a line never blocks. Lines that find the ring full are dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a AsyncWriter; Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, ringLines)}
	w.done.Go(w.run)
	return w
}

// Write queues one line. It always succeeds.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns and resets the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 {
	return w.dropped.Swap(0)
}

// Close writes what is queued and ends the goroutine. No Write may follow.
func (w *AsyncWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	batch := make([]byte, 0, ringBatchBytes)
	for line := range w.lines {
		batch = append(batch[:0], line...)
		batch = w.fill(batch)
		// There is nowhere to report a failed write of the log itself.
		_, _ = w.out.Write(batch)
	}
}

// fill appends lines that are queued already.
func (w *AsyncWriter) fill(batch []byte) []byte {
	for len(batch) < ringBatchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
