package eventbus

import (
	"context"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type numberedEvent struct {
	N int `json:"n"`
}

func TestBus(t *testing.T) {
	Convey("A topic with the Block policy delivers every event in order", t, func() {
		const events = 500
		bus, err := New(Topic{Name: "ordered", Capacity: 4, Overflow: Block})
		So(err, ShouldBeNil)
		var received []int
		var done sync.WaitGroup
		done.Add(events)
		Handle(bus, "ordered", func(event numberedEvent) {
			received = append(received, event.N)
			done.Done()
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = bus.Run(ctx) }()
		for i := range events {
			So(Publish(bus, "ordered", numberedEvent{N: i}), ShouldBeNil)
		}
		done.Wait()
		for i, n := range received {
			So(n, ShouldEqual, i)
		}
	})

	Convey("A full topic with the Drop policy counts the discarded events and never blocks", t, func() {
		bus, err := New(Topic{Name: "lossy", Capacity: 2, Overflow: Drop})
		So(err, ShouldBeNil)
		for i := range 5 {
			So(Publish(bus, "lossy", numberedEvent{N: i}), ShouldBeNil)
		}
		So(bus.Dropped("lossy"), ShouldEqual, 3)
	})

	Convey("Publishing on an unknown topic returns an error", t, func() {
		bus, err := New()
		So(err, ShouldBeNil)
		So(Publish(bus, "none", numberedEvent{}), ShouldNotBeNil)
	})
}
