package entry

import (
	"cmp"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// Fractions of the memory limit. What they leave is for the process's own state, the Go
// runtime's garbage (up to memoryLimitFraction) and its program.
const (
	// requestMemoryFraction is the fraction that all callers and responses may use together,
	// if the settings name no other one.
	requestMemoryFraction = 0.65
	// intakeShare is the share of that which connections, headers, and bodies of callers may
	// use, and largeIntakeShare the one for large headers and bodies. The rest is left for
	// responses, so that a request that was sent to a target is not lost for lack of memory.
	intakeShare      = 0.7
	largeIntakeShare = 0.46
	// responseShare is the share that buffered responses and events may use, and
	// largeResponseShare the one for large ones. The largest response needs 12 MiB while
	// its buffer grows.
	responseShare      = 0.38
	largeResponseShare = 0.2
	// smallServerMemoryFraction is the fraction for the server of readiness checks, and for
	// that of metrics.
	smallServerMemoryFraction = 0.03
)

// defaultBufferBytes is the memory that buffered responses may use if there is no memory
// limit.
const defaultBufferBytes = 64 << 20

// memoryBudgets holds the budget of callers and responses and its parts.
type memoryBudgets struct {
	// whole and intake are nil without a memory limit.
	whole, intake, responses *membudget.Budget
}

func newMemoryBudgets(settings *Settings) memoryBudgets {
	if settings.MemoryBytes <= 0 {
		return memoryBudgets{responses: membudget.New(defaultBufferBytes)}
	}
	limit := cmp.Or(settings.CallerMemoryShare, requestMemoryFraction) * float64(settings.MemoryBytes)
	whole := membudget.New(int64(limit))
	return memoryBudgets{
		whole:     whole,
		intake:    whole.Part(int64(intakeShare*limit), int64(largeIntakeShare*limit)),
		responses: whole.Part(int64(responseShare*limit), int64(largeResponseShare*limit)),
	}
}

// newSmallServerBudget returns the budget of a server of readiness checks or of metrics.
func newSmallServerBudget(settings *Settings) *membudget.Budget {
	if settings.MemoryBytes <= 0 {
		return nil
	}
	return membudget.New(int64(smallServerMemoryFraction * float64(settings.MemoryBytes)))
}

// record sets the metrics of the memory in use.
func (m *memoryBudgets) record(scope tally.Scope) {
	for use, budget := range map[string]*membudget.Budget{"callers": m.intake, "responses": m.responses} {
		scope.Tagged(map[string]string{"use": use}).Gauge("request_memory_bytes").Update(float64(budget.Used()))
	}
}
