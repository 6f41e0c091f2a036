package kv_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// hangingWatchStore is a store that never responds to a watch.
type hangingWatchStore struct {
	kv.Store
	lists atomic.Int64
}

func (s *hangingWatchStore) List(context.Context, string) ([]kv.Entry, uint64, error) {
	n := uint64(s.lists.Add(1))
	return []kv.Entry{{Key: "key", Revision: n}}, n, nil
}

func (s *hangingWatchStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (kv.Changes, error) {
	<-ctx.Done()
	return kv.Changes{}, ctx.Err()
}

func TestFollowerRelistsOnRequest(t *testing.T) {
	Convey("Given a follower whose watch gets no response", t, func() {
		store := &hangingWatchStore{}
		updates := make(chan kv.Update, 4)
		relist := make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		follower := kv.Follower{
			Store: store, WatchTimeout: func() time.Duration { return time.Hour }, Relist: relist,
			OnUpdate: func(u kv.Update) { updates <- u },
		}
		go func() { follower.Run(ctx); close(ended) }()
		nextUpdate := func() kv.Update {
			select {
			case u := <-updates:
				return u
			case <-time.After(10 * time.Second):
				return kv.Update{}
			}
		}
		So(nextUpdate().Revision, ShouldEqual, 1)
		Convey("it lists again immediately on request, and returns when its context is cancelled", func() {
			relist <- struct{}{}
			u := nextUpdate()
			So(u.Full, ShouldBeTrue)
			So(u.Revision, ShouldEqual, 2)
			cancel()
			<-ended
		})
	})
}
