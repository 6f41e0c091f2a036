// Package slottable keeps a process's table of slot owners: from the key-value
// service, and from any agent while the service is away.
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

// Owner is the process that holds a slot.
type Owner struct {
	VM      string
	Address string
	Epoch   uint64
	// HomeDataCentre is where the slot should be owned.
	HomeDataCentre string
}

// Table maps slots to owners. It is safe for concurrent use.
type Table struct {
	count int

	mu      sync.RWMutex
	records map[ownership.SlotID]ownership.Record
}

// New returns an empty table of count slots.
func New(count int) *Table {
	return &Table{count: count, records: make(map[ownership.SlotID]ownership.Record, count)}
}

// Count returns the number of slots.
func (t *Table) Count() int {
	return t.count
}

// Owner returns the owner of a slot, as last heard.
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

// Update takes in a record unless a newer one is known.
func (t *Table) Update(record ownership.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(record.Slot) >= t.count || record.Epoch < t.records[record.Slot].Epoch {
		return
	}
	t.records[record.Slot] = record
}

// Config joins what Run needs.
type Config struct {
	Table *Table
	Store kv.Store
	Peers *peer.Client
	// Agents returns the addresses of agents to ask.
	Agents func() []string
	Origin func() *peerpb.Origin
}

const (
	// readPeriod is the time between whole reads beside the watch.
	readPeriod = 20 * time.Second
	// askPeriod is the time between questions to agents while the key-value
	// service has not answered.
	askPeriod = 200 * time.Millisecond
	// refreshPeriod is the time between questions to a random agent otherwise.
	refreshPeriod = 3 * time.Second
	// askTimeout bounds one question.
	askTimeout = time.Second
	// wholeEvery is the number of questions of which one asks for all records:
	// an agent may have told a newer record and lacked an older one.
	wholeEvery = 10
)

// Run keeps the table up to date until ctx ends.
func Run(ctx context.Context, c Config) {
	go platform.Follow(ctx, c.Store, ownership.SlotPrefix, readPeriod, func(update platform.Update) {
		for _, entry := range update.Entries {
			c.take(entry)
		}
		for _, change := range update.Changes {
			if !change.Deleted {
				c.take(change.Entry)
			}
		}
	})
	for asked := 0; ; asked++ {
		wait := refreshPeriod
		after := c.Table.revision()
		if len(c.Table.Records()) < c.Table.Count() {
			wait = askPeriod
			after = 0
		}
		if asked%wholeEvery == 0 {
			after = 0
		}
		c.askOne(ctx, after)
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

func (c Config) take(entry kv.Entry) {
	var record ownership.Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return
	}
	record.Revision = entry.Revision
	c.Table.Update(record)
}

// SyncFromAnyAgent takes all slots that one agent knows. Agents are asked in random
// order, the next one when one does not answer.
func (c Config) SyncFromAnyAgent(ctx context.Context) {
	c.askOne(ctx, 0)
}

func (c Config) askOne(ctx context.Context, after uint64) {
	const tries = 3
	for i, address := range peer.Shuffled(c.Agents()) {
		if i == tries || c.ask(ctx, address, after) == nil {
			return
		}
	}
}

// SyncFromAgent takes all slots that the agent at an address knows.
func (c Config) SyncFromAgent(ctx context.Context, address string) error {
	return c.ask(ctx, address, 0)
}

// ask takes the slots whose records are newer than a revision.
func (c Config) ask(ctx context.Context, address string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	origin := c.Origin()
	origin.SlotsRevision = after
	reply, err := c.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: origin, WantSlots: true})
	if err != nil {
		c.Peers.Abandon(address)
		return err
	}
	for _, slot := range reply.Slots {
		c.Table.Update(peer.FromSlotRecord(slot))
	}
	return nil
}
