package gossip

import (
	"math"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip/gossippb"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
	"github.com/baobabhub/baobabhub/pkg/targetlimit"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// Message is what an entry process sends to its peers: news that concerns every
// process, its own state and the states of whole groups.
type Message struct {
	Sender string
	BootID string
	// Sequence increases with each message since the start of the process.
	Sequence uint64
	News
	// Usage holds the tokens that the process has admitted, by client account.
	Usage map[string]tokenrate.Usage
	// UsageWithin, if not 0, is set if Usage holds only the accounts whose usage has
	// changed within that time.
	UsageWithin time.Duration
	// TargetLoads holds the load that the process places on each target.
	TargetLoads map[balance.TargetKey]balance.TargetLoad
	// Partial marks a message that does not hold the sender's complete state.
	Partial bool
	// DrainReport marks a partial message to the leader, whose TargetLoads cover
	// the targets that are about to change their weights.
	DrainReport bool
	// Groups holds the states of whole groups.
	Groups []Group
	// StreamOrigins tells where streams began, and StreamQuestions lists the streams of
	// which the sender wants to know that. A message with any of them holds nothing else
	// and may arrive in any order.
	StreamOrigins   []StreamOrigin
	StreamQuestions []streamorigin.Key
	// WantsStreams is set if the sender has started, and asks for the streams of which it is a witness.
	// The answer has StreamParts messages with StreamOrigins, of which each has its StreamPart, from 1
	// on.
	WantsStreams            bool
	StreamParts, StreamPart int
	// RecordService, if set, asks the receiver to read the record of software versions for
	// the questions that it can't answer otherwise. It is the service of their streams.
	RecordService string
}

// StreamOrigin is what a process knows of the begin of a stream.
type StreamOrigin struct {
	Key streamorigin.Key
	// Known is set if the process knows the software version of the target that began it.
	Known           bool
	SoftwareVersion string
	// Age is the time since the stream began or was resumed.
	Age time.Duration
}

// AboutStreams reports whether the message is about the begin of streams.
func (m *Message) AboutStreams() bool {
	return len(m.StreamOrigins) > 0 || len(m.StreamQuestions) > 0 || m.WantsStreams || m.StreamParts > 0
}

// News is the part of a message that concerns every process.
type News struct {
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// AnnouncedVersions holds the newest announced weights versions of each model.
	AnnouncedVersions []AnnouncedVersion
	// StoreEra is the newest era of the store that the process knows.
	StoreEra uint64
	// Leaving holds the runs of targets that have recently announced that they
	// are leaving.
	Leaving []fleet.Boot
	// RunFindings holds what the process itself has recently found out about the ends of runs of
	// targets, the latest finding of each.
	RunFindings []RunFinding
	// Unreachable holds the runs of targets to which the process has recently
	// failed to connect, or whose address another target uses now.
	Unreachable []fleet.Boot
	// Suspects holds the requests and parts of prompts under which targets have crashed.
	Suspects []quarantine.Record
	// Limits holds the newest observations of the limits that targets name.
	Limits []targetlimit.Observation
	// Rollouts holds what the process knows of the orders to move services to other software
	// versions.
	Rollouts []canary.News
	// FencingToken is the fencing token of the leader, which sends load orders to
	// engines, and LeaderRemaining the time for which its lease is certain to be
	// valid. Both are 0 if the sender does not pass on the leader's state. Engines
	// is the leader's view of the engines' updates.
	FencingToken    uint64
	LeaderRemaining time.Duration
	Engines         []EngineStatus
}

// RunFinding is a process's finding about a run of a target.
type RunFinding struct {
	Target  fleet.Boot
	Finding fleet.RunFinding
	// Age is the time since the finding.
	Age time.Duration
}

// AnnouncedVersion is an announced weights version of a model.
type AnnouncedVersion struct {
	Model   string
	Version int64
	// Age is the time since the announcement.
	Age time.Duration
}

// Group is the state of all processes of a group.
type Group struct {
	Name string
	// Processes is the number of processes that the hub hears, including itself.
	Processes int
	// State is the sum of their states. Its sender is the hub.
	State Message
}

// EngineStatus is the status of an engine's weights update, as sent by the
// leader.
type EngineStatus struct {
	ID          string
	StartUnixMS int64
	Model       string
	// Version is the engine's weights version.
	Version int64
	// CordonedMS and LoadingMS are the remaining times in milliseconds for which
	// the engine is cordoned and for which it is expected to load weights.
	CordonedMS int64
	LoadingMS  int64
}

func (m *Message) encode() ([]byte, error) {
	data, err := proto.Marshal(m.state())
	return data, errors.Trace(err)
}

func (m *Message) state() *gossippb.State {
	state := &gossippb.State{
		From: m.Sender, Boot: m.BootID, Sequence: m.Sequence, Config: m.ConfigVersion, Fence: m.FencingToken,
		StoreEra: m.StoreEra, LeaderMs: uint32(m.LeaderRemaining.Milliseconds()), Partial: m.Partial, DrainReport: m.DrainReport,
		RecordService: m.RecordService, UsageWithinMs: uint32(m.UsageWithin.Milliseconds()),
		WantsStreams: m.WantsStreams, StreamParts: uint32(m.StreamParts), StreamPart: uint32(m.StreamPart),
	}
	state.Leaving = encodeBoots(m.Leaving)
	for _, f := range m.RunFindings {
		state.RunFindings = append(state.RunFindings, &gossippb.RunFinding{Target: encodeBoot(f.Target), Kind: uint32(f.Finding), AgeMs: encodeMilliseconds(f.Age)})
	}
	state.Unreachable = encodeBoots(m.Unreachable)
	state.Suspects = encodeSuspects(m.Suspects)
	state.Limits = encodeLimits(m.Limits)
	state.Rollouts = encodeRollouts(m.Rollouts)
	for account, usage := range m.Usage {
		state.Usage = append(state.Usage, &gossippb.Usage{
			Account: account, Admitted: int64(math.Round(usage.Admitted)), Level: int64(math.Round(usage.Level)),
		})
	}
	for target, load := range m.TargetLoads {
		state.Work = append(state.Work, &gossippb.Work{
			Target: uint32(target), Running: uint32(load.InFlight), Unstarted: uint32(load.Pending), Backlog: uint32(load.Backlog),
			Progress: encodeAge(load.ProgressAge), DrainedTokens: uint32(load.Drain.Tokens / drainTokensUnit), DrainedMs: uint32(load.Drain.MS / drainMSUnit),
			Slow: uint32(math.Round(max(0, load.Pace.Factor-1) * 100)), SlowAge: encodeAge(load.Pace.Age),
		})
	}
	for _, a := range m.AnnouncedVersions {
		state.Named = append(state.Named, &gossippb.Weights{Model: a.Model, Version: a.Version, AgeMs: uint32(a.Age.Milliseconds())})
	}
	for i := range m.Engines {
		e := &m.Engines[i]
		state.Engines = append(state.Engines, &gossippb.Engine{
			Id: e.ID, BornUnixMs: e.StartUnixMS, Model: e.Model, Version: e.Version, FreeMs: uint32(e.CordonedMS), LoadingMs: uint32(e.LoadingMS),
		})
	}
	for _, o := range m.StreamOrigins {
		state.StreamOrigins = append(state.StreamOrigins, &gossippb.StreamOrigin{Key: uint64(o.Key), Known: o.Known, SoftwareVersion: o.SoftwareVersion, AgeMs: encodeMilliseconds(o.Age)})
	}
	for _, key := range m.StreamQuestions {
		state.StreamQuestions = append(state.StreamQuestions, uint64(key))
	}
	for i := range m.Groups {
		g := &m.Groups[i]
		state.Groups = append(state.Groups, &gossippb.Group{Name: g.Name, Processes: uint32(g.Processes), State: g.State.state()})
	}
	return state
}

// drainTokensUnit and drainMSUnit are the units of the sums from which drain rates are
// estimated. The rounding is small compared with the sums of a busy target.
const (
	drainTokensUnit = 64
	drainMSUnit     = 4
)

// ageUnit is the unit of the ages in a target's load. Ages up to 1.27 s take one byte.
const ageUnit = 10 * time.Millisecond

// encodeAge returns an age in units of ageUnit, rounded up, so that only an absent age is 0.
func encodeAge(age time.Duration) uint32 {
	return uint32((age + ageUnit - 1) / ageUnit)
}

func decodePace(w *gossippb.Work) balance.Pace {
	if w.GetSlow() == 0 {
		return balance.Pace{}
	}
	return balance.Pace{Factor: 1 + float64(w.GetSlow())/100, Age: time.Duration(w.GetSlowAge()) * ageUnit}
}

func encodeBoots(boots []fleet.Boot) []*gossippb.TargetRun {
	var runs []*gossippb.TargetRun
	for _, boot := range boots {
		runs = append(runs, encodeBoot(boot))
	}
	return runs
}

func decodeBoots(runs []*gossippb.TargetRun) []fleet.Boot {
	var boots []fleet.Boot
	for _, run := range runs {
		boots = append(boots, decodeBoot(run))
	}
	return boots
}

func encodeBoot(boot fleet.Boot) *gossippb.TargetRun {
	return &gossippb.TargetRun{Id: boot.ID, BornUnixMs: boot.StartUnixMS}
}

func decodeBoot(run *gossippb.TargetRun) fleet.Boot {
	return fleet.Boot{ID: run.GetId(), StartUnixMS: run.GetBornUnixMs()}
}

func encodeLimits(observations []targetlimit.Observation) []*gossippb.LimitObservation {
	var limits []*gossippb.LimitObservation
	for i := range observations {
		o := &observations[i]
		limits = append(limits, &gossippb.LimitObservation{
			Target: encodeBoot(o.Target), Observer: o.Observer, Sequence: o.Sequence,
			Named: o.Named, PerSecond: o.PerSecond, AgeMs: uint32(o.Age.Milliseconds()),
		})
	}
	return limits
}

func decodeLimits(limits []*gossippb.LimitObservation) []targetlimit.Observation {
	var observations []targetlimit.Observation
	for _, l := range limits {
		observations = append(observations, targetlimit.Observation{
			Target: decodeBoot(l.GetTarget()), Observer: l.GetObserver(), Sequence: l.GetSequence(),
			Named: l.GetNamed(), PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	return observations
}

func encodeSuspects(records []quarantine.Record) []*gossippb.Suspect {
	var suspects []*gossippb.Suspect
	for i := range records {
		suspect := &gossippb.Suspect{Part: records[i].Part, Request: records[i].Request}
		for _, crash := range records[i].Crashes {
			suspect.Crashes = append(suspect.Crashes, &gossippb.Crash{
				Target: encodeBoot(crash.Target), CrashedUnixMs: crash.UnixMS, RunningUnixMs: crash.RunningUnixMS,
				Coincided: crash.Coincided, Cleared: crash.Cleared, Withdrawn: crash.Withdrawn, Occasion: uint32(crash.Occasion),
			})
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

func decodeSuspects(suspects []*gossippb.Suspect) []quarantine.Record {
	var records []quarantine.Record
	for _, suspect := range suspects {
		record := quarantine.Record{Suspect: quarantine.Suspect{Part: suspect.GetPart(), Request: suspect.GetRequest()}}
		for _, crash := range suspect.GetCrashes() {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Target: decodeBoot(crash.GetTarget()), UnixMS: crash.GetCrashedUnixMs(), RunningUnixMS: crash.GetRunningUnixMs(),
				Coincided: crash.GetCoincided(), Cleared: crash.GetCleared(), Withdrawn: crash.GetWithdrawn(), Occasion: int(crash.GetOccasion()),
			})
		}
		records = append(records, record)
	}
	return records
}

func decode(data []byte) (Message, error) {
	var state gossippb.State
	if err := proto.Unmarshal(data, &state); err != nil {
		return Message{}, errors.Annotate(err, "decoding a peer's message")
	}
	m := decodeState(&state)
	for _, g := range state.GetGroups() {
		m.Groups = append(m.Groups, Group{Name: g.GetName(), Processes: int(g.GetProcesses()), State: decodeState(g.GetState())})
	}
	return m, nil
}

// decodeState decodes a state without its groups.
func decodeState(state *gossippb.State) Message {
	m := Message{
		Sender: state.GetFrom(), BootID: state.GetBoot(), Sequence: state.GetSequence(), Partial: state.GetPartial(), DrainReport: state.GetDrainReport(),
		RecordService: state.GetRecordService(), UsageWithin: time.Duration(state.GetUsageWithinMs()) * time.Millisecond,
		WantsStreams: state.GetWantsStreams(), StreamParts: int(state.GetStreamParts()), StreamPart: int(state.GetStreamPart()),
		News: News{
			ConfigVersion: state.GetConfig(), StoreEra: state.GetStoreEra(),
			FencingToken: state.GetFence(), LeaderRemaining: time.Duration(state.GetLeaderMs()) * time.Millisecond,
		},
		Usage:       make(map[string]tokenrate.Usage, len(state.GetUsage())),
		TargetLoads: make(map[balance.TargetKey]balance.TargetLoad, len(state.GetWork())),
	}
	m.Leaving = decodeBoots(state.GetLeaving())
	for _, f := range state.GetRunFindings() {
		m.RunFindings = append(m.RunFindings, RunFinding{Target: decodeBoot(f.GetTarget()), Finding: fleet.RunFinding(f.GetKind()), Age: time.Duration(f.GetAgeMs()) * time.Millisecond})
	}
	m.Unreachable = decodeBoots(state.GetUnreachable())
	m.Suspects = decodeSuspects(state.GetSuspects())
	m.Limits = decodeLimits(state.GetLimits())
	m.Rollouts = decodeRollouts(state.GetRollouts())
	for _, o := range state.GetStreamOrigins() {
		m.StreamOrigins = append(m.StreamOrigins, StreamOrigin{Key: streamorigin.Key(o.GetKey()), Known: o.GetKnown(), SoftwareVersion: o.GetSoftwareVersion(), Age: time.Duration(o.GetAgeMs()) * time.Millisecond})
	}
	for _, key := range state.GetStreamQuestions() {
		m.StreamQuestions = append(m.StreamQuestions, streamorigin.Key(key))
	}
	for _, u := range state.GetUsage() {
		m.Usage[u.GetAccount()] = tokenrate.Usage{Admitted: float64(u.GetAdmitted()), Level: float64(u.GetLevel())}
	}
	for _, w := range state.GetWork() {
		m.TargetLoads[balance.TargetKey(w.GetTarget())] = balance.TargetLoad{
			InFlight: int(w.GetRunning()), Pending: int(w.GetUnstarted()), Backlog: float64(w.GetBacklog()),
			ProgressAge: time.Duration(w.GetProgress()) * ageUnit,
			Drain:       balance.DrainSums{Tokens: float64(w.GetDrainedTokens()) * drainTokensUnit, MS: float64(w.GetDrainedMs()) * drainMSUnit},
			Pace:        decodePace(w),
		}
	}
	for _, n := range state.GetNamed() {
		m.AnnouncedVersions = append(m.AnnouncedVersions, AnnouncedVersion{
			Model: n.GetModel(), Version: n.GetVersion(), Age: time.Duration(n.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, e := range state.GetEngines() {
		m.Engines = append(m.Engines, EngineStatus{
			ID: e.GetId(), StartUnixMS: e.GetBornUnixMs(), Model: e.GetModel(), Version: e.GetVersion(),
			CordonedMS: int64(e.GetFreeMs()), LoadingMS: int64(e.GetLoadingMs()),
		})
	}
	return m
}
