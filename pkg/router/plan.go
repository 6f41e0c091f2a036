package router

import (
	"math"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/prefix"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// plan is a completion request resolved against the active bundle.
type plan struct {
	owner       bundle.KeyOwner
	route       *bundle.Route
	model       *bundle.Model
	version     *bundle.ModelVersion
	adapter     string
	cacheSalt   string
	blockHashes []uint64
	// promptTokens is an estimate. It is at least the true count as long as the
	// prompt averages no fewer bytes per token than the model's BytesPerToken.
	promptTokens int
	maxTokens    int
	request      caller.CompletionRequest
}

// authorize returns the key's owner after checking that it may use the route.
// Open routes need no key, but a key that is given must be valid.
func authorize(index *bundle.Index, key string, route *bundle.Route) (bundle.KeyOwner, *outcome.Refusal) {
	owner, refusal := keyOwner(index, key)
	if refusal != nil {
		return owner, refusal
	}
	if owner.Account == "" && !route.Open {
		return owner, unauthorizedRefusal()
	}
	if !index.Allowed(route, owner.Account) {
		return owner, outcome.NotRun(outcome.CodeForbidden, "the client account may not use this route")
	}
	return owner, nil
}

// keyOwner returns the owner of a key. For the empty key, it returns the zero
// KeyOwner.
func keyOwner(index *bundle.Index, key string) (bundle.KeyOwner, *outcome.Refusal) {
	if key == "" {
		return bundle.KeyOwner{}, nil
	}
	owner, ok := index.LookupKey(key)
	if !ok {
		return bundle.KeyOwner{}, unauthorizedRefusal()
	}
	return owner, nil
}

// plan validates a completion request against the active bundle and resolves its
// route, model and weights version.
func (r *Router) plan(request caller.CompletionRequest) (*plan, *outcome.Refusal) {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil, notReadyRefusal()
	}
	index := snapshot.Index
	route := index.RouteByModel(request.Model)
	if route == nil {
		return nil, unknownModelRefusal(index, request.APIKey)
	}
	owner, refusal := authorize(index, request.APIKey, route)
	if refusal != nil {
		return nil, refusal
	}
	p := &plan{owner: owner, route: route, model: index.Model(route.Model), adapter: request.Adapter, request: request}
	if p.model == nil {
		return nil, outcome.NotRun(outcome.CodeUnknownModel, "the route's model is not in the bundle")
	}
	p.setTokenLimits()
	return p, p.selectVersion(index)
}

// unknownModelRefusal returns the refusal for a model without a route. A caller with
// an invalid key is refused as unauthorized instead, so that it can't find out
// which models exist.
func unknownModelRefusal(index *bundle.Index, key string) *outcome.Refusal {
	if _, ok := index.LookupKey(key); key != "" && !ok {
		return unauthorizedRefusal()
	}
	return outcome.NotRun(outcome.CodeUnknownModel, "no route serves this model")
}

// setTokenLimits sets the prompt's token estimate and the limit on answer tokens.
func (p *plan) setTokenLimits() {
	p.promptTokens = int(math.Ceil(float64(len(p.request.Prompt)) / p.model.BytesPerToken))
	p.maxTokens = p.model.MaxOutputTokens
	if p.request.MaxTokens > 0 {
		p.maxTokens = min(p.request.MaxTokens, p.maxTokens)
	}
}

// selectVersion selects the weights version and hashes the prompt's blocks for
// it. Prompts of one client account that share their first block get the same
// version.
func (p *plan) selectVersion(index *bundle.Index) *outcome.Refusal {
	blockBytes := prefix.BlockBytes(p.model.BlockTokens, p.model.BytesPerToken)
	firstBlock := p.request.Prompt[:min(blockBytes, len(p.request.Prompt))]
	firstBlockHashes := prefix.Chain(prefix.Salt(p.owner.Account, p.model.Name, "", ""), firstBlock, len(firstBlock))
	p.version = index.PickVersion(p.model.Name, firstBlockHashes[0])
	if p.version == nil {
		return outcome.NotRun(outcome.CodeNoTarget, "no version of the model takes traffic")
	}
	p.cacheSalt = prefix.Salt(p.owner.Account, p.model.Name, p.adapter, p.version.WeightsVersion)
	p.blockHashes = prefix.Chain(p.cacheSalt, p.request.Prompt, blockBytes)
	return nil
}

// reservationTokens returns the maximum number of tokens that the request may use.
func (p *plan) reservationTokens() int {
	return p.promptTokens + p.maxTokens
}

func (p *plan) query() *schedule.Query {
	return &schedule.Query{
		RequestID:    p.request.RequestID,
		Account:      p.owner.Account,
		Pool:         p.route.Pool,
		Chain:        p.blockHashes,
		BlockTokens:  p.model.BlockTokens,
		PromptTokens: p.promptTokens,
	}
}
