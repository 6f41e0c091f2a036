package bench

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fake/linkfake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// faultyFleet is a fleet whose agents are reached through links that can fail.
type faultyFleet struct {
	options   Options
	fleet     *localfleet.Fleet
	logParser *recoveryLogParser
	// links holds the agents' links by VM.
	links   map[string]*linkfake.Link
	linkErr error
}

func newFaultyFleet(o Options) *faultyFleet {
	return &faultyFleet{options: o, logParser: newRecoveryLogParser(o.logOutput()), links: make(map[string]*linkfake.Link)}
}

func (f *faultyFleet) start(ctx context.Context) error {
	deployment := localfleet.SmallDeployment()
	deployment.Pools[0].TargetCount = recoveryEngines
	var err error
	f.fleet, err = localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: recoveryRouters, Seed: f.options.Seed, LogOutput: f.logParser,
		Engine: recoveryEngineConfig(), ConfigureRouter: configureRouter, ConfigureAgent: f.interposeLink,
	})
	if err == nil {
		err = f.linkErr
	}
	return errors.Trace(err)
}

// interposeLink starts a link at the agent's advertised address and moves the
// agent itself to another port.
func (f *faultyFleet) interposeLink(settings *config.Agent) {
	settings.DrainTimeout = config.Duration(time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.linkErr = err
		return
	}
	advertised := settings.PeerAddress
	settings.PeerAddress = listener.Addr().String()
	_ = listener.Close()
	f.links[settings.VM.ID], f.linkErr = linkfake.StartAt(advertised, settings.PeerAddress)
}

func (f *faultyFleet) close() {
	if f.fleet != nil {
		f.fleet.Close()
	}
	for _, link := range f.links {
		if link != nil {
			link.Close()
		}
	}
}

// Timing of the faults.
const (
	faultInterval    = 300 * time.Millisecond
	silentVMDuration = 2 * time.Second
	engineDowntime   = 300 * time.Millisecond
	faultSettleTime  = 3 * time.Second
)

// faultKinds are the names of the single faults.
var faultKinds = []string{"agent_crash", "engine_crash", "engine_silence", "cut_link", "silent_connections", "silent_vm"}

// injectFaults injects one fault after another until faultSettleTime before the
// end. Every fourth round injects two faults at once, at different targets.
func (f *faultyFleet) injectFaults(ctx context.Context, duration time.Duration, random *rand.Rand, counts map[string]int) {
	const pairEvery = 4
	deadline := time.Now().Add(duration - faultSettleTime)
	engines := f.fleet.Targets[:recoveryEngines]
	for n := 1; time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		var faults sync.WaitGroup
		firstTarget := random.IntN(len(engines))
		firstKind := faultKinds[random.IntN(len(faultKinds))]
		counts[firstKind]++
		faults.Go(func() { f.injectFault(ctx, firstTarget, firstKind) })
		if n%pairEvery == 0 {
			secondTarget := (firstTarget + 1 + random.IntN(len(engines)-1)) % len(engines)
			secondKind := faultKinds[random.IntN(len(faultKinds))]
			counts[secondKind]++
			counts["two_at_once"]++
			faults.Go(func() { f.injectFault(ctx, secondTarget, secondKind) })
		}
		faults.Wait()
		clock.Sleep(ctx, faultInterval)
	}
	clock.Sleep(ctx, faultSettleTime)
}

func (f *faultyFleet) injectFault(ctx context.Context, index int, kind string) {
	target := f.fleet.Targets[index]
	link := f.links[target.VMID]
	f.logParser.cancelDetection(target.VMID)
	switch kind {
	case "agent_crash":
		// With its link down, the agent's graceful stop looks like a crash to
		// its peers. The new process has no state of earlier answers.
		link.SetDown(true)
		if err := f.fleet.RestartAgent(index); err != nil {
			f.options.progress("restart of %s: %v", target.VMID, err)
		}
		link.SetDown(false)
	case "engine_crash":
		target.Engine.Crash(engineDowntime)
	case "engine_silence":
		target.Engine.StallConnections()
	case "cut_link":
		link.CloseConnections()
	case "silent_connections":
		f.logParser.recordSilence(target.VMID)
		link.DropTraffic(linkfake.Both)
	case "silent_vm":
		f.logParser.recordSilence(target.VMID)
		link.SetDroppedDirections(linkfake.Both)
		clock.Sleep(ctx, silentVMDuration)
		link.SetDroppedDirections(0)
	}
}

// recoveryLogParser counts recovery events in the processes' log lines.
type recoveryLogParser struct {
	output io.Writer

	mu               sync.Mutex
	silentSince      map[string]time.Time
	detectionTimes   stats.DurationHistogram
	continuedAnswers int
	resumedStreams   int
}

func newRecoveryLogParser(output io.Writer) *recoveryLogParser {
	return &recoveryLogParser{output: output, silentSince: make(map[string]time.Time)}
}

// recordSilence records that a VM's connections have gone silent.
func (l *recoveryLogParser) recordSilence(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentSince[vm] = time.Now()
}

// cancelDetection stops timing a detection at a VM because another fault hits
// it.
func (l *recoveryLogParser) cancelDetection(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silentSince, vm)
}

type recoveryLogLine struct {
	Event        eventlog.Number `json:"event"`
	Process      string          `json:"process"`
	VM           string          `json:"vm"`
	AnswerTokens int             `json:"answer_tokens"`
}

// Write implements io.Writer. Each call receives one line.
func (l *recoveryLogParser) Write(line []byte) (int, error) {
	var parsed recoveryLogLine
	if json.Unmarshal(line, &parsed) == nil {
		l.record(parsed)
	}
	return l.output.Write(line)
}

func (l *recoveryLogParser) record(line recoveryLogLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch line.Event {
	case eventlog.AnswerContinued.Number:
		l.continuedAnswers++
	case eventlog.EngineStreamResumed.Number:
		l.resumedStreams++
	case eventlog.PeerStreamResumed.Number:
		l.resumedStreams++
		if since, ok := l.silentSince[line.VM]; ok {
			l.detectionTimes.Record(time.Since(since))
			delete(l.silentSince, line.VM)
		}
	}
}

func (l *recoveryLogParser) fillResult(result *RecoveryResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result.ContinuedAnswers = l.continuedAnswers
	result.ResumedStreams = l.resumedStreams
	result.Detections = l.detectionTimes.Count()
	result.DetectionP50MS = l.detectionTimes.QuantileMS(0.5)
	result.DetectionMaxMS = l.detectionTimes.QuantileMS(1)
}
