package router

import (
	"math"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/prefix"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// plan is what the bundle in force makes of one completion.
type plan struct {
	owner   bundle.KeyOwner
	route   *bundle.Route
	model   *bundle.Model
	version *bundle.ModelVersion
	adapter string
	salt    string
	chain   []uint64
	// promptTokens is an estimate that does not fall below the true count as
	// long as the model's BytesPerToken holds.
	promptTokens int
	maxTokens    int
	request      caller.Completion
}

// authorize finds the key's owner and checks that it may use the route. Open
// routes need no key, but a key that comes must be valid.
func authorize(index *bundle.Index, token string, route *bundle.Route) (bundle.KeyOwner, *outcome.Refusal) {
	owner, refusal := keyOwner(index, token)
	if refusal != nil {
		return owner, refusal
	}
	if owner.Account == "" && !route.Open {
		return owner, unauthorized()
	}
	if !index.Allowed(route, owner.Account) {
		return owner, outcome.NotRun(outcome.CodeForbidden, "the client account may not use this route")
	}
	return owner, nil
}

// keyOwner returns the owner of a key; the empty key has none.
func keyOwner(index *bundle.Index, token string) (bundle.KeyOwner, *outcome.Refusal) {
	if token == "" {
		return bundle.KeyOwner{}, nil
	}
	owner, ok := index.LookupKey(token)
	if !ok {
		return bundle.KeyOwner{}, unauthorized()
	}
	return owner, nil
}

// plan checks a completion against the bundle in force.
func (r *Router) plan(request caller.Completion) (*plan, *outcome.Refusal) {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil, notReady()
	}
	index := snapshot.Index
	route := index.RouteByModel(request.Model)
	if route == nil {
		return nil, unknownModel(index, request.Token)
	}
	owner, refusal := authorize(index, request.Token, route)
	if refusal != nil {
		return nil, refusal
	}
	p := &plan{owner: owner, route: route, model: index.Model(route.Model), adapter: request.Adapter, request: request}
	if p.model == nil {
		return nil, outcome.NotRun(outcome.CodeUnknownModel, "the route's model is not in the bundle")
	}
	p.bound()
	return p, p.chooseVersion(index)
}

// unknownModel hides which models exist from callers without a valid key.
func unknownModel(index *bundle.Index, token string) *outcome.Refusal {
	if _, ok := index.LookupKey(token); token != "" && !ok {
		return unauthorized()
	}
	return outcome.NotRun(outcome.CodeUnknownModel, "no route serves this model")
}

// bound fills in the token bounds.
func (p *plan) bound() {
	p.promptTokens = int(math.Ceil(float64(len(p.request.Prompt)) / p.model.BytesPerToken))
	p.maxTokens = p.model.MaxOutputTokens
	if p.request.MaxTokens > 0 {
		p.maxTokens = min(p.request.MaxTokens, p.maxTokens)
	}
}

// chooseVersion picks the weights version, the same one for prompts that share
// their first block, and hashes the prompt under it.
func (p *plan) chooseVersion(index *bundle.Index) *outcome.Refusal {
	blockBytes := prefix.BlockBytes(p.model.BlockTokens, p.model.BytesPerToken)
	head := p.request.Prompt[:min(blockBytes, len(p.request.Prompt))]
	sticky := prefix.Chain(prefix.Salt(p.owner.Account, p.model.Name, "", ""), head, len(head))
	p.version = index.PickVersion(p.model.Name, sticky[0])
	if p.version == nil {
		return outcome.NotRun(outcome.CodeNoTarget, "no version of the model takes traffic")
	}
	p.salt = prefix.Salt(p.owner.Account, p.model.Name, p.adapter, p.version.WeightsVersion)
	p.chain = prefix.Chain(p.salt, p.request.Prompt, blockBytes)
	return nil
}

// reservationTokens is what the request may use at most.
func (p *plan) reservationTokens() int {
	return p.promptTokens + p.maxTokens
}

func (p *plan) query() *schedule.Query {
	return &schedule.Query{
		RequestID:    p.request.RequestID,
		Account:      p.owner.Account,
		Pool:         p.route.Pool,
		Chain:        p.chain,
		BlockTokens:  p.model.BlockTokens,
		PromptTokens: p.promptTokens,
	}
}
