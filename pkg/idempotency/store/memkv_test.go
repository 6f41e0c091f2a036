package store

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// kvFault is what happens to one operation of a memKV.
type kvFault int

const (
	kvOK kvFault = iota
	// kvLostBefore: no answer and no effect.
	kvLostBefore
	// kvLostAfter: no answer, but the effect.
	kvLostAfter
	// kvLate: no answer, and the effect comes 300 ms later.
	kvLate
	// kvSlow: the operation takes 700 ms.
	kvSlow
	// kvBudget: refused by the process's own budget.
	kvBudget
)

// memKV is a key-value service in memory. Methods that the package does not
// use come from the nil Store and panic.
type memKV struct {
	kv.Store
	mu         sync.Mutex
	entries    map[string]kv.Entry
	revision   uint64
	writes     int
	writeBytes int
	late       sync.WaitGroup
	// fault is asked before each operation; nil for none.
	fault func(write bool) kvFault
	// answerTime is added to each operation.
	answerTime time.Duration
}

func newMemKV() *memKV {
	return &memKV{entries: make(map[string]kv.Entry)}
}

func (m *memKV) run(write bool, apply func() (kv.Entry, error)) (kv.Entry, error) {
	fault := kvOK
	if m.fault != nil {
		fault = m.fault(write)
	}
	if m.answerTime > 0 {
		time.Sleep(m.answerTime)
	}
	switch fault {
	case kvLostBefore:
		return kv.Entry{}, kv.ErrUnavailable
	case kvBudget:
		return kv.Entry{}, kv.ErrBudgetExhausted
	case kvLate:
		m.late.Go(func() {
			time.Sleep(300 * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = apply()
		})
		return kv.Entry{}, kv.ErrUnavailable
	case kvSlow:
		time.Sleep(700 * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry, err := apply(); fault != kvLostAfter {
		return entry, err
	}
	return kv.Entry{}, kv.ErrUnavailable
}

func (m *memKV) Get(_ context.Context, key string) (kv.Entry, error) {
	return m.run(false, func() (kv.Entry, error) {
		found, ok := m.entries[key]
		if !ok {
			return kv.Entry{}, kv.ErrNotFound
		}
		found.Value = bytes.Clone(found.Value)
		return found, nil
	})
}

func (m *memKV) CompareAndSwap(_ context.Context, put kv.Put) (uint64, error) {
	entry, err := m.run(true, func() (kv.Entry, error) {
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
	_, err := m.run(true, func() (kv.Entry, error) {
		if m.entries[key].Revision != expect {
			return kv.Entry{}, kv.ErrConflict
		}
		delete(m.entries, key)
		return kv.Entry{}, nil
	})
	return err
}

// size returns the number of keys and the bytes of their values.
func (m *memKV) size() (keys, valueBytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.entries {
		valueBytes += len(entry.Value)
	}
	return len(m.entries), valueBytes
}
