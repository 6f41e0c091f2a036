package agent

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/membership"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// Exchange implements the peer protocol. It returns the membership and slot
// records that are requested.
func (a *Agent) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	reply := &peerpb.ExchangeReply{Origin: a.origin(), Self: a.selfMember()}
	if req.WantMembers {
		reply.Members = append(membership.MembersFromTargets(a.directory.Targets()), reply.Self)
	}
	if req.WantSlots {
		reply.Slots = a.ownershipRecords(req.GetOrigin().GetSlotsRevision())
	}
	return reply, nil
}

func (a *Agent) selfMember() *peerpb.Member {
	state := schedule.StateLive
	if a.leaving.Load() {
		state = schedule.StateLeaving
	}
	return &peerpb.Member{
		VmId:       a.identity.VM,
		Address:    a.identity.Address,
		DataCentre: a.identity.DataCentre,
		Region:     a.identity.Region,
		Pool:       a.identity.Pool,
		State:      state.String(),
		BootId:     a.identity.BootID,
	}
}

// FetchBundle implements the peer protocol. It returns the active bundle or the
// differences from the version that the caller has.
func (a *Agent) FetchBundle(_ context.Context, req *peerpb.FetchBundleRequest) (*peerpb.FetchBundleReply, error) {
	fetched, err := a.bundles.UpdatesSince(req.HaveVersion)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &peerpb.FetchBundleReply{
		Origin:            a.origin(),
		SignedBundle:      fetched.Whole,
		SignedDifferences: fetched.Differences,
	}, nil
}

// Status describes the state of an agent for operators and other agents.
type Status struct {
	VM                string   `json:"vm"`
	DataCentre        string   `json:"data_centre"`
	Pool              string   `json:"pool"`
	BundleVersion     uint64   `json:"bundle_version"`
	Leaving           bool     `json:"leaving"`
	AnswersInProgress int      `json:"answers_in_work"`
	ServiceCalls      int      `json:"service_calls"`
	EngineReported    bool     `json:"engine_reported"`
	EngineBoot        uint64   `json:"engine_boot"`
	EngineAddress     string   `json:"engine_address,omitempty"`
	Weights           []string `json:"weights"`
}

// CurrentStatus returns the current state of the agent.
func (a *Agent) CurrentStatus() Status {
	status := Status{
		VM:                a.identity.VM,
		DataCentre:        a.identity.DataCentre,
		Pool:              a.identity.Pool,
		BundleVersion:     a.bundles.Version(),
		Leaving:           a.leaving.Load(),
		AnswersInProgress: a.answers.countInProgress(),
		ServiceCalls:      len(a.serviceCalls),
	}
	if a.target != nil {
		a.target.fillStatus(&status)
		status.EngineAddress = a.identity.EngineAddress
	}
	return status
}

// Status implements the peer protocol. It returns CurrentStatus as JSON.
func (a *Agent) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	data, err := json.Marshal(a.CurrentStatus())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &peerpb.StatusReply{Origin: a.origin(), Status: data}, nil
}
