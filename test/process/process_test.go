// Package process tests the daemons as separate processes that are killed, frozen,
// stopped and restarted.
package process

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

const (
	longCompletionTokens  = 60
	shortCompletionTokens = 8
	// requestTimeout bounds each request.
	requestTimeout = 30 * time.Second
)

// newRequest returns a request whose completion has exactly the given number of
// tokens. The fake engine's tokens are 4 bytes long, and it may end a completion early,
// depending on the prompt.
func (f *fleet) newRequest(number, tokens int) workload.Request {
	for attempt := 0; ; attempt++ {
		prompt := fmt.Sprintf("request %d, try %d", number, attempt)
		if len(f.expectedText(prompt, tokens)) == tokens*4 {
			return workload.Request{Number: number, Account: f.deployment.Accounts[0], Model: f.deployment.Model,
				Prompt: prompt, MaxTokens: tokens}
		}
	}
}

func (f *fleet) expectedText(prompt string, tokens int) string {
	return enginefake.Answer(f.deployment.Model, f.deployment.WeightsVersion, prompt, tokens)
}

// checkCompletion sends a request and returns an error if its completion is not
// complete and correct.
func (f *fleet) checkCompletion(client *loadclient.Client, request workload.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	result := client.Complete(ctx, request)
	if !result.Complete || result.Text != f.expectedText(request.Prompt, request.MaxTokens) {
		return fmt.Errorf("request %d: complete %v, text %q, code %q, ran %q, %w",
			request.Number, result.Complete, result.Text, result.Code, result.Ran, result.Err)
	}
	return nil
}

// waitFirstToken waits until an engine generates another first token after the counts
// in before were read, and returns the engine's index.
func (f *fleet) waitFirstToken(before []int) int {
	engineIndex := -1
	eventually(f.t, "the first token of a completion", func() bool {
		for i, count := range f.firstTokenCounts() {
			if count > before[i] {
				engineIndex = i
			}
		}
		return engineIndex >= 0
	})
	return engineIndex
}

func (f *fleet) firstTokenCounts() []int {
	counts := make([]int, len(f.engines))
	for i, engine := range f.engines {
		counts[i] = len(engine.Stats().TimesToFirstToken)
	}
	return counts
}

// injectFaultDuringCompletion sends a request with a long completion. After the first
// token, it calls injectFault with the agent that serves the request.
func (f *fleet) injectFaultDuringCompletion(client *loadclient.Client, number int, injectFault func(agent *process)) error {
	before := f.firstTokenCounts()
	done := make(chan error, 1)
	go func() { done <- f.checkCompletion(client, f.newRequest(number, longCompletionTokens)) }()
	injectFault(f.agents[f.waitFirstToken(before)])
	return <-done
}

// waitServing waits until a starting fleet completes a request.
func (f *fleet) waitServing(client *loadclient.Client) {
	number := 1000
	eventually(f.t, "the first completed request", func() bool {
		number++
		return f.checkCompletion(client, f.newRequest(number, shortCompletionTokens)) == nil
	})
}

func TestKilledAndFrozenAgents(t *testing.T) {
	f := startFleet(t, 3, 1)
	client := loadclient.New(f.routers[0].address)
	defer client.Close()
	f.waitServing(client)
	var killed *process
	if err := f.injectFaultDuringCompletion(client, 1, func(agent *process) { killed = agent; agent.kill() }); err != nil {
		t.Errorf("request whose agent was killed during the completion: %v", err)
	}
	killed.start()
	var frozen *process
	if err := f.injectFaultDuringCompletion(client, 2, func(agent *process) { frozen = agent; agent.signal(syscall.SIGSTOP) }); err != nil {
		t.Errorf("request whose agent was frozen during the completion: %v", err)
	}
	if err := f.checkCompletion(client, f.newRequest(3, shortCompletionTokens)); err != nil {
		t.Errorf("request while an agent is frozen: %v", err)
	}
	frozen.signal(syscall.SIGCONT)
	if err := f.checkCompletion(client, f.newRequest(4, shortCompletionTokens)); err != nil {
		t.Errorf("request after the frozen agent was resumed: %v", err)
	}
}

func TestPlannedStops(t *testing.T) {
	f := startFleet(t, 3, 2)
	clients := make([]*loadclient.Client, len(f.routers))
	for i, router := range f.routers {
		clients[i] = loadclient.New(router.address)
		defer clients[i].Close()
		f.waitServing(clients[i])
	}
	// activeRouters holds the indexes of the routers to which the load balancer sends
	// callers.
	var mu sync.Mutex
	activeRouters := []int{0, 1}
	setActiveRouters := func(routers ...int) {
		mu.Lock()
		defer mu.Unlock()
		activeRouters = routers
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	const callerCount = 4
	for caller := range callerCount {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				router := activeRouters[n%len(activeRouters)]
				mu.Unlock()
				if err := f.checkCompletion(clients[router], f.newRequest(caller*100000+n, 20)); err != nil {
					t.Errorf("request during a planned stop: %v", err)
				}
			}
		})
	}
	for _, agent := range f.agents {
		agent.stop()
		agent.start()
		f.waitReady(agent)
		// Leaves time for the routers to poll the list of VMs and for the agent to
		// poll its engine.
		time.Sleep(time.Second)
	}
	for i, router := range f.routers {
		deactivationTimer := time.AfterFunc(200*time.Millisecond, func() { setActiveRouters(1 - i) })
		router.stop()
		deactivationTimer.Stop()
		router.start()
		f.waitReady(router)
		setActiveRouters(0, 1)
	}
	close(stop)
	callers.Wait()
}

func TestRouterRestartDuringOutage(t *testing.T) {
	f := startFleet(t, 2, 1)
	client := loadclient.New(f.routers[0].address)
	defer client.Close()
	f.waitServing(client)
	for _, agent := range f.agents {
		f.waitReady(agent)
	}
	outage := kvfake.DefaultFaults()
	outage.Outage = true
	f.kv.SetFaults(outage)
	f.routers[0].kill()
	startedAt := time.Now()
	f.routers[0].start()
	f.waitReady(f.routers[0])
	f.waitServing(client)
	t.Logf("%v from the start of the router to the first completed request", time.Since(startedAt))
}
