package gossip

import (
	"math"
	"time"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/gossip/gossippb"
)

func encodeRollouts(news []canary.News) []*gossippb.Rollout {
	var rollouts []*gossippb.Rollout
	for i := range news {
		n := &news[i]
		rollout := &gossippb.Rollout{
			Service: n.Order.Service, Target: n.Order.Target, Revision: n.Order.Revision,
			DurationMs: encodeMilliseconds(n.Order.Duration), AgeMs: encodeMilliseconds(n.Age),
			State: uint32(n.State), Reason: n.Reason, Drained: uint32(n.Report.Drained), HasStore: n.HasStore,
		}
		for key, c := range n.Report.Evidence {
			rollout.Evidence = append(rollout.Evidence, &gossippb.RolloutEvidence{
				Route: key.Route, NewVersion: key.New, Slice: uint32(key.Slice),
				Runs: uint64(c.Runs), Failures: uint64(c.Failures), Timed: uint64(c.Timed), Slow: uint64(c.Slow),
			})
		}
		rollouts = append(rollouts, rollout)
	}
	return rollouts
}

// encodeMilliseconds returns a time in milliseconds, or the longest that the field holds.
func encodeMilliseconds(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, d.Milliseconds())))
}

func decodeRollouts(rollouts []*gossippb.Rollout) []canary.News {
	var news []canary.News
	for _, r := range rollouts {
		n := canary.News{
			Order: canary.Order{
				Service: r.GetService(), Target: r.GetTarget(), Revision: r.GetRevision(),
				Duration: time.Duration(r.GetDurationMs()) * time.Millisecond,
			},
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, State: canary.State(r.GetState()), Reason: r.GetReason(), HasStore: r.GetHasStore(),
			Report: canary.Report{Evidence: canary.Evidence{}, Drained: int(r.GetDrained())},
		}
		for _, e := range r.GetEvidence() {
			n.Report.Evidence[canary.Key{Route: e.GetRoute(), New: e.GetNewVersion(), Slice: int(e.GetSlice())}] = canary.Counts{
				Runs: int64(e.GetRuns()), Failures: int64(e.GetFailures()), Timed: int64(e.GetTimed()), Slow: int64(e.GetSlow()),
			}
		}
		news = append(news, n)
	}
	return news
}
