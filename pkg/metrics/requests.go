package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/router"
)

// firstTokenBuckets are the bounds of the histogram of times to first token.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 410 * time.Millisecond, 800 * time.Millisecond,
	1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond,
}

// RequestMetrics counts finished requests by client account.
type RequestMetrics struct {
	scope tally.Scope
}

// NewRequestMetrics returns the request metrics below a scope.
func NewRequestMetrics(scope tally.Scope) *RequestMetrics {
	return &RequestMetrics{scope: scope}
}

// RecordRequest counts one request.
func (r *RequestMetrics) RecordRequest(o router.RequestObservation) {
	code := "ok"
	if o.Refusal != nil {
		code = string(o.Refusal.Code)
	}
	account := r.scope.Tagged(map[string]string{"account": o.Account})
	account.Tagged(map[string]string{"code": code}).Counter("requests").Inc(1)
	account.Counter("prompt_tokens").Inc(int64(o.Usage.PromptTokens))
	account.Counter("cached_tokens").Inc(int64(o.Usage.CachedTokens))
	account.Counter("completion_tokens").Inc(int64(o.Usage.CompletionTokens))
	if o.FirstToken > 0 {
		account.Histogram("first_token_seconds", firstTokenBuckets).RecordDuration(o.FirstToken)
	}
}
