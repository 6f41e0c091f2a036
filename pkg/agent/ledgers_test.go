package agent

import (
	"crypto/ed25519"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

const (
	testSlots   = 3
	testAccount = "account-a"
)

// newBundleStore returns a store whose active bundle has one account with the
// given limits.
func newBundleStore(rate, burst int64) *bundle.Store {
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := private.Public().(ed25519.PublicKey)
	trust, err := bundle.NewTrustPolicy([]bundle.TrustedKey{{ID: "operator", PublicKey: public}}, 0)
	So(err, ShouldBeNil)
	const salt = "6b657973616c746b657973616c746b657973616c746b657973616c746b657973"
	hash, err := bundle.HashKey(salt, "a-key-of-the-account")
	So(err, ShouldBeNil)
	signed, err := bundle.Sign(bundle.Bundle{
		Version: 1, KeySalt: salt,
		Accounts: []bundle.ClientAccount{{
			Name: testAccount, RateTokensPerSecond: rate, BurstTokens: burst, Weight: 1,
			Keys: []bundle.Key{{ID: "1", Hash: hash}},
		}},
		Models: []bundle.Model{{Name: "m", BlockTokens: 100, BytesPerToken: 4, MaxOutputTokens: 10,
			Versions: []bundle.ModelVersion{{WeightsVersion: "1", Share: 1}}}},
		Routes: []bundle.Route{{Name: "r", Kind: bundle.RouteKindModel, Mode: bundle.RouteModeIdempotent, Model: "m", Pool: "p",
			Timeout: bundle.Duration(time.Second), FirstTokenTimeout: bundle.Duration(time.Second)}},
		Rollout: bundle.Rollout{MaxConcurrentLoads: 1, CanaryShare: 0.1, CanaryTime: bundle.Duration(time.Second),
			MaxErrorRatio: 2, MaxFirstTokenRatio: 2, MinReadyShare: 0.5},
	}, "operator", private)
	So(err, ShouldBeNil)
	store := bundle.NewStore(trust, eventlog.Discard())
	result := store.Offer(signed)
	So(bundle.FormatProblems(result.Problems), ShouldBeEmpty)
	So(result.Outcome, ShouldEqual, bundle.OutcomeAccepted)
	return store
}

func TestLedgersAcrossEpochs(t *testing.T) {
	Convey("Given a slot that has never had an owner", t, func() {
		const burst, part = 300, 100
		ledgers := newLedgers(testSlots, newBundleStore(1, burst), eventlog.Discard())
		reserve := func(ledger *ratelimit.Ledger, id string, tokens int64) ratelimit.Outcome {
			return ledger.Reserve(ledgers.now(), testAccount, ratelimit.Request{ID: id, Tokens: tokens, Timeout: time.Minute}).Outcome
		}
		first := ledgers.get(0, 1)
		So(reserve(first, "first", part), ShouldEqual, ratelimit.Granted)

		Convey("restarting the same epoch does not refill the bucket", func() {
			ledgers.stopped(0, 1)
			ledgers.started(0, 1)
			So(reserve(ledgers.get(0, 1), "second", 50), ShouldEqual, ratelimit.InsufficientTokens)
		})
		Convey("renewal by the same process keeps reservations and adds no tokens", func() {
			next := ledgers.get(0, 2)
			So(reserve(next, "second", 50), ShouldEqual, ratelimit.InsufficientTokens)
			So(next.Settle(ledgers.now(), testAccount, "first", 0).Refunded, ShouldBeBetweenOrEqual, part-10, part)
		})
		Convey("after another owner the bucket is empty and old reservations get no refund", func() {
			next := ledgers.get(0, 3)
			So(reserve(next, "second", 50), ShouldEqual, ratelimit.InsufficientTokens)
			So(next.Settle(ledgers.now(), testAccount, "first", 0).Found, ShouldBeFalse)
			So(ledgers.get(0, 1), ShouldBeNil)
		})
		Convey("released parts can't be used and return their levels only once", func() {
			So(first.Settle(ledgers.now(), testAccount, "first", 40).Found, ShouldBeTrue)
			levels := ledgers.release(0)
			So(levels, ShouldHaveLength, 1)
			So(levels[0].Account, ShouldEqual, testAccount)
			So(levels[0].Tokens, ShouldBeBetweenOrEqual, 60, 70)
			So(ledgers.release(0), ShouldBeEmpty)
			So(ledgers.get(0, 1), ShouldBeNil)
			So(reserve(first, "second", 50), ShouldEqual, ratelimit.Stopped)
		})
		Convey("handed-over levels are credited only to the epoch that they were sent for", func() {
			other := newLedgers(testSlots, newBundleStore(1, burst), eventlog.Discard())
			levels := []runner.BucketLevel{{Account: testAccount, Tokens: 60}}
			other.credit(ownership.SlotID(0), 2, levels)
			other.started(0, 2)
			So(reserve(other.get(0, 2), "second", 60), ShouldEqual, ratelimit.Granted)
			other.credit(ownership.SlotID(0), 1, levels)
			So(reserve(other.get(0, 2), "third", 50), ShouldEqual, ratelimit.InsufficientTokens)
		})
	})
}

func TestRateRefusals(t *testing.T) {
	Convey("Refusals have CodeRateLimited only if the account is known to exceed its limits", t, func() {
		for _, c := range []struct {
			answer ratelimit.Answer
			code   outcome.Code
		}{
			{ratelimit.Answer{Outcome: ratelimit.InsufficientTokens, RetryAfter: time.Second}, outcome.CodeRateLimited},
			{ratelimit.Answer{Outcome: ratelimit.TooLarge}, outcome.CodeRateLimited},
			{ratelimit.Answer{Outcome: ratelimit.InsufficientTokens, RetryAfter: time.Second, AccrualPaused: true}, outcome.CodeLimiterUnavailable},
			{ratelimit.Answer{Outcome: ratelimit.TooManyReservations}, outcome.CodeLimiterUnavailable},
			{ratelimit.Answer{Outcome: ratelimit.UnknownAccount}, outcome.CodeLimiterUnavailable},
			{ratelimit.Answer{Outcome: ratelimit.Stopped}, outcome.CodeNotOwner},
		} {
			refusal := rateRefusal(c.answer)
			So(refusal.Code, ShouldEqual, c.code)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
		}
	})
}
