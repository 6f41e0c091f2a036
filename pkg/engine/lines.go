package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// Sizes of a stream's line buffer.
const (
	firstLineBytes = 4 << 10
	maxLineBytes   = 4 << 20
)

// lineReader reads one JSON value a line and ends the connection when none
// arrives for the silence timeout.
type lineReader struct {
	body     io.ReadCloser
	scanner  *bufio.Scanner
	silence  time.Duration
	watchdog *time.Timer
	cancel   context.CancelFunc
	engine   *HTTP
}

// follow opens a stream. The wait for the answer's header counts as silence.
func (h *HTTP) follow(ctx context.Context, method, path string, query url.Values, body []byte) (*lineReader, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(h.timeouts.Idle, cancel)
	answer, err := h.send(ctx, method, path, query, body)
	watchdog.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	scanner := bufio.NewScanner(answer)
	scanner.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	return &lineReader{
		body:     answer,
		scanner:  scanner,
		silence:  h.timeouts.Idle,
		watchdog: watchdog,
		cancel:   cancel,
		engine:   h,
	}, nil
}

// read decodes the next line into value. The watchdog runs only inside read,
// so that a slow reader isn't taken for a silent engine.
func (r *lineReader) read(value any) error {
	r.watchdog.Reset(r.silence)
	ok := r.scanner.Scan()
	r.watchdog.Stop()
	if !ok {
		err := r.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.fail(err)
	}
	if err := json.Unmarshal(r.scanner.Bytes(), value); err != nil {
		return r.fail(err)
	}
	return nil
}

// fail ends the connection and types the error as ErrConnectionLost.
func (r *lineReader) fail(err error) error {
	_ = r.close()
	return r.engine.broken(err)
}

// close ends the connection.
func (r *lineReader) close() error {
	r.watchdog.Stop()
	r.cancel()
	return r.body.Close()
}

// chunkStream is the Stream of the HTTP adapter.
type chunkStream struct {
	lines *lineReader
	// next is the number that the next chunk must have.
	next uint64
	done bool
}

// Recv implements Stream.
func (s *chunkStream) Recv() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	var chunk Chunk
	if err := s.lines.read(&chunk); err != nil {
		return Chunk{}, err
	}
	if chunk.Seq == 0 {
		return chunk, nil
	}
	if chunk.Seq != s.next {
		err := errors.Errorf("chunk %d in place of %d", chunk.Seq, s.next)
		return Chunk{}, s.lines.fail(err)
	}
	s.next++
	s.done = chunk.FinishReason != ""
	return chunk, nil
}

// Close implements Stream.
func (s *chunkStream) Close() error {
	return s.lines.close()
}

// eventStream is the EventStream of the HTTP adapter.
type eventStream struct {
	lines *lineReader
}

// Recv implements EventStream.
func (s *eventStream) Recv() (CacheEvent, error) {
	var event CacheEvent
	if err := s.lines.read(&event); err != nil {
		return CacheEvent{}, err
	}
	return event, nil
}

// Close implements EventStream.
func (s *eventStream) Close() error {
	return s.lines.close()
}
