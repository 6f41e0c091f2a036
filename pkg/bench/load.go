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

// verdicts count what became of the requests of one load.
type verdicts struct {
	requests int
	// wrong answers were complete but not what the engines' rule gives, or
	// broken off after text that is not of the answer.
	wrong int
	// incomplete streams ended without the end mark and without an error.
	incomplete int
	// explicit errors came in the usual form.
	explicit int
	codes    map[string]int
	first    stats.DurationHistogram
}

func (v *verdicts) take(deployment localfleet.Deployment, result *loadclient.Result) {
	v.requests++
	whole := enginefake.Answer(deployment.Model, deployment.WeightsVersion, result.Request.Prompt, result.Request.MaxTokens)
	switch {
	case result.Complete && result.Text != whole, !result.Complete && !isPrefix(result.Text, whole):
		v.wrong++
	case result.Complete:
	case result.Code != "":
		v.explicit++
		if v.codes == nil {
			v.codes = make(map[string]int)
		}
		v.codes[result.Code]++
	default:
		v.incomplete++
	}
	if result.FirstToken > 0 {
		v.first.Record(result.FirstToken)
	}
}

func isPrefix(text, whole string) bool {
	return len(text) <= len(whole) && whole[:len(text)] == text
}

// load sends requests from a fixed number of callers until it is stopped.
type load struct {
	deployment localfleet.Deployment
	balancer   *balancer
	cancel     context.CancelFunc
	callers    sync.WaitGroup

	mu        sync.Mutex
	generator *workload.Generator
	verdicts  verdicts
}

// callerPause is the time between a caller's requests.
const callerPause = 5 * time.Millisecond

// startLoad starts callers that send one request after the other.
func startLoad(ctx context.Context, fleet *localfleet.Fleet, b *balancer, callers int, pattern workload.Config) *load {
	l := &load{deployment: fleet.Config.Deployment, balancer: b, generator: workload.New(pattern)}
	until, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	for range callers {
		l.callers.Go(func() { l.call(ctx, until) })
	}
	return l
}

// call sends requests until the context until ends; the last one is finished.
func (l *load) call(ctx, until context.Context) {
	for until.Err() == nil {
		l.mu.Lock()
		request := l.generator.Next()
		l.mu.Unlock()
		result := l.balancer.pick().Complete(ctx, request)
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.verdicts.take(l.deployment, &result)
		l.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// turn returns what was counted since the last turn.
func (l *load) turn() verdicts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.verdicts
	l.verdicts = verdicts{}
	return out
}

// stop waits for the callers' last answers and returns what was counted.
func (l *load) stop() verdicts {
	l.cancel()
	l.callers.Wait()
	return l.turn()
}
