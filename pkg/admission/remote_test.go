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
	account = "account-a"
	near    = "near"
)

// owner is a stub of an agent that owns slots.
type owner struct {
	peerpb.DRPCAgentUnimplementedServer
	silent bool
	epoch  uint64
	// refusal is what Admit answers; nil grants.
	refusal *outcome.Refusal
	// record is what Exchange answers.
	record *peerpb.SlotRecord

	mu      sync.Mutex
	settled map[uint32]uint64
}

func (o *owner) Admit(ctx context.Context, req *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	if o.silent {
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

func (o *owner) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Origin: &peerpb.Origin{}, Slots: []*peerpb.SlotRecord{o.record}}, nil
}

func (o *owner) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range req.Settlements {
		o.settled[s.Slot] = s.UsedTokens
	}
	return &peerpb.SettleReply{Origin: &peerpb.Origin{}}, nil
}

func (o *owner) settlement(slot uint32) func() (uint64, bool) {
	return func() (uint64, bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		used, found := o.settled[slot]
		return used, found
	}
}

// serve starts a stub and returns its address.
func serve(ctx context.Context, o *owner) string {
	o.settled = map[uint32]uint64{}
	server, err := peer.Listen("127.0.0.1:0", nil, o)
	So(err, ShouldBeNil)
	go func() { _ = server.Serve(ctx) }()
	return server.Address()
}

func bundles() *bundle.Store {
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

// remote returns a running Remote whose slots 0, 1 and 2 have these owners.
func remote(ctx context.Context, addresses ...string) *Remote {
	peers := peer.NewClient(peer.ClientOptions{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4,
	})
	origin := func() *peerpb.Origin { return &peerpb.Origin{} }
	table := slottable.New(len(addresses))
	for slot, address := range addresses {
		record := ownership.Record{Slot: ownership.SlotID(slot), Epoch: 1, Address: address}
		if slot == 0 {
			record.HomeDataCentre = near
		}
		table.Update(record)
	}
	r := NewRemote(Config{
		Options: DefaultOptions(), DataCentre: near, Bundles: bundles(), Peers: peers, Origin: origin,
		Slots:   slottable.Config{Table: table, Peers: peers, Origin: origin, Agents: func() []string { return nil }},
		OnReply: func(*peerpb.Origin, string) {}, Log: eventlog.Discard(),
	})
	go r.Run(ctx)
	return r
}

func reservationSlot(r Reservation) uint32 {
	own, _ := r.(*reservation)
	return own.slot
}

// eventually waits up to 10 s for a settlement.
func eventually(settlement func() (uint64, bool)) (uint64, bool) {
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
		request := Request{RequestID: "request", Account: account, Tokens: 100, Hold: time.Minute}

		Convey("a silent owner's part is passed over and given back, the granting one settled as used", func() {
			silent, granting := &owner{silent: true}, &owner{epoch: 1}
			silentAt, grantingAt := serve(ctx, silent), serve(ctx, granting)
			reservation, refusal := remote(ctx, silentAt, grantingAt, grantingAt).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
			used, found := eventually(silent.settlement(0))
			So(found, ShouldBeTrue)
			So(used, ShouldEqual, 0)
			reservation.Settle(70)
			used, found = eventually(granting.settlement(reservationSlot(reservation)))
			So(found, ShouldBeTrue)
			So(used, ShouldEqual, 70)
		})
		Convey("a stale epoch is asked for and tried again", func() {
			o := &owner{epoch: 2}
			address := serve(ctx, o)
			o.record = peer.ToSlotRecord(ownership.Record{Slot: 0, Epoch: 2, Address: address})
			_, refusal := remote(ctx, address).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
		})
		Convey("when no owner can be reached the request is refused as not run, with the time to come back", func() {
			nobody := "127.0.0.1:1"
			_, refusal := remote(ctx, nobody, nobody, nobody).Reserve(ctx, request)
			So(refusal, ShouldNotBeNil)
			So(refusal.Code, ShouldEqual, outcome.CodeLimiterUnavailable)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
			So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("a part whose new owner can't decide yet is passed over", func() {
			paused := &owner{epoch: 1, refusal: outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, time.Minute, "paused")}
			pausedAt, grantingAt := serve(ctx, paused), serve(ctx, &owner{epoch: 1})
			_, refusal := remote(ctx, pausedAt, pausedAt, grantingAt).Reserve(ctx, request)
			So(refusal, ShouldBeNil)
		})
		Convey("open routes need no part", func() {
			_, refusal := remote(ctx).Reserve(ctx, Request{RequestID: "open", Tokens: 1})
			So(refusal, ShouldBeNil)
		})
	})
}
