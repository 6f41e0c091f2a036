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

// fakeService simulates the parts of the key-value service that ownership uses.
type fakeService struct {
	down          bool
	revision      uint64
	records       map[ownership.SlotID]ownership.Record
	processLeases map[kv.LeaseID]ownership.ProcessLease
	leaseExpiry   map[kv.LeaseID]time.Duration // expiry time by lease
	lastLease     int
}

func (s *fakeService) expireLeases(now time.Duration) {
	for id, end := range s.leaseExpiry {
		if now >= end {
			s.revoke(id)
		}
	}
}

func (s *fakeService) revoke(id kv.LeaseID) {
	delete(s.leaseExpiry, id)
	delete(s.processLeases, id)
	s.revision++
}

type event struct {
	at time.Duration
	// process must be running for the event to take place; nil stands for the
	// key-value service.
	process *process
	run     func()
}

type process struct {
	machine          *ownership.Machine
	id               ownership.Process
	vm               int
	drift            float64
	paused           bool
	terminated       bool
	kvPartitioned    bool
	peersPartitioned bool
}

// simulation runs several machines over virtual time with injected faults.
type simulation struct {
	random           *rand.Rand
	config           ownership.Config
	now              time.Duration
	events           []event
	service          *fakeService
	processes        [vmCount]*process
	lastBoot         uint64
	removedMembers   [vmCount]bool
	lostAnswerShare  float64
	slowMessageShare float64
	takeovers        int
	extensions       int
}

var clockOrigin = time.Unix(1000, 0)

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		config: ownership.DefaultConfig(slotCount, 3*time.Second),
		service: &fakeService{
			records: map[ownership.SlotID]ownership.Record{}, processLeases: map[kv.LeaseID]ownership.ProcessLease{},
			leaseExpiry: map[kv.LeaseID]time.Duration{},
		},
	}
	for vm := range vmCount {
		sim.boot(vm)
	}
	return sim
}

func (sim *simulation) members() []ownership.Member {
	var members []ownership.Member
	for vm := range vmCount {
		members = append(members, ownership.Member{
			VM: fmt.Sprint("vm-", vm), DataCentre: fmt.Sprint("dc-", vm%3), Region: "r",
		})
	}
	return members
}

func (sim *simulation) toggleMember(vm int) {
	sim.removedMembers[vm] = !sim.removedMembers[vm]
	sim.broadcastMembers()
}

// broadcastMembers sends every process the list of VMs that may own slots.
func (sim *simulation) broadcastMembers() {
	var members []ownership.Member
	for vm, member := range sim.members() {
		if !sim.removedMembers[vm] {
			members = append(members, member)
		}
	}
	for _, p := range sim.processes {
		sim.after(sim.latency(), p, func() { p.machine.SetMembers(members) })
	}
}

func (sim *simulation) boot(vm int) {
	sim.lastBoot++
	p := &process{vm: vm, id: ownership.Process{VM: fmt.Sprint("vm-", vm), BootID: sim.lastBoot}}
	p.drift = (sim.random.Float64() - 0.5) * 0.04
	self := ownership.LocalProcess{Member: sim.members()[vm], BootID: sim.lastBoot}
	p.machine = ownership.New(sim.config, self, sim.random, sim.clock(p))
	p.machine.SetMembers(sim.members())
	sim.processes[vm] = p
}

// clock returns the process's own monotonic clock, which drifts.
func (sim *simulation) clock(p *process) time.Time {
	return clockOrigin.Add(time.Duration(float64(sim.now) * (1 + p.drift)))
}

func (sim *simulation) latency() time.Duration {
	if sim.random.Float64() < sim.slowMessageShare {
		return time.Duration(sim.random.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(sim.random.Int64N(int64(120 * time.Millisecond)))
}

func (sim *simulation) after(d time.Duration, runsOn *process, do func()) {
	sim.events = append(sim.events, event{at: sim.now + d, process: runsOn, run: do})
}

func (sim *simulation) step() {
	sim.now += stepTime
	sim.service.expireLeases(sim.now)
	due := sim.events
	sim.events = nil
	for _, e := range due {
		switch {
		case e.process != nil && e.process.terminated:
		case e.at > sim.now || (e.process != nil && e.process.paused):
			sim.events = append(sim.events, e)
		default:
			e.run()
		}
	}
	for _, p := range sim.processes {
		if p.terminated || p.paused {
			continue
		}
		sim.deliverRead(p)
		sim.deliverTerminationProof(p)
		for _, action := range p.machine.Tick(sim.clock(p)) {
			sim.after(time.Duration(sim.random.Int64N(int64(stepTime))), p, func() { sim.execute(p, action) })
		}
	}
}

func (sim *simulation) reachesService(p *process) bool { return !sim.service.down && !p.kvPartitioned }

// deliverRead delivers either the records or the process leases, as separate
// reads at different times.
func (sim *simulation) deliverRead(p *process) {
	if sim.random.IntN(3) > 0 {
		return
	}
	sim.after(sim.latency(), nil, func() {
		if !sim.reachesService(p) {
			return
		}
		revision := sim.service.revision
		if sim.random.IntN(2) == 0 {
			records := make([]ownership.Record, 0, slotCount)
			for _, r := range sim.service.records {
				records = append(records, r)
			}
			sim.after(sim.latency(), p, func() {
				for _, r := range records {
					p.machine.ObserveRecord(r)
				}
				p.machine.MarkRecordsComplete(revision + 1)
				p.machine.ObserveContact(sim.clock(p))
			})
			return
		}
		var processLeases []ownership.ProcessLease
		for _, a := range sim.service.processLeases {
			processLeases = append(processLeases, a)
		}
		sim.after(sim.latency(), p, func() {
			p.machine.SetProcessLeases(processLeases, revision)
			p.machine.ObserveContact(sim.clock(p))
		})
	})
}

// deliverTerminationProof reports to a process the terminated owners whose
// addresses it can reach.
func (sim *simulation) deliverTerminationProof(p *process) {
	if p.peersPartitioned || sim.random.IntN(20) > 0 {
		return
	}
	records, _ := p.machine.Records()
	for _, r := range records {
		for _, other := range sim.processes {
			if other.id.VM == r.Owner.VM && !other.peersPartitioned && (other.terminated || (!other.paused && other.id != r.Owner)) {
				p.machine.MarkTerminated(r.Owner)
			}
		}
	}
}

// call runs handle at the service and then the function that it returns at the
// process, each after a network delay. If no answer arrives in time, it calls
// onUnknown.
func (sim *simulation) call(p *process, handle func() func(), onUnknown func()) {
	answered := false
	sim.after(sim.latency(), nil, func() {
		if !sim.reachesService(p) {
			return
		}
		answer := handle()
		if sim.random.Float64() < sim.lostAnswerShare {
			return
		}
		sim.after(sim.latency(), p, func() {
			if !answered {
				answered = true
				p.machine.ObserveContact(sim.clock(p))
				answer()
			}
		})
	})
	sim.after(500*time.Millisecond, p, func() {
		if !answered {
			answered = true
			onUnknown()
		}
	})
}

func (sim *simulation) execute(p *process, action ownership.Action) {
	sent := sim.clock(p)
	m := p.machine
	switch a := action.(type) {
	case ownership.OpenLease:
		sim.call(p, func() func() {
			sim.service.lastLease++
			id := kv.LeaseID(fmt.Sprint("l", sim.service.lastLease))
			sim.service.leaseExpiry[id] = sim.now + sim.config.LeaseTTL
			sim.service.revision++
			sim.service.processLeases[id] = ownership.ProcessLease{Owner: p.id, Lease: id}
			return func() { m.HandleLeaseOpened(id, sent, sim.clock(p), ownership.ResultOK) }
		}, func() { m.HandleLeaseOpened("", sent, sim.clock(p), ownership.ResultUnknown) })
	case ownership.RenewLease:
		sim.renew(p, p, a.Lease, sent)
	case ownership.RelayRenewal:
		for _, peer := range sim.processes {
			if peer.id.VM == a.VM && !peer.peersPartitioned && !p.peersPartitioned {
				sim.renew(p, peer, a.Lease, sent)
			}
		}
	case ownership.WriteRecord:
		sim.call(p, func() func() {
			old := sim.service.records[a.Record.Slot]
			if old.Revision != a.ExpectRevision {
				return func() { m.HandleRecordWritten(a, 0, sim.clock(p), ownership.ResultRefused) }
			}
			if a.Kind == ownership.WriteTakeOver || a.Kind == ownership.WriteTakeOverTerminated {
				sim.takeovers++
			}
			sim.service.revision++
			revision := sim.service.revision
			next := a.Record
			next.Revision = revision
			sim.service.records[a.Record.Slot] = next
			return func() { m.HandleRecordWritten(a, revision, sim.clock(p), ownership.ResultOK) }
		}, func() { m.HandleRecordWritten(a, 0, sim.clock(p), ownership.ResultUnknown) })
	case ownership.RequestPromise:
		sim.requestPromise(p, a, sent)
	case ownership.HoldExtended:
		sim.extensions++
	}
}

func (sim *simulation) renew(p, relay *process, lease kv.LeaseID, sent time.Time) {
	sim.call(relay, func() func() {
		result := ownership.ResultRefused
		if _, ok := sim.service.leaseExpiry[lease]; ok {
			sim.service.leaseExpiry[lease] = sim.now + sim.config.LeaseTTL
			result = ownership.ResultOK
		}
		return func() {
			sim.after(sim.latency(), p, func() { p.machine.HandleLeaseRenewed(lease, sent, sim.clock(p), result) })
		}
	}, func() { p.machine.HandleLeaseRenewed(lease, sent, sim.clock(p), ownership.ResultUnknown) })
}

func (sim *simulation) requestPromise(p *process, request ownership.RequestPromise, sent time.Time) {
	sim.after(sim.latency(), nil, func() {
		var peer *process
		for _, other := range sim.processes {
			if other.id.VM == request.VM {
				peer = other
			}
		}
		if p.peersPartitioned || peer.peersPartitioned {
			return
		}
		if peer.terminated {
			sim.after(sim.latency(), p, func() { p.machine.HandlePromiseConnRefused(request, sent, sim.clock(p)) })
			return
		}
		sim.after(0, peer, func() { sim.answerPromiseRequest(p, peer, request, sent) })
	})
}

func (sim *simulation) answerPromiseRequest(p, peer *process, request ownership.RequestPromise, sent time.Time) {
	reply := peer.machine.HandlePromiseRequest(request.Slot, request.Epoch, request.Duration, sim.clock(peer))
	sim.after(sim.latency(), p, func() {
		followUps := p.machine.HandlePromiseReply(request, sent, sim.clock(p), reply.Granted, reply.ContactAge)
		for _, action := range followUps {
			sim.execute(p, action)
		}
	})
}

// holders returns the processes that may use a slot at the current time. Paused
// processes are included, since they may resume at any time.
func (sim *simulation) holders(id ownership.SlotID) []ownership.Process {
	var found []ownership.Process
	for _, p := range sim.processes {
		if p.terminated {
			continue
		}
		if _, held := p.machine.Holds(id, sim.clock(p)); held {
			found = append(found, p.id)
		}
	}
	return found
}
