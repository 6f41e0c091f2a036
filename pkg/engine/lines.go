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

// Initial and maximum size of a stream's line buffer.
const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 4 << 20
)

// lineReader reads a stream of JSON values, one per line. It closes the connection
// when no line arrives within the idle timeout.
type lineReader struct {
	body        io.ReadCloser
	scanner     *bufio.Scanner
	idleTimeout time.Duration
	idleTimer   *time.Timer
	cancel      context.CancelFunc
	client      *HTTP
}

// openStream sends a request whose response is a stream. The idle timeout also
// limits the wait for the response header.
func (h *HTTP) openStream(ctx context.Context, method, path string, query url.Values, body []byte) (*lineReader, error) {
	ctx, cancel := context.WithCancel(ctx)
	idleTimer := time.AfterFunc(h.timeouts.Idle, cancel)
	resp, err := h.send(ctx, method, path, query, body) //nolint:bodyclose // close closes it
	idleTimer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &lineReader{
		body:        resp.Body,
		scanner:     scanner,
		idleTimeout: h.timeouts.Idle,
		idleTimer:   idleTimer,
		cancel:      cancel,
		client:      h,
	}, nil
}

// read decodes the next line into value. The idle timer runs only during read, so
// that a slow consumer does not cause a timeout.
func (r *lineReader) read(value any) error {
	r.idleTimer.Reset(r.idleTimeout)
	ok := r.scanner.Scan()
	r.idleTimer.Stop()
	if !ok {
		err := r.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return r.closeWithError(err)
	}
	if err := json.Unmarshal(r.scanner.Bytes(), value); err != nil {
		return r.closeWithError(err)
	}
	return nil
}

// closeWithError closes the connection and returns err as ErrConnectionLost.
func (r *lineReader) closeWithError(err error) error {
	_ = r.close()
	return r.client.connectionLost(err)
}

// close cancels the request and closes the response body.
func (r *lineReader) close() error {
	r.idleTimer.Stop()
	r.cancel()
	return r.body.Close()
}

// chunkStream implements Stream for HTTP.
type chunkStream struct {
	lines *lineReader
	// nextSeq is the expected Seq of the next chunk.
	nextSeq uint64
	done    bool
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
	if chunk.Seq != s.nextSeq {
		err := errors.Errorf("got chunk %d, want %d", chunk.Seq, s.nextSeq)
		return Chunk{}, s.lines.closeWithError(err)
	}
	s.nextSeq++
	s.done = chunk.FinishReason != ""
	return chunk, nil
}

// Close implements Stream.
func (s *chunkStream) Close() error {
	return s.lines.close()
}

// eventStream implements EventStream for HTTP.
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
