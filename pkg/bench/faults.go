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

// faulty is a fleet whose agents stand behind links that can fail.
type faulty struct {
	options Options
	fleet   *localfleet.Fleet
	log     *recoveryLog
	// links are those of the agents, by VM.
	links map[string]*linkfake.Link
	err   error
}

func newFaulty(o Options) *faulty {
	return &faulty{options: o, log: newRecoveryLog(o.logTo()), links: make(map[string]*linkfake.Link)}
}

func (f *faulty) start(ctx context.Context) error {
	deployment := localfleet.SmallDeployment()
	deployment.Pools[0].TargetCount = recoveryEngines
	var err error
	f.fleet, err = localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: recoveryRouters, Seed: f.options.Seed, LogOutput: f.log,
		Engine: recoveryEngine(), ConfigureRouter: quickLists, ConfigureAgent: f.link,
	})
	if err == nil {
		err = f.err
	}
	return errors.Trace(err)
}

// link puts a link at the address under which an agent is listed. The agent
// itself listens elsewhere.
func (f *faulty) link(settings *config.Agent) {
	settings.DrainTimeout = config.Duration(time.Second)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.err = err
		return
	}
	listed := settings.PeerAddress
	settings.PeerAddress = own.Addr().String()
	_ = own.Close()
	f.links[settings.VM.ID], f.err = linkfake.StartAt(listed, settings.PeerAddress)
}

func (f *faulty) close() {
	if f.fleet != nil {
		f.fleet.Close()
	}
	for _, link := range f.links {
		if link != nil {
			link.Close()
		}
	}
}

// Times of the faults.
const (
	faultPause  = 300 * time.Millisecond
	silentTime  = 2 * time.Second
	crashedTime = 300 * time.Millisecond
	settleTime  = 3 * time.Second
)

// faultKinds are the single faults, by name.
var faultKinds = []string{"agent_crash", "engine_crash", "engine_silence", "cut_link", "silent_connections", "silent_vm"}

// run makes faults one after the other, and now and then two at once.
func (f *faulty) run(ctx context.Context, length time.Duration, random *rand.Rand, counts map[string]int) {
	const twoEvery = 4
	until := time.Now().Add(length - settleTime)
	engines := f.fleet.Targets[:recoveryEngines]
	for n := 1; time.Now().Before(until) && ctx.Err() == nil; n++ {
		var faults sync.WaitGroup
		first := random.IntN(len(engines))
		kind := faultKinds[random.IntN(len(faultKinds))]
		counts[kind]++
		faults.Go(func() { f.fault(ctx, first, kind) })
		if n%twoEvery == 0 {
			second := (first + 1 + random.IntN(len(engines)-1)) % len(engines)
			other := faultKinds[random.IntN(len(faultKinds))]
			counts[other]++
			counts["two_at_once"]++
			faults.Go(func() { f.fault(ctx, second, other) })
		}
		faults.Wait()
		clock.Sleep(ctx, faultPause)
	}
	clock.Sleep(ctx, settleTime)
}

func (f *faulty) fault(ctx context.Context, i int, kind string) {
	target := f.fleet.Targets[i]
	link := f.links[target.VMID]
	f.log.disturbed(target.VMID)
	switch kind {
	case "agent_crash":
		// Nothing reaches the agent, and it comes back as another process that
		// knows no answer of before.
		link.SetDown(true)
		if err := f.fleet.RestartAgent(i); err != nil {
			f.options.progress("restart of %s: %v", target.VMID, err)
		}
		link.SetDown(false)
	case "engine_crash":
		target.Engine.Crash(crashedTime)
	case "engine_silence":
		target.Engine.Silence()
	case "cut_link":
		link.Cut()
	case "silent_connections":
		f.log.silent(target.VMID)
		link.Silence(linkfake.Both)
	case "silent_vm":
		f.log.silent(target.VMID)
		link.SetSilent(linkfake.Both)
		clock.Sleep(ctx, silentTime)
		link.SetSilent(0)
	}
}

// recoveryLog reads the processes' log lines for what recovery did.
type recoveryLog struct {
	next io.Writer

	mu         sync.Mutex
	silentAt   map[string]time.Time
	detections stats.DurationHistogram
	continued  int
	resumed    int
}

func newRecoveryLog(next io.Writer) *recoveryLog {
	return &recoveryLog{next: next, silentAt: make(map[string]time.Time)}
}

// silent notes that a VM's connections fell silent.
func (l *recoveryLog) silent(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentAt[vm] = time.Now()
}

// disturbed ends the wait for a detection at a VM: another fault hits it.
func (l *recoveryLog) disturbed(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silentAt, vm)
}

type recoveryLine struct {
	Event        eventlog.Number `json:"event"`
	Process      string          `json:"process"`
	VM           string          `json:"vm"`
	AnswerTokens int             `json:"answer_tokens"`
}

// Write implements io.Writer; it takes one line.
func (l *recoveryLog) Write(line []byte) (int, error) {
	var parsed recoveryLine
	if json.Unmarshal(line, &parsed) == nil {
		l.take(parsed)
	}
	return l.next.Write(line)
}

func (l *recoveryLog) take(line recoveryLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch line.Event {
	case eventlog.AnswerContinued.Number:
		l.continued++
	case eventlog.EngineStreamResumed.Number:
		l.resumed++
	case eventlog.PeerStreamResumed.Number:
		l.resumed++
		if at, ok := l.silentAt[line.VM]; ok {
			l.detections.Record(time.Since(at))
			delete(l.silentAt, line.VM)
		}
	}
}

func (l *recoveryLog) fill(figures *RecoveryFigures) {
	l.mu.Lock()
	defer l.mu.Unlock()
	figures.ContinuedAnswers = l.continued
	figures.ResumedStreams = l.resumed
	figures.Detections = l.detections.Count()
	figures.DetectionP50MS = l.detections.QuantileMS(0.5)
	figures.DetectionMaxMS = l.detections.QuantileMS(1)
}
