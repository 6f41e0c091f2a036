package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const slots = 8

// fleet runs several runners in one process and connects them as peers. A
// stopped runner refuses connections.
type fleet struct {
	mu      sync.Mutex
	service *kvfake.Server
	config  ownership.Config
	nodes   map[string]*node
	// beforeHandOver, if not nil, is called before each delivery of levels.
	beforeHandOver func()
}

type node struct {
	runner  *runner.Runner
	boot    uint64
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	credits map[ownership.SlotID]uint64
}

func (n *node) SlotAcquired(ownership.SlotID, uint64) {}
func (n *node) SlotLost(ownership.SlotID, uint64)     {}
func (n *node) ReleaseLevels(slot ownership.SlotID) []runner.BucketLevel {
	return []runner.BucketLevel{{Account: "a", Tokens: uint64(slot) + 1}}
}
func (n *node) CreditLevels(slot ownership.SlotID, _ uint64, levels []runner.BucketLevel) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.credits[slot] += levels[0].Tokens
}

func (f *fleet) node(vm string) (*node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.nodes[vm]; ok {
		return n, nil
	}
	return nil, runner.ErrRefused
}

func (f *fleet) BootID(_ context.Context, vm, _ string) (uint64, error) {
	n, err := f.node(vm)
	if err != nil {
		return 0, err
	}
	return n.boot, nil
}

func (f *fleet) RequestPromise(ctx context.Context, request ownership.RequestPromise) (ownership.PromiseReply, error) {
	n, err := f.node(request.VM)
	if err != nil {
		return ownership.PromiseReply{}, err
	}
	return n.runner.HandlePromiseRequest(ctx, "", request.Slot, request.Epoch, request.Duration), nil
}

func (f *fleet) RelayRenewal(ctx context.Context, vm string, lease kv.LeaseID) error {
	n, err := f.node(vm)
	if err != nil {
		return err
	}
	return n.runner.RelayRenewal(ctx, lease)
}

func (f *fleet) HandOver(ctx context.Context, vm string, handedOver []runner.HandedOverSlot) error {
	if f.beforeHandOver != nil {
		f.beforeHandOver()
	}
	n, err := f.node(vm)
	if err != nil {
		return err
	}
	if len(n.runner.AcceptHandOver(ctx, handedOver)) != len(handedOver) {
		return errors.New("some handed-over slots were not accepted")
	}
	return nil
}

func newFleet(t testing.TB, count int, options ...func(*ownership.Config)) *fleet {
	service := kvfake.New(1)
	address, err := service.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var vms []platform.VM
	for i := range count {
		vms = append(vms, platform.VM{
			ID: fmt.Sprint("vm-", i), Role: platform.RoleTarget, State: platform.VMLive,
			Region: "r", DataCentre: fmt.Sprint("dc-", i%3),
		})
	}
	service.SetVMs(vms)
	f := &fleet{service: service, nodes: map[string]*node{}, config: ownership.DefaultConfig(slots, 2*time.Second)}
	for _, set := range options {
		set(&f.config)
	}
	for i, vm := range vms {
		f.start(vm, uint64(i+1), address)
	}
	t.Cleanup(func() {
		for vm := range f.all() {
			f.stop(vm)
		}
		service.Close()
	})
	return f
}

func (f *fleet) start(vm platform.VM, boot uint64, address string) {
	client := platform.NewClient(platform.DefaultConfig(address))
	n := &node{boot: boot, done: make(chan struct{}), credits: map[ownership.SlotID]uint64{}}
	n.runner = runner.New(runner.Options{
		Config: f.config,
		Self:   ownership.LocalProcess{Member: ownership.Member{VM: vm.ID, DataCentre: vm.DataCentre, Region: vm.Region}, BootID: boot},
		Store:  client, Lister: client, Peers: f, SlotHandler: n, Log: eventlog.Discard(), ReadPeriod: 2 * time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[vm.ID] = n
	f.mu.Unlock()
	go func() {
		n.runner.Run(ctx)
		client.Close()
		close(n.done)
	}()
}

// stop stops a node without handing over its slots.
func (f *fleet) stop(vm string) {
	f.mu.Lock()
	n := f.nodes[vm]
	delete(f.nodes, vm)
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

func (f *fleet) all() map[string]*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := map[string]*node{}
	for vm, n := range f.nodes {
		nodes[vm] = n
	}
	return nodes
}

// holder returns the VM of a slot's holder and its epoch.
func (f *fleet) holder(slot ownership.SlotID) (string, uint64) {
	for vm, n := range f.all() {
		if epoch, held := n.runner.Holds(slot); held {
			return vm, epoch
		}
	}
	return "", 0
}

func (f *fleet) allHeld() bool {
	for slot := range ownership.SlotID(slots) {
		if vm, _ := f.holder(slot); vm == "" {
			return false
		}
	}
	return true
}

func eventually(check func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return check()
}

func TestRunner(t *testing.T) {
	Convey("A crashed holder is replaced at a higher epoch", t, func() {
		f := newFleet(t, 4)
		So(eventually(f.allHeld), ShouldBeTrue)
		crashed, epoch := f.holder(0)
		f.stop(crashed)
		So(eventually(f.allHeld), ShouldBeTrue)
		vm, next := f.holder(0)
		So(vm, ShouldNotEqual, crashed)
		So(next, ShouldBeGreaterThan, epoch)
	})
	Convey("Holders keep their slots beyond their leases during a service outage", t, func() {
		f := newFleet(t, 4)
		So(eventually(f.allHeld), ShouldBeTrue)
		before, _ := f.holder(0)
		faults := kvfake.DefaultFaults()
		faults.Outage = true
		f.service.SetFaults(faults)
		time.Sleep(5 * time.Second)
		So(f.allHeld(), ShouldBeTrue)
		f.service.SetFaults(kvfake.DefaultFaults())
		So(eventually(f.allHeld), ShouldBeTrue)
		after, _ := f.holder(0)
		So(after, ShouldEqual, before)
	})
	Convey("A planned stop hands over slots and credits their levels exactly once", t, func() {
		f := newFleet(t, 4)
		So(eventually(f.allHeld), ShouldBeTrue)
		draining, _ := f.holder(0)
		var want uint64
		for slot := range ownership.SlotID(slots) {
			if vm, _ := f.holder(slot); vm == draining {
				want += uint64(slot) + 1
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.all()[draining].runner.HandOverAll(ctx)
		f.stop(draining)
		So(eventually(f.allHeld), ShouldBeTrue)
		So(f.credited(), ShouldEqual, want)
	})
}

// credited returns the number of tokens that all nodes together have been credited.
func (f *fleet) credited() uint64 {
	var tokens uint64
	for _, n := range f.all() {
		n.mu.Lock()
		for _, credit := range n.credits {
			tokens += credit
		}
		n.mu.Unlock()
	}
	return tokens
}

// TestLevelsOfLastSlots guards against levels that are lost in a planned stop: those of slots
// whose records are written while the levels of others are being sent.
func TestLevelsOfLastSlots(t *testing.T) {
	Convey("Given a planned stop that writes one record at a time", t, func() {
		f := newFleet(t, 2, func(c *ownership.Config) { c.MaxInFlightWrites = 1 })
		So(eventually(f.allHeld), ShouldBeTrue)
		draining, _ := f.holder(0)
		stopping := f.all()[draining].runner
		var want uint64
		for slot := range ownership.SlotID(slots) {
			if _, held := stopping.Holds(slot); held {
				want += uint64(slot) + 1
			}
		}
		holdsNone := func() bool {
			for slot := range ownership.SlotID(slots) {
				if _, held := stopping.Holds(slot); held {
					return false
				}
			}
			return true
		}
		f.beforeHandOver = func() { eventually(holdsNone) }
		Convey("all levels arrive, though the first ones are delivered once all records are written", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			stopping.HandOverAll(ctx)
			So(eventually(func() bool { return f.credited() == want }), ShouldBeTrue)
		})
	})
}
