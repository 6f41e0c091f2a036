package balance

import "github.com/baobabhub/baobabhub/pkg/call"

// maxStoreParts is the maximum number of prompt parts in a storeView. A view
// that exceeds it is cleared.
const maxStoreParts = 50_000

// storeView is this process's record of the content of a cache store, built
// from the store's events.
type storeView struct {
	// hasEvents is set while the store's events are received. Without them, the
	// Balancer assumes that the store holds the prefixes that this process has
	// recently requested targets to save.
	hasEvents bool
	parts     map[uint64]struct{}
}

// leadingTokens returns the number of tokens in the leading parts that the
// store holds.
func (v *storeView) leadingTokens(salt string, parts []call.PromptPart) int64 {
	tokens := int64(0)
	for i := range parts {
		if _, ok := v.parts[prefixKey(salt, parts[i].ID)]; !ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// StoreChange is the addition of a prompt part to a cache store or its removal
// from the store.
type StoreChange struct {
	Salt   string
	ID     string
	Stored bool
}

// storeView returns the view of the store at address.
func (b *Balancer) storeView(address string) *storeView {
	view, ok := b.storeViews[address]
	if !ok {
		view = &storeView{}
		b.storeViews[address] = view
	}
	return view
}

// ApplyStoreChanges applies changes to the view of a cache store.
func (b *Balancer) ApplyStoreChanges(address string, changes []StoreChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := b.storeView(address)
	view.hasEvents = true
	if view.parts == nil || len(view.parts) > maxStoreParts {
		view.parts = map[uint64]struct{}{}
	}
	for i := range changes {
		key := prefixKey(changes[i].Salt, changes[i].ID)
		if changes[i].Stored {
			view.parts[key] = struct{}{}
			continue
		}
		delete(view.parts, key)
	}
}

// ClearStore clears the view of a cache store after a restart of the store
// or a loss of events.
func (b *Balancer) ClearStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeView(address).parts = nil
}

// RemoveStore removes the view of a cache store whose events no longer
// arrive.
func (b *Balancer) RemoveStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.storeViews, address)
}
