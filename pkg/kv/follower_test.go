package kv_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// deaf is a store whose watches are never answered.
type deaf struct {
	kv.Store
	lists atomic.Int64
}

func (d *deaf) List(context.Context, string) ([]kv.Entry, uint64, error) {
	n := uint64(d.lists.Add(1))
	return []kv.Entry{{Key: "key", Revision: n}}, n, nil
}

func (d *deaf) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (kv.Changes, error) {
	<-ctx.Done()
	return kv.Changes{}, ctx.Err()
}

func TestFollowerHurries(t *testing.T) {
	Convey("Given a follower whose watch is never answered", t, func() {
		store := &deaf{}
		updates := make(chan kv.Update, 4)
		hurry := make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		follower := kv.Follower{
			Store: store, Wait: time.Hour, Hurry: hurry,
			OnUpdate: func(u kv.Update) { updates <- u },
		}
		go func() { follower.Run(ctx); close(ended) }()
		next := func() kv.Update {
			select {
			case u := <-updates:
				return u
			case <-time.After(10 * time.Second):
				return kv.Update{}
			}
		}
		So(next().Revision, ShouldEqual, 1)
		Convey("it lists again at once when hurried, and ends with its context", func() {
			hurry <- struct{}{}
			u := next()
			So(u.Full, ShouldBeTrue)
			So(u.Revision, ShouldEqual, 2)
			cancel()
			<-ended
		})
	})
}
