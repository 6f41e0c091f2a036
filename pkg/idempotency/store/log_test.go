package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	. "github.com/smartystreets/goconvey/convey"
)

// fixedEpoch is an OwnershipChecker that holds all slots under one epoch.
type fixedEpoch uint64

func (f fixedEpoch) Holds(uint32, time.Time) (uint64, bool) { return uint64(f), true }

func testOptions(epoch uint64) Options {
	return Options{Slot: 3, Epoch: epoch, OwnerID: epoch, Random: rand.New(rand.NewPCG(1, epoch)),
		Now: time.Now, Events: eventlog.Discard()}
}

// openRunningSlot opens a slot and runs its log until the returned function is
// called.
func openRunningSlot(kvStore *memKV, epoch uint64) (*Slot, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	slot, log, err := OpenSlot(ctx, kvStore, fixedEpoch(epoch), idempotency.DefaultLimits(), testOptions(epoch))
	So(err, ShouldBeNil)
	done := make(chan struct{})
	go func() {
		_ = log.Run(ctx)
		close(done)
	}()
	return slot, func() {
		cancel()
		<-done
	}
}

// testCall returns a call whose idempotency key is i.
func testCall(i int, window time.Duration) Call {
	return Call{Account: "a", Route: "r", IdempotencyKey: fmt.Sprint(i), Window: window, Timeout: time.Minute}
}

// answerWith returns a Send that answers with a body of the given size.
func answerWith(size int) Send {
	return func(context.Context) (idempotency.Answer, outcome.Ran, error) {
		return idempotency.Answer{Status: 200, Body: make([]byte, size)}, outcome.RanYes, nil
	}
}

// failIfSent is a Send that fails the test.
func failIfSent(context.Context) (idempotency.Answer, outcome.Ran, error) {
	panic("call was sent unexpectedly")
}

// conveyWithFakeClock runs a Convey body in a synctest bubble.
func conveyWithFakeClock(t *testing.T, name string, body func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, body) })
}

func TestIntentSupersedesQueuedOutcome(t *testing.T) {
	conveyWithFakeClock(t, "A queued not-run record does not overwrite a newer intent of its key", func() {
		kvStore := newMemKV()
		ctx, cancel := context.WithCancel(context.Background())
		log, _, err := Open(ctx, kvStore, testOptions(1))
		So(err, ShouldBeNil)
		record := idempotency.Record{KeyHash: idempotency.Hash{1}, State: idempotency.StateNotRun,
			Attempt: 1, Expires: time.Now().Add(time.Hour)}
		log.Enqueue(record)
		record.State, record.Attempt = idempotency.StateIntent, 2
		written := make(chan error, 1)
		go func() { written <- log.Append(ctx, record) }()
		synctest.Wait()
		go func() { _ = log.Run(ctx) }()
		So(<-written, ShouldBeNil)
		cancel()
		_, records, err := Open(context.Background(), kvStore, testOptions(2))
		So(err, ShouldBeNil)
		So(records, ShouldHaveLength, 1)
		So(records[0].State, ShouldEqual, idempotency.StateIntent)
		So(records[0].Attempt, ShouldEqual, uint64(2))
	})
}

func TestSegments(t *testing.T) {
	conveyWithFakeClock(t, "Records survive sealing, merging and takeover, and are deleted after their windows have ended", func() {
		const calls = 3000
		kvStore := newMemKV()
		slot, stop := openRunningSlot(kvStore, 1)
		for i := range calls {
			So(slot.Execute(context.Background(), testCall(i, time.Hour), answerWith(1000)).Refusal, ShouldBeNil)
		}
		time.Sleep(time.Second)
		stop()
		keys, valueBytes := kvStore.usage()
		So(valueBytes, ShouldBeGreaterThan, calls*1000)
		So(keys, ShouldBeLessThan, 24)

		slot, stop = openRunningSlot(kvStore, 2)
		for i := range calls {
			reply := slot.Execute(context.Background(), testCall(i, time.Hour), failIfSent)
			if !reply.Replayed || len(reply.Answer.Body) != 1000 {
				So(i, ShouldEqual, -1)
			}
		}
		time.Sleep(2 * time.Hour)
		for i := range 200 {
			So(slot.Execute(context.Background(), testCall(i, time.Hour), answerWith(1000)).Replayed, ShouldBeFalse)
		}
		time.Sleep(time.Second)
		stop()
		_, valueBytes = kvStore.usage()
		So(valueBytes, ShouldBeLessThan, 300*1100)
	})
}

func TestLargeAnswer(t *testing.T) {
	conveyWithFakeClock(t, "A large answer is replayed by its owner and reported as run after a takeover", func() {
		kvStore := newMemKV()
		slot, stop := openRunningSlot(kvStore, 1)
		So(slot.Execute(context.Background(), testCall(1, time.Hour), answerWith(10_000)).Refusal, ShouldBeNil)
		So(slot.Execute(context.Background(), testCall(1, time.Hour), failIfSent).Answer.Body, ShouldHaveLength, 10_000)
		time.Sleep(time.Second)
		stop()
		slot, stop = openRunningSlot(kvStore, 2)
		refusal := slot.Execute(context.Background(), testCall(1, time.Hour), failIfSent).Refusal
		So(refusal.Code, ShouldEqual, outcome.CodeOutcomeUnknown)
		So(refusal.Ran, ShouldEqual, outcome.RanYes)
		stop()
	})
}

func TestStoreOutage(t *testing.T) {
	conveyWithFakeClock(t, "Calls during an outage are refused with RanNo, and an outcome is written afterwards", func() {
		kvStore := newMemKV()
		slot, stop := openRunningSlot(kvStore, 1)
		var down atomic.Bool
		kvStore.nextFault = func(bool) kvFault {
			if down.Load() {
				return kvRequestLost
			}
			return kvOK
		}
		reply := slot.Execute(context.Background(), testCall(1, time.Hour),
			func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
				down.Store(true)
				return answerWith(10)(ctx)
			})
		So(reply.Refusal, ShouldBeNil)
		refusal := slot.Execute(context.Background(), testCall(2, time.Hour), failIfSent).Refusal
		So(refusal.Code, ShouldEqual, outcome.CodeRecordUnavailable)
		So(refusal.Ran, ShouldEqual, outcome.RanNo)
		So(refusal.RetryAfter, ShouldBeGreaterThan, time.Duration(0))
		down.Store(false)
		time.Sleep(time.Second)
		So(slot.Execute(context.Background(), testCall(2, time.Hour), answerWith(10)).Refusal, ShouldBeNil)
		stop()
		slot, stop = openRunningSlot(kvStore, 2)
		So(slot.Execute(context.Background(), testCall(1, time.Hour), failIfSent).Replayed, ShouldBeTrue)
		stop()
	})
}

func TestExhaustedBudget(t *testing.T) {
	conveyWithFakeClock(t, "An outcome is written after an exhausted call budget recovers", func() {
		kvStore := newMemKV()
		slot, stop := openRunningSlot(kvStore, 1)
		var exhausted atomic.Bool
		kvStore.nextFault = func(bool) kvFault {
			if exhausted.Load() {
				return kvBudgetExhausted
			}
			return kvOK
		}
		send := func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
			exhausted.Store(true)
			return answerWith(10)(ctx)
		}
		So(slot.Execute(context.Background(), testCall(1, time.Hour), send).Refusal, ShouldBeNil)
		time.Sleep(time.Second)
		exhausted.Store(false)
		time.Sleep(time.Second)
		stop()
		slot, stop = openRunningSlot(kvStore, 2)
		So(slot.Execute(context.Background(), testCall(1, time.Hour), failIfSent).Replayed, ShouldBeTrue)
		stop()
	})
}

func TestDrain(t *testing.T) {
	conveyWithFakeClock(t, "Draining a slot completes all attempts and writes all outcomes", func() {
		kvStore := newMemKV()
		kvStore.latency = 100 * time.Millisecond
		slot, stop := openRunningSlot(kvStore, 1)
		for i := range 20 {
			go slot.Execute(context.Background(), testCall(i, time.Hour),
				func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
					time.Sleep(3 * time.Second)
					return answerWith(10)(ctx)
				})
		}
		synctest.Wait()
		So(slot.Drain(context.Background()), ShouldBeNil)
		stop()
		slot, stop = openRunningSlot(kvStore, 2)
		for i := range 20 {
			So(slot.Execute(context.Background(), testCall(i, time.Hour), failIfSent).Replayed, ShouldBeTrue)
		}
		stop()
	})
}
