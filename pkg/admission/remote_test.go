package admission

import (
	"context"
	"crypto/ed25519"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/slottable"
)

const (
	account         = "account-a"
	localDataCentre = "near"
)

// ownerStub simulates an agent that owns slots.
type ownerStub struct {
	peerpb.DRPCAgentUnimplementedServer
	unresponsive bool
	epoch        uint64
	// refusal is returned by Admit; nil grants the request.
	refusal *outcome.Refusal
	// record is returned by Exchange.
	record *peerpb.SlotRecord

	mu      sync.Mutex
	settled map[uint32]uint64
}

func (o *ownerStub) Admit(ctx context.Context, req *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	if o.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := &peerpb.AdmitReply{Origin: &peerpb.Origin{}, GrantedTokens: req.Tokens}
	if o.refusal != nil {
		reply.Refusal = peer.ToRefusal(o.refusal)
	}
	if req.Epoch != o.epoch {
		reply.Refusal = peer.ToRefusal(outcome.NotRun(outcome.CodeNotOwner, "another epoch"))
	}
	return reply, nil
}

func (o *ownerStub) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Origin: &peerpb.Origin{}, Slots: []*peerpb.SlotRecord{o.record}}, nil
}

func (o *ownerStub) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range req.Settlements {
		o.settled[s.Slot] = s.UsedTokens
	}
	return &peerpb.SettleReply{Origin: &peerpb.Origin{}}, nil
}

func (o *ownerStub) settlementOf(slot uint32) func() (uint64, bool) {
	return func() (uint64, bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		used, found := o.settled[slot]
		return used, found
	}
}

// startOwner starts a server for the stub and returns its address.
func startOwner(ctx context.Context, o *ownerStub) string {
	o.settled = map[uint32]uint64{}
	server, err := peer.Listen("127.0.0.1:0", nil, o)
	So(err, ShouldBeNil)
	go func() { _ = server.Serve(ctx) }()
	return server.Address()
}

// newBundleStore returns a store with a bundle that contains the account.
func newBundleStore() *bundle.Store {
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := private.Public().(ed25519.PublicKey)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "operator", PublicKey: public}}, 0)
	So(err, ShouldBeNil)
	const salt = "6b657973616c746b657973616c746b657973616c746b657973616c746b657973"
	hash, err := bundle.HashKey(salt, "a-key-of-the-account")
	So(err, ShouldBeNil)
	signed, err := bundle.Sign(bundle.Bundle{
		Version: 1, KeySalt: salt,
		Accounts: []bundle.ClientAccount{{Name: account, RateTokensPerSecond: 1000, BurstTokens: 9000, Weight: 1,
			Keys: []bundle.Key{{ID: "1", Hash: hash}}}},
		Models: []bundle.Model{{Name: "m", BlockTokens: 100, BytesPerToken: 4, MaxOutputTokens: 10,
			Versions: []bundle.ModelVersion{{WeightsVersion: "1", Share: 1}}}},
		Routes: []bundle.Route{{Name: "r", Kind: bundle.RouteKindModel, Mode: bundle.RouteModeIdempotent, Model: "m", Pool: "p",
			Timeout: bundle.Duration(time.Second), FirstTokenTimeout: bundle.Duration(time.Second)}},
		Rollout: bundle.Rollout{MaxConcurrentLoads: 1, CanaryShare: 0.1, CanaryTime: bundle.Duration(time.Second),
			MaxErrorRatio: 2, MaxFirstTokenRatio: 2, MinReadyShare: 0.5},
	}, "operator", private)
	So(err, ShouldBeNil)
	store := bundle.NewStore(trust, eventlog.Discard())
	So(store.Offer(signed).Outcome, ShouldEqual, bundle.OutcomeAccepted)
	return store
}

// newTestRemote returns a running Remote. Slot i is owned by the agent at
// addresses[i], and slot 0 is in the local data centre.
func newTestRemote(ctx context.Context, addresses ...string) *Remote {
	peers := peer.NewClient(peer.ClientOptions{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4,
	})
	origin := func() *peerpb.Origin { return &peerpb.Origin{} }
	table := slottable.New(len(addresses))
	for slot, address := range addresses {
		record := ownership.Record{Slot: ownership.SlotID(slot), Epoch: 1, Address: address}
		if slot == 0 {
			record.HomeDataCentre = localDataCentre
		}
		table.Update(record)
	}
	r := NewRemote(Config{
		Options: DefaultOptions(), DataCentre: localDataCentre, Bundles: newBundleStore(), Peers: peers, Origin: origin,
		Slots:   slottable.Config{Table: table, Peers: peers, Origin: origin, Agents: func() []string { return nil }},
		OnReply: func(*peerpb.Origin, string) {}, Log: eventlog.Discard(),
	})
	go r.Run(ctx)
	return r
}

func reservationSlot(r Reservation) uint32 {
	granted, _ := r.(*reservation)
	return granted.slot
}

// waitForSettlement polls for a settlement for up to 10 s.
func waitForSettlement(settlement func() (uint64, bool)) (uint64, bool) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if used, found := settlement(); found {
			return used, true
		}
	}
	return 0, false
}

func TestRemote(t *testing.T) {
	Convey("Given the parts of an account's bucket", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		request := Request{RequestID: "request", Account: account, Tokens: 100, ReservationTimeout: time.Minute}

		Convey("if a part's owner does not reply, the next part grants the request, and the first is settled with zero used tokens", func() {
			unresponsive, granting := &ownerStub{unresponsive: true}, &ownerStub{epoch: 1}
			unresponsiveAddress, grantingAddress := startOwner(ctx, unresponsive), startOwner(ctx, granting)
			reservation, refusal := newTestRemote(ctx, unresponsiveAddress, grantingAddress, grantingAddress).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
			used, found := waitForSettlement(unresponsive.settlementOf(0))
			So(found, ShouldBeTrue)
			So(used, ShouldEqual, 0)
			reservation.Settle(70)
			used, found = waitForSettlement(granting.settlementOf(reservationSlot(reservation)))
			So(found, ShouldBeTrue)
			So(used, ShouldEqual, 70)
		})
		Convey("a call with a stale epoch is retried after a refresh of the slot table", func() {
			o := &ownerStub{epoch: 2}
			address := startOwner(ctx, o)
			o.record = peer.ToSlotRecord(ownership.Record{Slot: 0, Epoch: 2, Address: address})
			_, refusal := newTestRemote(ctx, address).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
		})
		Convey("a request is refused with RanNo and a retry delay if no owner can be reached", func() {
			unreachable := "127.0.0.1:1"
			_, refusal := newTestRemote(ctx, unreachable, unreachable, unreachable).Reserve(ctx, request)
			So(refusal, ShouldNotBeNil)
			So(refusal.Code, ShouldEqual, outcome.CodeLimiterUnavailable)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
			So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("a part whose owner refuses with CodeLimiterUnavailable is skipped", func() {
			paused := &ownerStub{epoch: 1, refusal: outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, time.Minute, "paused")}
			pausedAddress, grantingAddress := startOwner(ctx, paused), startOwner(ctx, &ownerStub{epoch: 1})
			_, refusal := newTestRemote(ctx, pausedAddress, pausedAddress, grantingAddress).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
		})
		Convey("a request to an open route is admitted without calls to the parts", func() {
			_, refusal := newTestRemote(ctx).Reserve(ctx, Request{RequestID: "open", Tokens: 1})
			So(refusal, ShouldBeNil)
		})
	})
}
