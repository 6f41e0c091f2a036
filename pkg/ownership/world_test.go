package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
)

const (
	stepTime  = 50 * time.Millisecond
	slotCount = 6
	vmCount   = 5
)

// fakeService is the key-value service's part that ownership uses.
type fakeService struct {
	down     bool
	revision uint64
	records  map[ownership.SlotID]ownership.Record
	alive    map[kv.LeaseID]ownership.Alive
	leases   map[kv.LeaseID]time.Duration // lease to its end
	next     int
}

func (s *fakeService) lapse(now time.Duration) {
	for id, end := range s.leases {
		if now >= end {
			s.revoke(id)
		}
	}
}

func (s *fakeService) revoke(id kv.LeaseID) {
	delete(s.leases, id)
	delete(s.alive, id)
	s.revision++
}

type event struct {
	at time.Duration
	// of is the process that must run for the event; nil for the service.
	of *process
	do func()
}

type process struct {
	machine  *ownership.Machine
	id       ownership.Process
	vm       int
	drift    float64
	paused   bool
	dead     bool
	cutKV    bool
	cutPeers bool
}

// world runs several machines over virtual time with faults.
type world struct {
	random    *rand.Rand
	config    ownership.Config
	now       time.Duration
	events    []event
	service   *fakeService
	processes [vmCount]*process
	boots     uint64
	leaving   [vmCount]bool
	lostShare float64
	slowShare float64
	takeovers int
	extended  int
}

var epochStart = time.Unix(1000, 0)

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)),
		config: ownership.DefaultConfig(slotCount, 3*time.Second),
		service: &fakeService{
			records: map[ownership.SlotID]ownership.Record{}, alive: map[kv.LeaseID]ownership.Alive{},
			leases: map[kv.LeaseID]time.Duration{},
		},
	}
	for vm := range vmCount {
		w.boot(vm)
	}
	return w
}

func (w *world) members() []ownership.Member {
	var members []ownership.Member
	for vm := range vmCount {
		members = append(members, ownership.Member{
			VM: fmt.Sprint("vm-", vm), DataCentre: fmt.Sprint("dc-", vm%3), Region: "r",
		})
	}
	return members
}

func (w *world) toggleMember(vm int) {
	w.leaving[vm] = !w.leaving[vm]
	w.tellMembers()
}

// tellMembers tells every process which VMs may own slots.
func (w *world) tellMembers() {
	var members []ownership.Member
	for vm, member := range w.members() {
		if !w.leaving[vm] {
			members = append(members, member)
		}
	}
	for _, p := range w.processes {
		w.after(w.latency(), p, func() { p.machine.SawMembers(members) })
	}
}

func (w *world) boot(vm int) {
	w.boots++
	p := &process{vm: vm, id: ownership.Process{VM: fmt.Sprint("vm-", vm), BootID: w.boots}}
	p.drift = (w.random.Float64() - 0.5) * 0.04
	self := ownership.LocalProcess{Member: w.members()[vm], BootID: w.boots}
	p.machine = ownership.New(w.config, self, w.random, w.clock(p))
	p.machine.SawMembers(w.members())
	w.processes[vm] = p
}

// clock is the process's own monotonic clock, which runs fast or slow.
func (w *world) clock(p *process) time.Time {
	return epochStart.Add(time.Duration(float64(w.now) * (1 + p.drift)))
}

func (w *world) latency() time.Duration {
	if w.random.Float64() < w.slowShare {
		return time.Duration(w.random.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(w.random.Int64N(int64(120 * time.Millisecond)))
}

func (w *world) after(d time.Duration, of *process, do func()) {
	w.events = append(w.events, event{at: w.now + d, of: of, do: do})
}

func (w *world) step() {
	w.now += stepTime
	w.service.lapse(w.now)
	due := w.events
	w.events = nil
	for _, e := range due {
		switch {
		case e.of != nil && e.of.dead:
		case e.at > w.now || (e.of != nil && e.of.paused):
			w.events = append(w.events, e)
		default:
			e.do()
		}
	}
	for _, p := range w.processes {
		if p.dead || p.paused {
			continue
		}
		w.read(p)
		w.proof(p)
		for _, action := range p.machine.Tick(w.clock(p)) {
			w.after(time.Duration(w.random.Int64N(int64(stepTime))), p, func() { w.run(p, action) })
		}
	}
}

func (w *world) reach(p *process) bool { return !w.service.down && !p.cutKV }

// read delivers records and live processes, read at different instants.
func (w *world) read(p *process) {
	if w.random.IntN(3) > 0 {
		return
	}
	w.after(w.latency(), nil, func() {
		if !w.reach(p) {
			return
		}
		revision := w.service.revision
		if w.random.IntN(2) == 0 {
			records := make([]ownership.Record, 0, slotCount)
			for _, r := range w.service.records {
				records = append(records, r)
			}
			w.after(w.latency(), p, func() {
				for _, r := range records {
					p.machine.SawRecord(r)
				}
				p.machine.SlotsComplete(revision + 1)
				p.machine.SawContact(w.clock(p))
			})
			return
		}
		var alive []ownership.Alive
		for _, a := range w.service.alive {
			alive = append(alive, a)
		}
		w.after(w.latency(), p, func() {
			p.machine.SawAlive(alive, revision)
			p.machine.SawContact(w.clock(p))
		})
	})
}

// proof tells a process of dead ones whose address it can reach.
func (w *world) proof(p *process) {
	if p.cutPeers || w.random.IntN(20) > 0 {
		return
	}
	records, _ := p.machine.Table()
	for _, r := range records {
		for _, other := range w.processes {
			if other.id.VM == r.Owner.VM && !other.cutPeers && (other.dead || (!other.paused && other.id != r.Owner)) {
				p.machine.SawDead(r.Owner)
			}
		}
	}
}

// call runs do at the service after a while and its answer after another.
// Without an answer in time the caller is told that the outcome is unknown.
func (w *world) call(p *process, do func() func(), unknown func()) {
	answered := false
	w.after(w.latency(), nil, func() {
		if !w.reach(p) {
			return
		}
		answer := do()
		if w.random.Float64() < w.lostShare {
			return
		}
		w.after(w.latency(), p, func() {
			if !answered {
				answered = true
				p.machine.SawContact(w.clock(p))
				answer()
			}
		})
	})
	w.after(500*time.Millisecond, p, func() {
		if !answered {
			answered = true
			unknown()
		}
	})
}

func (w *world) run(p *process, action ownership.Action) {
	sent := w.clock(p)
	m := p.machine
	switch a := action.(type) {
	case ownership.OpenLease:
		w.call(p, func() func() {
			w.service.next++
			id := kv.LeaseID(fmt.Sprint("l", w.service.next))
			w.service.leases[id] = w.now + w.config.TTL
			w.service.revision++
			w.service.alive[id] = ownership.Alive{Owner: p.id, Lease: id}
			return func() { m.LeaseOpened(id, sent, w.clock(p), ownership.ResultOK) }
		}, func() { m.LeaseOpened("", sent, w.clock(p), ownership.ResultUnknown) })
	case ownership.RenewLease:
		w.renew(p, p, a.Lease, sent)
	case ownership.RelayRenewal:
		for _, peer := range w.processes {
			if peer.id.VM == a.VM && !peer.cutPeers && !p.cutPeers {
				w.renew(p, peer, a.Lease, sent)
			}
		}
	case ownership.WriteRecord:
		w.call(p, func() func() {
			old := w.service.records[a.Record.Slot]
			if old.Revision != a.ExpectRevision {
				return func() { m.RecordWritten(a, 0, w.clock(p), ownership.ResultRefused) }
			}
			if a.Kind == ownership.WriteTakeOver || a.Kind == ownership.WriteTakeOverDead {
				w.takeovers++
			}
			w.service.revision++
			revision := w.service.revision
			next := a.Record
			next.Revision = revision
			w.service.records[a.Record.Slot] = next
			return func() { m.RecordWritten(a, revision, w.clock(p), ownership.ResultOK) }
		}, func() { m.RecordWritten(a, 0, w.clock(p), ownership.ResultUnknown) })
	case ownership.RequestPromise:
		w.ask(p, a, sent)
	case ownership.Extended:
		w.extended++
	}
}

func (w *world) renew(p, through *process, lease kv.LeaseID, sent time.Time) {
	w.call(through, func() func() {
		result := ownership.ResultRefused
		if _, ok := w.service.leases[lease]; ok {
			w.service.leases[lease] = w.now + w.config.TTL
			result = ownership.ResultOK
		}
		return func() {
			w.after(w.latency(), p, func() { p.machine.LeaseRenewed(lease, sent, w.clock(p), result) })
		}
	}, func() { p.machine.LeaseRenewed(lease, sent, w.clock(p), ownership.ResultUnknown) })
}

func (w *world) ask(p *process, a ownership.RequestPromise, sent time.Time) {
	w.after(w.latency(), nil, func() {
		var peer *process
		for _, other := range w.processes {
			if other.id.VM == a.VM {
				peer = other
			}
		}
		if p.cutPeers || peer.cutPeers {
			return
		}
		if peer.dead {
			w.after(w.latency(), p, func() { p.machine.PromiseRefused(a, sent, w.clock(p)) })
			return
		}
		w.after(0, peer, func() { w.answerAsk(p, peer, a, sent) })
	})
}

func (w *world) answerAsk(p, peer *process, a ownership.RequestPromise, sent time.Time) {
	reply := peer.machine.AskedPromise(a.Slot, a.Epoch, a.Duration, w.clock(peer))
	w.after(w.latency(), p, func() {
		more := p.machine.PromiseAnswered(a, sent, w.clock(p), reply.Granted, reply.ContactAge)
		for _, action := range more {
			w.run(p, action)
		}
	})
}

// holders returns the processes that may use a slot at this instant; paused
// ones count too, since they may go on at any time.
func (w *world) holders(id ownership.SlotID) []ownership.Process {
	var found []ownership.Process
	for _, p := range w.processes {
		if p.dead {
			continue
		}
		if _, held := p.machine.Holds(id, w.clock(p)); held {
			found = append(found, p.id)
		}
	}
	return found
}
