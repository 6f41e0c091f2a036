package bench

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// responseCounts counts the results of the requests of a load.
type responseCounts struct {
	requests int
	// wrongAnswers counts answers that differ from the fake engine's
	// deterministic answer: complete ones that are not equal to it, and
	// incomplete ones that are not a prefix of it.
	wrongAnswers int
	// incompleteStreams counts streams that ended without a [DONE] event or an
	// error.
	incompleteStreams int
	// explicitErrors counts responses with an error code.
	explicitErrors  int
	errorCodes      map[string]int
	firstTokenTimes stats.DurationHistogram
}

func (c *responseCounts) record(deployment localfleet.Deployment, result *loadclient.Result) {
	c.requests++
	expected := enginefake.Answer(deployment.Model, deployment.WeightsVersion, result.Request.Prompt, result.Request.MaxTokens)
	switch {
	case result.Complete && result.Text != expected, !result.Complete && !isPrefix(result.Text, expected):
		c.wrongAnswers++
	case result.Complete:
	case result.Code != "":
		c.explicitErrors++
		if c.errorCodes == nil {
			c.errorCodes = make(map[string]int)
		}
		c.errorCodes[result.Code]++
	default:
		c.incompleteStreams++
	}
	if result.FirstToken > 0 {
		c.firstTokenTimes.Record(result.FirstToken)
	}
}

func isPrefix(text, full string) bool {
	return len(text) <= len(full) && full[:len(text)] == text
}

// closedLoopLoad sends requests from a fixed number of callers until it is
// stopped.
type closedLoopLoad struct {
	deployment localfleet.Deployment
	balancer   *balancer
	cancel     context.CancelFunc
	callers    sync.WaitGroup

	mu        sync.Mutex
	generator *workload.Generator
	counts    responseCounts
}

// callerThinkTime is the pause between a caller's requests.
const callerThinkTime = 5 * time.Millisecond

// startLoad starts callers that each send one request at a time.
func startLoad(ctx context.Context, fleet *localfleet.Fleet, b *balancer, callers int, workloadConfig workload.Config) *closedLoopLoad {
	l := &closedLoopLoad{deployment: fleet.Config.Deployment, balancer: b, generator: workload.New(workloadConfig)}
	sendCtx, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	for range callers {
		l.callers.Go(func() { l.runCaller(ctx, sendCtx) })
	}
	return l
}

// runCaller sends requests until sendCtx is done. A request in flight is
// completed unless ctx is done too.
func (l *closedLoopLoad) runCaller(ctx, sendCtx context.Context) {
	for sendCtx.Err() == nil {
		l.mu.Lock()
		request := l.generator.Next()
		l.mu.Unlock()
		result := l.balancer.pick().Complete(ctx, request)
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.counts.record(l.deployment, &result)
		l.mu.Unlock()
		time.Sleep(callerThinkTime)
	}
}

// takeCounts returns the counts since the previous call and resets them.
func (l *closedLoopLoad) takeCounts() responseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = responseCounts{}
	return counts
}

// stop stops the callers, waits for the requests in flight, and returns the
// remaining counts.
func (l *closedLoopLoad) stop() responseCounts {
	l.cancel()
	l.callers.Wait()
	return l.takeCounts()
}
