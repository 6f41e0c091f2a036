package agent

import (
	"context"
	"crypto/ed25519"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const testSlotCount = 16

// newAtMostOnceAgent returns an agent that has an active bundle and owns no slots.
func newAtMostOnceAgent() *Agent {
	public, private, err := ed25519.GenerateKey(nil)
	So(err, ShouldBeNil)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "operator", PublicKey: public}}, 0)
	So(err, ShouldBeNil)
	log := eventlog.New(io.Discard, "agent", "vm")
	bundles := bundle.NewStore(trust, log)
	signed, err := bundle.Sign(bundle.Bundle{
		Version: 1, KeySalt: "6b657973616c746b657973616c746b657973616c746b657973616c746b657973",
		Accounts: []bundle.ClientAccount{{Name: "a", RateTokensPerSecond: 1, BurstTokens: 1, Weight: 1}},
		Routes: []bundle.Route{{
			Name: "seats", Kind: bundle.RouteKindService, Mode: bundle.RouteModeOnce, Path: "/seats", Pool: "p", Open: true,
			Timeout: bundle.Duration(time.Second), CostTokens: 1, IdempotencyWindow: bundle.Duration(time.Hour),
		}},
		Rollout: bundle.Rollout{
			MaxConcurrentLoads: 1, CanaryShare: 0.1, CanaryTime: bundle.Duration(time.Second),
			MaxErrorRatio: 1.5, MaxFirstTokenRatio: 1.5, MinReadyShare: 0.5,
		},
	}, "operator", private)
	So(err, ShouldBeNil)
	bundles.Offer(signed)
	So(bundles.Current(), ShouldNotBeNil)
	return New(context.Background(), Config{
		Options: DefaultOptions(), Log: log, Bundles: bundles, SlotCount: testSlotCount,
	})
}

func refusalCode(a *Agent, account, keyID, key string, slotOffset uint32) outcome.Code {
	slot := idempotency.SlotOf(idempotency.KeyHash(account, "seats", key), testSlotCount)
	reply, err := a.Execute(context.Background(), &peerpb.ExecuteRequest{
		Call:           &peerpb.ServiceCall{Account: account, KeyId: keyID, Route: "seats", Method: "POST", Path: "/seats"},
		IdempotencyKey: key, Slot: (slot + slotOffset) % testSlotCount,
	})
	So(err, ShouldBeNil)
	So(reply.Refusal, ShouldNotBeNil)
	So(reply.Refusal.Ran, ShouldEqual, uint32(outcome.RanNo))
	return outcome.Code(reply.Refusal.Code)
}

func TestExecuteRefusals(t *testing.T) {
	Convey("An invalid call is refused as not run before any record of it is written", t, func() {
		a := newAtMostOnceAgent()
		So(refusalCode(a, "", "", "", 0), ShouldEqual, outcome.CodeInvalidRequest)
		So(refusalCode(a, "", "", "k", 1), ShouldEqual, outcome.CodeNotOwner)
		So(refusalCode(a, "a", "withdrawn", "k", 0), ShouldEqual, outcome.CodeUnauthorized)
		So(refusalCode(a, "", "", "k", 0), ShouldEqual, outcome.CodeNotOwner)
		a.Leave()
		So(refusalCode(a, "", "", "k", 0), ShouldEqual, outcome.CodeNotOwner)
	})
}
