package eventbus

import (
	"context"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type numbered struct {
	N int `json:"n"`
}

func TestBus(t *testing.T) {
	Convey("A blocking topic delivers every event in order", t, func() {
		const events = 500
		bus, err := New(Topic{Name: "ordered", Capacity: 4, Overflow: Block})
		So(err, ShouldBeNil)
		var got []int
		var done sync.WaitGroup
		done.Add(events)
		Handle(bus, "ordered", func(event numbered) {
			got = append(got, event.N)
			done.Done()
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = bus.Run(ctx) }()
		for i := range events {
			So(Publish(bus, "ordered", numbered{N: i}), ShouldBeNil)
		}
		done.Wait()
		for i, n := range got {
			So(n, ShouldEqual, i)
		}
	})

	Convey("A full dropping topic counts what it discards and never blocks", t, func() {
		bus, err := New(Topic{Name: "lossy", Capacity: 2, Overflow: Drop})
		So(err, ShouldBeNil)
		for i := range 5 {
			So(Publish(bus, "lossy", numbered{N: i}), ShouldBeNil)
		}
		So(bus.Dropped("lossy"), ShouldEqual, 3)
	})

	Convey("An unknown topic is an error", t, func() {
		bus, err := New()
		So(err, ShouldBeNil)
		So(Publish(bus, "none", numbered{}), ShouldNotBeNil)
	})
}
