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
	Convey("An account above its rate and burst is refused over two routers, with the time to come back", t, func() {
		const rate, burst, promptTokens, answerTokens = 20, 1000, 100, 8
		deployment := localfleet.SmallDeployment()
		deployment.RateTokensPerSecond, deployment.BurstTokens = rate, burst
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		fleet, err := localfleet.Start(ctx, localfleet.Config{
			Deployment: deployment, RouterCount: 2, Seed: 1, LogOutput: io.Discard,
			Engine: enginefake.Config{BlockTokens: 2000, DecodeStep: time.Millisecond},
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
		served, refused := 0, 0
		for i := range 30 {
			result := clients[i%len(clients)].Complete(ctx, workload.Request{
				Account: deployment.Accounts[0], Model: deployment.Model,
				Prompt: strings.Repeat("a ", 2*promptTokens), MaxTokens: answerTokens,
			})
			if result.Complete {
				served += result.PromptTokens + result.CompletionTokens
				continue
			}
			refused++
			So(result.Status, ShouldEqual, 429)
			So(result.Code, ShouldEqual, string(outcome.CodeRateLimited))
			So(result.Ran, ShouldEqual, outcome.RanNo.String())
			seconds, err := strconv.Atoi(result.RetryAfter)
			So(err, ShouldBeNil)
			So(seconds, ShouldBeGreaterThan, 0)
		}
		So(float64(served), ShouldBeLessThanOrEqualTo, burst+rate*time.Since(started).Seconds())
		// All parts together were used: the last request needs a loan.
		So(served, ShouldBeGreaterThanOrEqualTo, burst-promptTokens-answerTokens)
		So(refused, ShouldBeGreaterThan, 0)
	})
}

func TestSilentPart(t *testing.T) {
	Convey("While the owner of a part is silent, an account within its rate is served", t, func() {
		deployment := localfleet.SmallDeployment()
		deployment.RateTokensPerSecond, deployment.BurstTokens = 1000, 30_000
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		fleet, err := localfleet.Start(ctx, localfleet.Config{
			Deployment: deployment, RouterCount: 1, Seed: 2, LogOutput: io.Discard,
			Engine: enginefake.Config{BlockTokens: 2000, DecodeStep: time.Millisecond},
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
