package gossip

import (
	"math"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/gossip/gossippb"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// Message is the state of one process.
type Message struct {
	From string
	Boot string
	// Sequence grows with each message of a boot.
	Sequence uint64
	// Config is the version of the configuration in force.
	Config int64
	// Usage is what the process has admitted, by client account.
	Usage map[string]tokenrate.Usage
	// Work is what the process has at the targets.
	Work map[balance.TargetKey]balance.TargetLoad
	// Named holds the newest weights version named for each model.
	Named map[string]int64
	// Fence and Engines are set by the process that gives orders.
	Fence   uint64
	Engines []Engine
}

// Engine is what the process that gives orders knows of an engine.
type Engine struct {
	ID    string
	Born  int64
	Model string
	// Version is the weights version that the engine has.
	Version int64
	// FreeMS and LoadingMS are how much longer the engine is to be kept free
	// of new requests, and changes its weights.
	FreeMS    int64
	LoadingMS int64
}

func (m *Message) encode() ([]byte, error) {
	state := &gossippb.State{From: m.From, Boot: m.Boot, Sequence: m.Sequence, Config: m.Config, Fence: m.Fence}
	for account, usage := range m.Usage {
		state.Usage = append(state.Usage, &gossippb.Usage{
			Account: account, Admitted: int64(math.Round(usage.Admitted)), Level: int64(math.Round(usage.Level)),
		})
	}
	for target, share := range m.Work {
		state.Work = append(state.Work, &gossippb.Work{
			Target: uint32(target), Running: uint32(share.InFlight), Unstarted: uint32(share.Pending), Backlog: uint32(share.Backlog),
		})
	}
	for model, version := range m.Named {
		state.Named = append(state.Named, &gossippb.Weights{Model: model, Version: version})
	}
	for i := range m.Engines {
		e := &m.Engines[i]
		state.Engines = append(state.Engines, &gossippb.Engine{
			Id: e.ID, BornUnixMs: e.Born, Model: e.Model, Version: e.Version, FreeMs: uint32(e.FreeMS), LoadingMs: uint32(e.LoadingMS),
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
		From: state.GetFrom(), Boot: state.GetBoot(), Sequence: state.GetSequence(), Config: state.GetConfig(), Fence: state.GetFence(),
		Usage: make(map[string]tokenrate.Usage, len(state.GetUsage())),
		Work:  make(map[balance.TargetKey]balance.TargetLoad, len(state.GetWork())),
		Named: make(map[string]int64, len(state.GetNamed())),
	}
	for _, u := range state.GetUsage() {
		m.Usage[u.GetAccount()] = tokenrate.Usage{Admitted: float64(u.GetAdmitted()), Level: float64(u.GetLevel())}
	}
	for _, w := range state.GetWork() {
		m.Work[balance.TargetKey(w.GetTarget())] = balance.TargetLoad{
			InFlight: int(w.GetRunning()), Pending: int(w.GetUnstarted()), Backlog: float64(w.GetBacklog()),
		}
	}
	for _, n := range state.GetNamed() {
		m.Named[n.GetModel()] = n.GetVersion()
	}
	for _, e := range state.GetEngines() {
		m.Engines = append(m.Engines, Engine{
			ID: e.GetId(), Born: e.GetBornUnixMs(), Model: e.GetModel(), Version: e.GetVersion(),
			FreeMS: int64(e.GetFreeMs()), LoadingMS: int64(e.GetLoadingMs()),
		})
	}
	return m, nil
}
