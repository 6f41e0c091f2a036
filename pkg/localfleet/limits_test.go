package localfleet_test

import (
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

func TestRateLimitedAccount(t *testing.T) {
	Convey("An account that exceeds its rate and burst across two routers is refused with a Retry-After time", t, func() {
		const rate, burst, promptTokens, answerTokens = 20, 1000, 100, 8
		deployment := localfleet.SmallDeployment()
		deployment.RateTokensPerSecond, deployment.BurstTokens = rate, burst
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		fleet, err := localfleet.Start(ctx, localfleet.Config{
			Deployment: deployment, RouterCount: 2, Seed: 1, LogOutput: io.Discard,
			Engine: enginefake.Config{BlockTokens: 2000, MinStepDuration: time.Millisecond},
		})
		So(err, ShouldBeNil)
		defer fleet.Close()
		var clients []*loadclient.Client
		for _, router := range fleet.Routers {
			client := loadclient.New(router.Daemon.Address())
			defer client.Close()
			clients = append(clients, client)
		}
		started := time.Now()
		servedTokens, refusedRequests := 0, 0
		for i := range 30 {
			result := clients[i%len(clients)].Complete(ctx, workload.Request{
				Account: deployment.Accounts[0], Model: deployment.Model,
				Prompt: strings.Repeat("a ", 2*promptTokens), MaxTokens: answerTokens,
			})
			if result.Complete {
				servedTokens += result.PromptTokens + result.CompletionTokens
				continue
			}
			refusedRequests++
			So(result.Status, ShouldEqual, 429)
			So(result.Code, ShouldEqual, string(outcome.CodeRateLimited))
			So(result.Ran, ShouldEqual, outcome.RanNo.String())
			retryAfterSeconds, err := strconv.Atoi(result.RetryAfter)
			So(err, ShouldBeNil)
			So(retryAfterSeconds, ShouldBeGreaterThan, 0)
		}
		So(float64(servedTokens), ShouldBeLessThanOrEqualTo, burst+rate*time.Since(started).Seconds())
		// Serving almost the whole burst uses every bucket part: the last
		// request has to borrow tokens from other parts.
		So(servedTokens, ShouldBeGreaterThanOrEqualTo, burst-promptTokens-answerTokens)
		So(refusedRequests, ShouldBeGreaterThan, 0)
	})
}

func TestUnresponsiveBucketPart(t *testing.T) {
	Convey("An account within its rate is served while the owner of a bucket part doesn't respond", t, func() {
		deployment := localfleet.SmallDeployment()
		deployment.RateTokensPerSecond, deployment.BurstTokens = 1000, 30_000
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		fleet, err := localfleet.Start(ctx, localfleet.Config{
			Deployment: deployment, RouterCount: 1, Seed: 2, LogOutput: io.Discard,
			Engine: enginefake.Config{BlockTokens: 2000, MinStepDuration: time.Millisecond},
		})
		So(err, ShouldBeNil)
		defer fleet.Close()
		router := fleet.Routers[0].Daemon
		client := loadclient.New(router.Address())
		defer client.Close()
		account := deployment.Accounts[0]
		slots := ratelimit.PartSlots(account.Name, localfleet.SlotCount)
		owner := fleet.TargetByVM(router.SlotOwner(slots[0]))
		So(owner, ShouldNotBeNil)
		owner.Link.PausePeers(true)
		for range 20 {
			result := client.Complete(ctx, workload.Request{
				Account: account, Model: deployment.Model, Prompt: strings.Repeat("a ", 200), MaxTokens: 8,
			})
			So(result.Code, ShouldBeEmpty)
			So(result.Complete, ShouldBeTrue)
		}
	})
}
