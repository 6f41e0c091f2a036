package balance

import "github.com/baobabhub/baobabhub/pkg/call"

// maxStored bounds the parts that are remembered of the cache store; beyond it
// the view starts anew.
const maxStored = 50_000

// storeView is what the cache store holds, as far as its events have told.
type storeView struct {
	// followed says that events arrive; without them a Balancer goes by what
	// its own requests saved.
	followed bool
	parts    map[uint64]struct{}
}

// tokens returns how many tokens of the leading parts the store holds.
func (v *storeView) tokens(salt string, parts []call.PromptPart) int64 {
	tokens := int64(0)
	for i := range parts {
		if _, ok := v.parts[chainKey(salt, parts[i].ID)]; !ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// StoreChange is one part that the cache store took or dropped.
type StoreChange struct {
	Salt   string
	ID     string
	Stored bool
}

// storeView returns the view of the store at an address.
func (b *Balancer) storeView(address string) *storeView {
	view, ok := b.stores[address]
	if !ok {
		view = &storeView{}
		b.stores[address] = view
	}
	return view
}

// ApplyStoreChanges takes changes of a cache store's content.
func (b *Balancer) ApplyStoreChanges(address string, changes []StoreChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := b.storeView(address)
	view.followed = true
	if view.parts == nil || len(view.parts) > maxStored {
		view.parts = map[uint64]struct{}{}
	}
	for i := range changes {
		key := chainKey(changes[i].Salt, changes[i].ID)
		if changes[i].Stored {
			view.parts[key] = struct{}{}
			continue
		}
		delete(view.parts, key)
	}
}

// ClearStore forgets what a cache store held: it has restarted, or changes of
// its content were missed.
func (b *Balancer) ClearStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeView(address).parts = nil
}

// RemoveStore notes that no events of a cache store arrive any more.
func (b *Balancer) RemoveStore(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.stores, address)
}
