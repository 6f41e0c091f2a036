package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/servicefake"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// serviceResponse holds the parts of a response that the tests check.
type serviceResponse struct {
	status         int
	ranHeader      string
	replayedHeader string
	body           string
}

// resultField returns the field "result" of a service's response body.
func (r serviceResponse) resultField() string {
	var result servicefake.Result
	_ = json.Unmarshal([]byte(r.body), &result)
	return result.Result
}

// send sends one service call to a router. The status is 0 if there is no
// complete response.
func send(f *Fleet, router int, method, path, idempotencyKey, body string) serviceResponse {
	request, err := http.NewRequest(method, "http://"+f.Routers[router].Daemon.Address()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return serviceResponse{body: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+f.Config.Deployment.Accounts[0].Key)
	if idempotencyKey != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return serviceResponse{body: err.Error()}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return serviceResponse{body: err.Error()}
	}
	return serviceResponse{
		status: response.StatusCode, ranHeader: response.Header.Get(caller.HeaderRan),
		replayedHeader: response.Header.Get(caller.HeaderReplayed), body: string(content),
	}
}

// redeemUntilRun sends a redemption and, for up to 10 seconds, retries it while
// there is no response or the response says that the call did not run. It
// doesn't retry after status 422.
func redeemUntilRun(f *Fleet, router int, idempotencyKey, businessKey string) serviceResponse {
	var result serviceResponse
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		result = send(f, router, http.MethodPost, "/redemptions", idempotencyKey, fmt.Sprintf(`{"key":%q}`, businessKey))
		if result.ranHeader != "no" && result.status != 0 || result.status == http.StatusUnprocessableEntity {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return result
}

// executionCount returns the number of executions of a business key across all
// services.
func executionCount(f *Fleet, businessKey string) int {
	count := 0
	for _, target := range f.Targets {
		if target.Service != nil {
			count += target.Service.Executions().ByKey[businessKey]
		}
	}
	return count
}

// startFleet starts a fleet with two engine targets. The fleet is closed at the
// end of the test.
func startFleet(serviceTargets, routerCount int) *Fleet {
	deployment := SmallDeployment()
	deployment.Pools[0].TargetCount = 2
	deployment.Pools[1].TargetCount = serviceTargets
	deployment.Accounts = append([]workload.Account(nil), deployment.Accounts...)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	fleet, err := Start(ctx, Config{
		Deployment: deployment, RouterCount: routerCount, Seed: 7, LogOutput: io.Discard,
		Engine: enginefake.Config{BlockTokens: 500},
	})
	So(err, ShouldBeNil)
	Reset(fleet.Close)
	return fleet
}

func TestRedemptionRunsOnce(t *testing.T) {
	Convey("A redemption runs once, and a repeated call replays its response", t, func() {
		fleet := startFleet(2, 2)
		first := redeemUntilRun(fleet, 0, "key-1", "voucher-1")
		So(first.status, ShouldEqual, http.StatusOK)
		So(first.replayedHeader, ShouldBeEmpty)
		So(first.resultField(), ShouldEqual, servicefake.ResultOf("voucher-1"))

		replay := redeemUntilRun(fleet, 1, "key-1", "voucher-1")
		So(replay.status, ShouldEqual, http.StatusOK)
		So(replay.replayedHeader, ShouldEqual, "true")
		So(replay.body, ShouldEqual, first.body)
		So(executionCount(fleet, "voucher-1"), ShouldEqual, 1)

		Convey("a different body with the same idempotency key is refused", func() {
			mismatch := redeemUntilRun(fleet, 0, "key-1", "voucher-2")
			So(mismatch.status, ShouldEqual, http.StatusUnprocessableEntity)
			So(mismatch.ranHeader, ShouldEqual, "no")
			So(executionCount(fleet, "voucher-2"), ShouldEqual, 0)
		})
		Convey("calls without an idempotency key are independent, and an overlong key is refused", func() {
			So(redeemUntilRun(fleet, 0, "", "voucher-3").status, ShouldEqual, http.StatusOK)
			So(redeemUntilRun(fleet, 0, "", "voucher-3").status, ShouldEqual, http.StatusOK)
			So(executionCount(fleet, "voucher-3"), ShouldEqual, 2)
			rejected := send(fleet, 0, http.MethodPost, "/redemptions", string(bytes.Repeat([]byte("k"), 256)), `{"key":"x"}`)
			So(rejected.status, ShouldEqual, http.StatusBadRequest)
		})
		Convey("lookups may be repeated with the same key", func() {
			for range 3 {
				So(send(fleet, 0, http.MethodGet, "/lookups/1", "key-1", "").status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

func TestTransportDoesNotRetry(t *testing.T) {
	Convey("Each call runs once if the service closes a reused connection after reading the request", t, func() {
		fleet := startFleet(1, 1)
		service := fleet.Targets[len(fleet.Targets)-1].Service
		for i := range 20 {
			// The first call leaves idle connections for the second call to
			// reuse.
			So(redeemUntilRun(fleet, 0, "", fmt.Sprintf("warm-%d", i)).status, ShouldEqual, http.StatusOK)
			businessKey := fmt.Sprintf("cut-%d", i)
			service.SetFault(servicefake.Fault{CloseAfter: true, MaxCalls: 1})
			result := redeemUntilRun(fleet, 0, "key-"+businessKey, businessKey)
			So(result.ranHeader, ShouldEqual, "unknown")
			So(redeemUntilRun(fleet, 0, "key-"+businessKey, businessKey).ranHeader, ShouldEqual, "unknown")
			So(executionCount(fleet, businessKey), ShouldEqual, 1)
			// net/http's Transport retries requests without a body on reused
			// connections. This call opens a new connection to reuse, since the
			// fault above closed the idle ones.
			So(redeemUntilRun(fleet, 0, "", "again-"+businessKey).status, ShouldEqual, http.StatusOK)
			lookupsBefore := service.Executions().Lookups
			service.SetFault(servicefake.Fault{CloseAfter: true, MaxCalls: 1})
			result = send(fleet, 0, http.MethodGet, "/redemptions/"+businessKey, "read-"+businessKey, "")
			So(result.ranHeader, ShouldEqual, "unknown")
			So(service.Executions().Lookups, ShouldEqual, lookupsBefore+1)
		}
	})
}

func TestRedemptionSurvivesOwnerLoss(t *testing.T) {
	Convey("The response is replayed after the slot's owner has crashed or stopped gracefully", t, func() {
		fleet := startFleet(3, 1)
		for i, stopAgent := range []func(*Target){fleet.KillAgent, func(target *Target) { _ = fleet.StopAgent(target) }} {
			for k := range 8 {
				businessKey := fmt.Sprintf("voucher-%d-%d", i, k)
				So(redeemUntilRun(fleet, 0, businessKey, businessKey).status, ShouldEqual, http.StatusOK)
			}
			// Outcomes are written after the responses are sent. A crash may
			// lose those not written yet; a graceful stop loses none.
			time.Sleep(100 * time.Millisecond)
			target := fleet.Targets[i]
			stopAgent(target)
			for k := range 8 {
				businessKey := fmt.Sprintf("voucher-%d-%d", i, k)
				replay := redeemUntilRun(fleet, 0, businessKey, businessKey)
				So(replay.status, ShouldEqual, http.StatusOK)
				So(replay.resultField(), ShouldEqual, servicefake.ResultOf(businessKey))
				So(executionCount(fleet, businessKey), ShouldEqual, 1)
			}
			So(fleet.StartAgent(target), ShouldBeNil)
		}
	})
}

func TestGracefulStopWaitsForCalls(t *testing.T) {
	Convey("A graceful stop waits for calls in progress before it hands their slots over", t, func() {
		fleet := startFleet(2, 1)
		So(redeemUntilRun(fleet, 0, "", "warm").status, ShouldEqual, http.StatusOK)
		for _, target := range fleet.Targets[2:] {
			target.Service.SetFault(servicefake.Fault{Delay: 700 * time.Millisecond})
		}
		for i := range 2 {
			var group sync.WaitGroup
			responses := make([]serviceResponse, 16)
			for k := range responses {
				businessKey := fmt.Sprintf("voucher-%d-%d", i, k)
				group.Go(func() { responses[k] = redeemUntilRun(fleet, 0, businessKey, businessKey) })
			}
			time.Sleep(250 * time.Millisecond)
			target := fleet.Targets[i]
			So(fleet.StopAgent(target), ShouldBeNil)
			group.Wait()
			for k, response := range responses {
				businessKey := fmt.Sprintf("voucher-%d-%d", i, k)
				So(response.status, ShouldEqual, http.StatusOK)
				So(redeemUntilRun(fleet, 0, businessKey, businessKey).status, ShouldEqual, http.StatusOK)
				So(executionCount(fleet, businessKey), ShouldEqual, 1)
			}
			So(fleet.StartAgent(target), ShouldBeNil)
		}
	})
}
