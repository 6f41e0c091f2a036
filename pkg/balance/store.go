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
func (v *storeView) tokens(salt string, parts []call.Part) int64 {
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
	Salt string
	ID   string
	Held bool
}

// StoreChanged takes changes of the cache store's content.
func (b *Balancer) StoreChanged(changes []StoreChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.followed = true
	if b.store.parts == nil || len(b.store.parts) > maxStored {
		b.store.parts = map[uint64]struct{}{}
	}
	for i := range changes {
		key := chainKey(changes[i].Salt, changes[i].ID)
		if changes[i].Held {
			b.store.parts[key] = struct{}{}
			continue
		}
		delete(b.store.parts, key)
	}
}

// StoreEmptied forgets what the cache store held: it has restarted, or changes
// of its content were missed.
func (b *Balancer) StoreEmptied() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.parts = nil
}

// StoreUnfollowed notes that no events of the cache store arrive any more.
func (b *Balancer) StoreUnfollowed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.followed = false
	b.store.parts = nil
}
