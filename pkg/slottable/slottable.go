// Package slottable maintains a process's table of slot owners. It follows the
// records in the key-value service and also fetches them from agents, which
// works while the service is unavailable.
package slottable

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// Owner identifies the process that owns a slot.
type Owner struct {
	VM      string
	Address string
	Epoch   uint64
	// HomeDataCentre is the data centre in which the slot should be owned.
	HomeDataCentre string
}

// Table maps slots to their owners. It is safe for concurrent use.
type Table struct {
	count int

	mu      sync.RWMutex
	records map[ownership.SlotID]ownership.Record
}

// New returns an empty table for count slots.
func New(count int) *Table {
	return &Table{count: count, records: make(map[ownership.SlotID]ownership.Record, count)}
}

// Count returns the number of slots.
func (t *Table) Count() int {
	return t.count
}

// Owner returns the last known owner of a slot.
func (t *Table) Owner(slot uint32) (Owner, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	record, ok := t.records[ownership.SlotID(slot)]
	if !ok {
		return Owner{}, false
	}
	return Owner{
		VM: record.Owner.VM, Address: record.Address, Epoch: record.Epoch, HomeDataCentre: record.HomeDataCentre,
	}, true
}

// Records returns all known records.
func (t *Table) Records() []ownership.Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	records := make([]ownership.Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	return records
}

// revision returns the greatest revision among the records.
func (t *Table) revision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var newest uint64
	for _, record := range t.records {
		newest = max(newest, record.Revision)
	}
	return newest
}

// Update stores a record unless a record with a later epoch is known.
func (t *Table) Update(record ownership.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(record.Slot) >= t.count || record.Epoch < t.records[record.Slot].Epoch {
		return
	}
	t.records[record.Slot] = record
}

// Config holds the dependencies of Run.
type Config struct {
	Table *Table
	Store kv.Store
	Peers *peer.Client
	// Agents returns the addresses of the agents to query.
	Agents func() []string
	// Origin returns the sender information for messages.
	Origin func() *peerpb.Origin
}

const (
	// readPeriod is the interval between full reads of the key-value service,
	// which complement the watch.
	readPeriod = 20 * time.Second
	// incompleteSyncPeriod is the interval between queries to agents while the
	// table is incomplete.
	incompleteSyncPeriod = 200 * time.Millisecond
	// syncPeriod is the interval between queries to a random agent once the
	// table is complete.
	syncPeriod = 3 * time.Second
	// syncTimeout is the timeout of one query.
	syncTimeout = time.Second
	// fullSyncEvery is the interval, in queries, at which all records are
	// requested: an agent may have returned a newer record while it lacked an
	// older one, which queries for newer records would miss.
	fullSyncEvery = 10
)

// Run keeps the table up to date until ctx is done.
func Run(ctx context.Context, c Config) {
	go platform.Follow(ctx, c.Store, ownership.SlotPrefix, readPeriod, func(update platform.Update) {
		for _, entry := range update.Entries {
			c.applyEntry(entry)
		}
		for _, change := range update.Changes {
			if !change.Deleted {
				c.applyEntry(change.Entry)
			}
		}
	})
	for syncs := 0; ; syncs++ {
		wait := syncPeriod
		afterRevision := c.Table.revision()
		if len(c.Table.Records()) < c.Table.Count() {
			wait = incompleteSyncPeriod
			afterRevision = 0
		}
		if syncs%fullSyncEvery == 0 {
			afterRevision = 0
		}
		c.syncFromAnyAgent(ctx, afterRevision)
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

func (c Config) applyEntry(entry kv.Entry) {
	var record ownership.Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return
	}
	record.Revision = entry.Revision
	c.Table.Update(record)
}

// SyncFromAnyAgent updates the table with all records known to one agent. It tries agents
// in random order until one answers or the attempts are exhausted.
func (c Config) SyncFromAnyAgent(ctx context.Context) {
	c.syncFromAnyAgent(ctx, 0)
}

func (c Config) syncFromAnyAgent(ctx context.Context, afterRevision uint64) {
	const maxAttempts = 3
	for i, address := range peer.Shuffled(c.Agents()) {
		if i == maxAttempts || c.syncFromAgent(ctx, address, afterRevision) == nil {
			return
		}
	}
}

// SyncFromAgent updates the table with all records known to the agent at an address.
func (c Config) SyncFromAgent(ctx context.Context, address string) error {
	return c.syncFromAgent(ctx, address, 0)
}

// syncFromAgent updates the table with the agent's records that are newer than
// afterRevision.
func (c Config) syncFromAgent(ctx context.Context, address string, afterRevision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	origin := c.Origin()
	origin.SlotsRevision = afterRevision
	reply, err := c.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: origin, WantSlots: true})
	if err != nil {
		c.Peers.DiscardConnections(address)
		return err
	}
	for _, slot := range reply.Slots {
		c.Table.Update(peer.FromSlotRecord(slot))
	}
	return nil
}
