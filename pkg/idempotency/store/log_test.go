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

// always holds every slot under one epoch.
type always uint64

func (a always) Holds(uint32, time.Time) (uint64, bool) { return uint64(a), true }

func options(epoch uint64) Options {
	return Options{Slot: 3, Epoch: epoch, OwnerID: epoch, Random: rand.New(rand.NewPCG(1, epoch)),
		Now: time.Now, Events: eventlog.Discard()}
}

// openSlot opens a slot whose log runs until the returned function.
func openSlot(service *memKV, epoch uint64) (*Slot, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	slot, log, err := OpenSlot(ctx, service, always(epoch), idempotency.DefaultLimits(), options(epoch))
	So(err, ShouldBeNil)
	ended := make(chan struct{})
	go func() {
		_ = log.Run(ctx)
		close(ended)
	}()
	return slot, func() {
		cancel()
		<-ended
	}
}

func callOf(i int, window time.Duration) Call {
	return Call{Account: "a", Route: "r", IdempotencyKey: fmt.Sprint(i), Window: window, Timeout: time.Minute}
}

func answering(size int) Send {
	return func(context.Context) (idempotency.Answer, outcome.Ran, error) {
		return idempotency.Answer{Status: 200, Body: make([]byte, size)}, outcome.RanYes, nil
	}
}

// never fails the test when a call is sent.
func never(context.Context) (idempotency.Answer, outcome.Ran, error) {
	panic("sent again")
}

// inBubble runs a Convey body under a fake clock.
func inBubble(t *testing.T, name string, body func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, body) })
}

func TestIntentSupersedesOlderRecord(t *testing.T) {
	inBubble(t, "A not-run record that waits does not hide a newer intent of its key", func() {
		service := newMemKV()
		ctx, cancel := context.WithCancel(context.Background())
		log, _, err := Open(ctx, service, options(1))
		So(err, ShouldBeNil)
		record := idempotency.Record{Key: idempotency.Hash{1}, State: idempotency.StateNotRun,
			Attempt: 1, Expires: time.Now().Add(time.Hour)}
		log.Put(record)
		record.State, record.Attempt = idempotency.StateIntent, 2
		written := make(chan error, 1)
		go func() { written <- log.Append(ctx, record) }()
		synctest.Wait()
		go func() { _ = log.Run(ctx) }()
		So(<-written, ShouldBeNil)
		cancel()
		_, records, err := Open(context.Background(), service, options(2))
		So(err, ShouldBeNil)
		So(records, ShouldHaveLength, 1)
		So(records[0].State, ShouldEqual, idempotency.StateIntent)
		So(records[0].Attempt, ShouldEqual, uint64(2))
	})
}

func TestSegments(t *testing.T) {
	inBubble(t, "Records outlive sealing, merging and takeover, and go when their windows end", func() {
		const calls = 3000
		service := newMemKV()
		slot, stop := openSlot(service, 1)
		for i := range calls {
			So(slot.Execute(context.Background(), callOf(i, time.Hour), answering(1000)).Refusal, ShouldBeNil)
		}
		time.Sleep(time.Second)
		stop()
		keys, valueBytes := service.size()
		So(valueBytes, ShouldBeGreaterThan, calls*1000)
		So(keys, ShouldBeLessThan, 24)

		slot, stop = openSlot(service, 2)
		for i := range calls {
			reply := slot.Execute(context.Background(), callOf(i, time.Hour), never)
			if !reply.Replayed || len(reply.Answer.Body) != 1000 {
				So(i, ShouldEqual, -1)
			}
		}
		time.Sleep(2 * time.Hour)
		for i := range 200 {
			So(slot.Execute(context.Background(), callOf(i, time.Hour), answering(1000)).Replayed, ShouldBeFalse)
		}
		time.Sleep(time.Second)
		stop()
		_, valueBytes = service.size()
		So(valueBytes, ShouldBeLessThan, 300*1100)
	})
}

func TestLargeAnswer(t *testing.T) {
	inBubble(t, "A large answer is replayed by its owner, and known to have run after a takeover", func() {
		service := newMemKV()
		slot, stop := openSlot(service, 1)
		So(slot.Execute(context.Background(), callOf(1, time.Hour), answering(10_000)).Refusal, ShouldBeNil)
		So(slot.Execute(context.Background(), callOf(1, time.Hour), never).Answer.Body, ShouldHaveLength, 10_000)
		time.Sleep(time.Second)
		stop()
		slot, stop = openSlot(service, 2)
		refusal := slot.Execute(context.Background(), callOf(1, time.Hour), never).Refusal
		So(refusal.Code, ShouldEqual, outcome.CodeOutcomeUnknown)
		So(refusal.Ran, ShouldEqual, outcome.RanYes)
		stop()
	})
}

func TestOutage(t *testing.T) {
	inBubble(t, "In an outage calls are refused as not run, and an outcome waits for the service", func() {
		service := newMemKV()
		slot, stop := openSlot(service, 1)
		var down atomic.Bool
		service.fault = func(bool) kvFault {
			if down.Load() {
				return kvLostBefore
			}
			return kvOK
		}
		reply := slot.Execute(context.Background(), callOf(1, time.Hour),
			func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
				down.Store(true)
				return answering(10)(ctx)
			})
		So(reply.Refusal, ShouldBeNil)
		refusal := slot.Execute(context.Background(), callOf(2, time.Hour), never).Refusal
		So(refusal.Code, ShouldEqual, outcome.CodeRecordUnavailable)
		So(refusal.Ran, ShouldEqual, outcome.RanNo)
		So(refusal.RetryAfter, ShouldBeGreaterThan, time.Duration(0))
		down.Store(false)
		time.Sleep(time.Second)
		So(slot.Execute(context.Background(), callOf(2, time.Hour), answering(10)).Refusal, ShouldBeNil)
		stop()
		slot, stop = openSlot(service, 2)
		So(slot.Execute(context.Background(), callOf(1, time.Hour), never).Replayed, ShouldBeTrue)
		stop()
	})
}

func TestSpentBudget(t *testing.T) {
	inBubble(t, "An outcome that met a spent call budget is written later", func() {
		service := newMemKV()
		slot, stop := openSlot(service, 1)
		var spent atomic.Bool
		service.fault = func(bool) kvFault {
			if spent.Load() {
				return kvBudget
			}
			return kvOK
		}
		send := func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
			spent.Store(true)
			return answering(10)(ctx)
		}
		So(slot.Execute(context.Background(), callOf(1, time.Hour), send).Refusal, ShouldBeNil)
		time.Sleep(time.Second)
		spent.Store(false)
		time.Sleep(time.Second)
		stop()
		slot, stop = openSlot(service, 2)
		So(slot.Execute(context.Background(), callOf(1, time.Hour), never).Replayed, ShouldBeTrue)
		stop()
	})
}

func TestDrain(t *testing.T) {
	inBubble(t, "A drained slot leaves no running attempt and no outcome unknown", func() {
		service := newMemKV()
		service.answerTime = 100 * time.Millisecond
		slot, stop := openSlot(service, 1)
		for i := range 20 {
			go slot.Execute(context.Background(), callOf(i, time.Hour),
				func(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
					time.Sleep(3 * time.Second)
					return answering(10)(ctx)
				})
		}
		synctest.Wait()
		So(slot.Drain(context.Background()), ShouldBeNil)
		stop()
		slot, stop = openSlot(service, 2)
		for i := range 20 {
			So(slot.Execute(context.Background(), callOf(i, time.Hour), never).Replayed, ShouldBeTrue)
		}
		stop()
	})
}
