package agent

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// maxUndeliveredFrames limits how many frames a producer may append ahead of the
// reader before it blocks.
const maxUndeliveredFrames = 256

// answerLog stores the numbered frames of one answer, so that a reader can
// continue on a new connection after its old one breaks.
type answerLog struct {
	requestID string
	attempt   uint32

	mu        sync.Mutex
	frames    []*peerpb.Frame
	delivered uint64
	ended     bool
	readerID  uint64
	attached  bool
	// abandoned is set once the router has cancelled the answer.
	abandoned bool
	// detachedAt is the time at which the last reader detached. lastProgressAt is
	// the time at which a reader last attached or read a new frame.
	detachedAt     time.Time
	lastProgressAt time.Time
	changed        chan struct{}
}

func newAnswerLog(requestID string, attempt uint32, now time.Time) *answerLog {
	return &answerLog{
		requestID:      requestID,
		attempt:        attempt,
		detachedAt:     now,
		lastProgressAt: now,
		changed:        make(chan struct{}),
	}
}

// append numbers a frame and adds it to the log. It blocks while
// maxUndeliveredFrames frames are undelivered.
func (l *answerLog) append(ctx context.Context, frame *peerpb.Frame) error {
	for {
		l.mu.Lock()
		if l.hasCapacityLocked() {
			l.appendLocked(frame)
			l.mu.Unlock()
			return nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// end adds the last frame and closes the log. It does not block on a full log.
func (l *answerLog) end(frame *peerpb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.appendLocked(frame)
	l.ended = true
}

func (l *answerLog) hasCapacityLocked() bool {
	return uint64(len(l.frames))-l.delivered < maxUndeliveredFrames
}

func (l *answerLog) appendLocked(frame *peerpb.Frame) {
	if l.ended {
		return
	}
	frame.RequestId = l.requestID
	frame.Attempt = l.attempt
	frame.Seq = uint64(len(l.frames)) + 1
	l.frames = append(l.frames, frame)
	l.notifyLocked()
}

func (l *answerLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// attach makes the caller the only reader of the log and returns its reader ID.
// The next read by an earlier reader returns a finished result.
func (l *answerLog) attach(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readerID++
	l.attached = true
	l.lastProgressAt = now
	l.notifyLocked()
	return l.readerID
}

func (l *answerLog) detach(readerID uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readerID == readerID {
		l.attached = false
		l.detachedAt = now
	}
}

// readResult is the result of reading one frame number.
type readResult struct {
	frame *peerpb.Frame
	// finished is set if no frame will ever have this number, or if another
	// reader has replaced this one.
	finished bool
	// changed is closed at the next change of the log. It is set if the frame has
	// not been appended yet.
	changed <-chan struct{}
}

// read returns the frame with number seq, or a channel on which to wait for it.
func (l *answerLog) read(readerID, seq uint64, now time.Time) readResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readerID != readerID {
		return readResult{finished: true}
	}
	if seq <= uint64(len(l.frames)) {
		if seq > l.delivered {
			l.delivered = seq
			l.lastProgressAt = now
			l.notifyLocked()
		}
		return readResult{frame: l.frames[seq-1]}
	}
	return readResult{finished: l.ended, changed: l.changed}
}

// orphanedFor returns the time since the last reader detached, or since the log
// was created. It returns 0 if the log has a reader or has ended.
func (l *answerLog) orphanedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attached || l.ended {
		return 0
	}
	return now.Sub(l.detachedAt)
}

// stalledFor returns the time for which the attached reader of a full log has
// read nothing, for example because its connection was lost without a reset. It
// returns 0 if the log has ended, has no reader or is not full.
func (l *answerLog) stalledFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || !l.attached || l.hasCapacityLocked() {
		return 0
	}
	return now.Sub(l.lastProgressAt)
}

// abandon records that the router has cancelled the answer, so that Drain does not
// wait for another reader.
func (l *answerLog) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
}

// awaitsDelivery reports whether the log has a reader, or has undelivered frames
// that a router may still fetch by resuming within orphanTimeout.
func (l *answerLog) awaitsDelivery(now time.Time, orphanTimeout time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.abandoned {
		return false
	}
	unread := l.delivered < uint64(len(l.frames))
	return l.attached || (unread && now.Sub(l.detachedAt) < orphanTimeout)
}
