package gossip

import (
	"math"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/gossip/gossippb"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// Message holds the state of an entry process.
type Message struct {
	Sender string
	BootID string
	// Sequence increases with each message since the start of the process.
	Sequence uint64
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// Usage holds the tokens that the process has admitted, by client account.
	Usage map[string]tokenrate.Usage
	// TargetLoads holds the load that the process places on each target.
	TargetLoads map[balance.TargetKey]balance.TargetLoad
	// AnnouncedVersions holds the newest announced weights version of each
	// model.
	AnnouncedVersions map[string]int64
	// FencingToken and Engines are set only by the leader, which sends load
	// orders to engines. FencingToken is the fencing token of its orders.
	FencingToken uint64
	Engines      []EngineStatus
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
	state := &gossippb.State{From: m.Sender, Boot: m.BootID, Sequence: m.Sequence, Config: m.ConfigVersion, Fence: m.FencingToken}
	for account, usage := range m.Usage {
		state.Usage = append(state.Usage, &gossippb.Usage{
			Account: account, Admitted: int64(math.Round(usage.Admitted)), Level: int64(math.Round(usage.Level)),
		})
	}
	for target, load := range m.TargetLoads {
		state.Work = append(state.Work, &gossippb.Work{
			Target: uint32(target), Running: uint32(load.InFlight), Unstarted: uint32(load.Pending), Backlog: uint32(load.Backlog),
		})
	}
	for model, version := range m.AnnouncedVersions {
		state.Named = append(state.Named, &gossippb.Weights{Model: model, Version: version})
	}
	for i := range m.Engines {
		e := &m.Engines[i]
		state.Engines = append(state.Engines, &gossippb.Engine{
			Id: e.ID, BornUnixMs: e.StartUnixMS, Model: e.Model, Version: e.Version, FreeMs: uint32(e.CordonedMS), LoadingMs: uint32(e.LoadingMS),
		})
	}
	data, err := proto.Marshal(state)
	return data, errors.Trace(err)
}

func decode(data []byte) (Message, error) {
	var state gossippb.State
	if err := proto.Unmarshal(data, &state); err != nil {
		return Message{}, errors.Annotate(err, "decoding a peer's message")
	}
	m := Message{
		Sender: state.GetFrom(), BootID: state.GetBoot(), Sequence: state.GetSequence(), ConfigVersion: state.GetConfig(), FencingToken: state.GetFence(),
		Usage:             make(map[string]tokenrate.Usage, len(state.GetUsage())),
		TargetLoads:       make(map[balance.TargetKey]balance.TargetLoad, len(state.GetWork())),
		AnnouncedVersions: make(map[string]int64, len(state.GetNamed())),
	}
	for _, u := range state.GetUsage() {
		m.Usage[u.GetAccount()] = tokenrate.Usage{Admitted: float64(u.GetAdmitted()), Level: float64(u.GetLevel())}
	}
	for _, w := range state.GetWork() {
		m.TargetLoads[balance.TargetKey(w.GetTarget())] = balance.TargetLoad{
			InFlight: int(w.GetRunning()), Pending: int(w.GetUnstarted()), Backlog: float64(w.GetBacklog()),
		}
	}
	for _, n := range state.GetNamed() {
		m.AnnouncedVersions[n.GetModel()] = n.GetVersion()
	}
	for _, e := range state.GetEngines() {
		m.Engines = append(m.Engines, EngineStatus{
			ID: e.GetId(), StartUnixMS: e.GetBornUnixMs(), Model: e.GetModel(), Version: e.GetVersion(),
			CordonedMS: int64(e.GetFreeMs()), LoadingMS: int64(e.GetLoadingMs()),
		})
	}
	return m, nil
}
