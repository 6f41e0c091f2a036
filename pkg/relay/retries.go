package relay

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// safetyShare is the part of the fleet's retry budget that processes use, since
// each counts its requests alone.
const safetyShare = 0.7

// RetryBudgets bounds the requests that are sent more than once, for each
// service. Processes keep to their part of the fleet's budget without talking.
// It is safe for concurrent use.
type RetryBudgets struct {
	ratio float64
	slack float64

	mu        sync.Mutex
	byService map[string]*schedule.RetryBudget
}

// NewRetryBudgets returns budgets of ratio retries for each request, and slack
// retries over the whole fleet.
func NewRetryBudgets(ratio, slack float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, slack: slack, byService: map[string]*schedule.RetryBudget{}}
}

// OnRequest credits one request for a service.
func (b *RetryBudgets) OnRequest(service string, processes int) {
	b.budget(service, processes).OnRequest(time.Now())
}

// Try takes one retry and says whether it may be made.
func (b *RetryBudgets) Try(service string, processes int) bool {
	return b.budget(service, processes).TryRetry(time.Now())
}

func (b *RetryBudgets) budget(service string, processes int) *schedule.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[service]
	if !ok {
		budget = schedule.NewRetryBudget(schedule.RetryBudgetSettings{
			Ratio: safetyShare * b.ratio,
			Burst: max(1, safetyShare*b.slack/float64(max(1, processes))),
		}, time.Now())
		b.byService[service] = budget
	}
	return budget
}
