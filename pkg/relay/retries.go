package relay

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// usableBudgetFraction is the fraction of the fleet's retry budget that all
// processes together may use. The rest is a safety margin, since each process
// counts only its own requests.
const usableBudgetFraction = 0.7

// RetryBudgets limits the retries for each service. The processes do not
// coordinate: each one enforces its own part of the fleet's budget. RetryBudgets
// is safe for concurrent use.
type RetryBudgets struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	byService map[string]*schedule.RetryBudget
}

// NewRetryBudgets returns budgets that allow ratio retries per request, plus a
// burst of further retries over the whole fleet.
func NewRetryBudgets(ratio, burst float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, burst: burst, byService: map[string]*schedule.RetryBudget{}}
}

// RecordRequest credits the service's budget for one request.
func (b *RetryBudgets) RecordRequest(service string, processes int) {
	b.serviceBudget(service, processes).OnRequest(time.Now())
}

// TryRetry consumes one retry of the service's budget and reports whether the
// retry is allowed.
func (b *RetryBudgets) TryRetry(service string, processes int) bool {
	return b.serviceBudget(service, processes).TryRetry(time.Now())
}

// hedgeReserve is the fraction of a budget's burst that hedges leave for retries of failed requests.
const hedgeReserve = 0.5

// TryHedge consumes one retry of the service's budget for a hedge and reports whether the hedge is
// allowed. It leaves the reserve for retries, unless the whole burst is a single retry.
func (b *RetryBudgets) TryHedge(service string, processes int) bool {
	budget, now := b.serviceBudget(service, processes), time.Now()
	return budget.Level(now) >= hedgeReserve*b.processBurst(processes) && budget.TryRetry(now)
}

// processBurst returns one process's part of the burst.
func (b *RetryBudgets) processBurst(processes int) float64 {
	return max(1, usableBudgetFraction*b.burst/float64(max(1, processes)))
}

func (b *RetryBudgets) serviceBudget(service string, processes int) *schedule.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.processBurst(processes)
	budget, ok := b.byService[service]
	if !ok {
		budget = schedule.NewRetryBudget(schedule.RetryBudgetSettings{Ratio: usableBudgetFraction * b.ratio, Burst: burst}, time.Now())
		b.byService[service] = budget
		return budget
	}
	// The number of processes is low until the first list of members arrives.
	budget.SetBurst(burst)
	return budget
}
