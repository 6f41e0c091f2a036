package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBusyCacheStore answers a cache store whose link is busy: imports wait in its
// queue for longer than the engine would need to process the tokens.
func TestBusyCacheStore(t *testing.T) {
	// send sends a request whose first byte arrives late by the given time if it
	// imports from the store.
	send := func(b *Balancer, now, late time.Duration) Choice {
		req := newRequest("hot", 5000, 1000)
		choice, refusal := b.Pick(now, req, engines(4))
		So(refusal, ShouldBeNil)
		tracked := b.Begin(now, req, &choice)
		elapsed := choice.ExpectedTTFB
		if choice.Import == ImportFromStore {
			elapsed += late
		}
		tracked.RecordFirstByte(now + elapsed)
		tracked.End(now+elapsed, Succeeded)
		return choice
	}
	storeImports := func(b *Balancer, from time.Duration, late time.Duration) int {
		imports := 0
		for i := range 20 {
			if send(b, from+time.Duration(i)*100*time.Millisecond, late).Import == ImportFromStore {
				imports++
			}
		}
		return imports
	}
	Convey("Given a store that holds a prefix", t, func() {
		b := newBalancer("dc0")
		b.ApplyStoreChanges(store, []StoreChange{{Salt: "v1", ID: "hot", Stored: true}})
		Convey("it is imported while its imports are quick", func() {
			So(storeImports(b, time.Second, 5*time.Millisecond), ShouldEqual, 20)
		})
		Convey("it is seldom imported while they take longer than processing it, and again afterwards", func() {
			So(storeImports(b, time.Second, time.Second), ShouldBeLessThan, 8)
			choice := send(b, 3*time.Second, time.Second)
			So(choice.Import, ShouldNotEqual, ImportFromStore)
			So(choice.SaveToStore, ShouldBeFalse)
			So(storeImports(b, 20*time.Second, 0), ShouldEqual, 20)
		})
	})
	Convey("Delays that all requests have are not attributed to the store", t, func() {
		var d importDelays
		d.byStore = map[string]*movingDelay{}
		for range 50 {
			d.record(time.Second, "", 300*time.Millisecond)
			d.record(time.Second, store, 320*time.Millisecond)
		}
		So(d.of(time.Second, store), ShouldBeLessThan, 30*time.Millisecond)
	})
}
