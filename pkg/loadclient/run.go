package loadclient

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Run sends requests at their times of arrival, whether or not earlier ones
// have ended, each to the next client in turn. It returns the results in the
// order of the requests, with times counted from the scheduled arrival.
func Run(ctx context.Context, clients []*Client, requests []workload.Request) []Result {
	results := make([]Result, len(requests))
	started := time.Now()
	var group sync.WaitGroup
	for i, request := range requests {
		if !clock.Sleep(ctx, time.Until(started.Add(request.ArrivalTime))) {
			results = results[:i]
			break
		}
		group.Go(func() {
			late := time.Since(started.Add(request.ArrivalTime))
			result := clients[i%len(clients)].Complete(ctx, request)
			if result.FirstToken > 0 {
				result.FirstToken += late
			}
			result.Total += late
			results[i] = result
		})
	}
	group.Wait()
	return results
}
