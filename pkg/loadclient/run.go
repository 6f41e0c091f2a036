package loadclient

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Run sends each request at its arrival time without waiting for earlier requests
// (open-loop load) and distributes the requests over the clients in round-robin
// order. It returns the results in the order of the requests. FirstToken and Total
// are measured from the scheduled arrival time.
func Run(ctx context.Context, clients []*Client, requests []workload.Request) []Result {
	results := make([]Result, len(requests))
	start := time.Now()
	var group sync.WaitGroup
	for i, request := range requests {
		if !clock.Sleep(ctx, time.Until(start.Add(request.ArrivalTime))) {
			results = results[:i]
			break
		}
		group.Go(func() {
			startDelay := time.Since(start.Add(request.ArrivalTime))
			result := clients[i%len(clients)].Complete(ctx, request)
			if result.FirstToken > 0 {
				result.FirstToken += startDelay
			}
			result.Total += startDelay
			results[i] = result
		})
	}
	group.Wait()
	return results
}
