package store

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// kvFault is a fault injected into one operation of a memKV.
type kvFault int

const (
	kvOK kvFault = iota
	// kvRequestLost fails the operation without effect.
	kvRequestLost
	// kvReplyLost fails the operation although it takes effect.
	kvReplyLost
	// kvDelayedEffect fails the operation, which takes effect 300 ms later.
	kvDelayedEffect
	// kvSlow delays the operation by 700 ms.
	kvSlow
	// kvBudgetExhausted fails the operation because the process's own call
	// budget is exhausted.
	kvBudgetExhausted
)

// memKV is an in-memory kv.Store. Methods that the package does not use panic
// because the embedded Store is nil.
type memKV struct {
	kv.Store
	mu         sync.Mutex
	entries    map[string]kv.Entry
	revision   uint64
	writes     int
	writeBytes int
	delayed    sync.WaitGroup
	// nextFault, if set, returns the fault for each operation.
	nextFault func(write bool) kvFault
	// latency is added to each operation.
	latency time.Duration
}

func newMemKV() *memKV {
	return &memKV{entries: make(map[string]kv.Entry)}
}

func (m *memKV) apply(write bool, operation func() (kv.Entry, error)) (kv.Entry, error) {
	fault := kvOK
	if m.nextFault != nil {
		fault = m.nextFault(write)
	}
	if m.latency > 0 {
		time.Sleep(m.latency)
	}
	switch fault {
	case kvRequestLost:
		return kv.Entry{}, kv.ErrUnavailable
	case kvBudgetExhausted:
		return kv.Entry{}, kv.ErrBudgetExhausted
	case kvDelayedEffect:
		m.delayed.Go(func() {
			time.Sleep(300 * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = operation()
		})
		return kv.Entry{}, kv.ErrUnavailable
	case kvSlow:
		time.Sleep(700 * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry, err := operation(); fault != kvReplyLost {
		return entry, err
	}
	return kv.Entry{}, kv.ErrUnavailable
}

func (m *memKV) Get(_ context.Context, key string) (kv.Entry, error) {
	return m.apply(false, func() (kv.Entry, error) {
		found, ok := m.entries[key]
		if !ok {
			return kv.Entry{}, kv.ErrNotFound
		}
		found.Value = bytes.Clone(found.Value)
		return found, nil
	})
}

func (m *memKV) CompareAndSwap(_ context.Context, put kv.Put) (uint64, error) {
	entry, err := m.apply(true, func() (kv.Entry, error) {
		if m.entries[put.Key].Revision != put.ExpectRevision {
			return kv.Entry{}, kv.ErrConflict
		}
		if len(put.Value) > kv.MaxValueBytes {
			panic("value too large")
		}
		m.revision++
		m.writes++
		m.writeBytes += len(put.Value)
		m.entries[put.Key] = kv.Entry{Key: put.Key, Value: bytes.Clone(put.Value), Revision: m.revision}
		return m.entries[put.Key], nil
	})
	return entry.Revision, err
}

func (m *memKV) Delete(_ context.Context, key string, expect uint64) error {
	_, err := m.apply(true, func() (kv.Entry, error) {
		if m.entries[key].Revision != expect {
			return kv.Entry{}, kv.ErrConflict
		}
		delete(m.entries, key)
		return kv.Entry{}, nil
	})
	return err
}

// usage returns the number of keys and the total size of their values.
func (m *memKV) usage() (keys, valueBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.entries {
		valueBytes += len(entry.Value)
	}
	return len(m.entries), valueBytes
}
