// Package schedule selects the target that serves a prompt. A directory tracks
// the known targets, and a policy selects candidates to probe and then filters,
// scores and orders them by their answers. The package does no I/O and reads no
// clock.
package schedule

import "github.com/cespare/xxhash/v2"

// State is the state of a target.
type State uint8

// States of a target.
const (
	// StateLive targets accept new requests.
	StateLive State = iota
	// StateLeaving targets finish their running requests and accept no new ones.
	StateLeaving
	// StateDown targets have a reachable agent but an engine that does not respond.
	StateDown
	// StateGone targets are neither in the platform's list nor covered by a fresh
	// agent report. The Directory removes them.
	StateGone
)

// String returns the state's name as used in logs and messages.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateLeaving:
		return "leaving"
	case StateDown:
		return "down"
	default:
		return "gone"
	}
}

// Target is a back end and the agent on the same VM.
type Target struct {
	// VMID identifies the VM on which the target and its agent run.
	VMID string
	// Address is the host:port of the agent's peer listener.
	Address string
	// DataCentre, Region and Pool are names assigned by the platform.
	DataCentre string
	Region     string
	Pool       string
	// State combines the platform's list and the agent's reports.
	State State
	// BootID is the agent's last reported boot ID, or 0 if unknown.
	BootID uint64
	// Weight is the relative share of rendezvous placements; 0 means 1.
	Weight float64

	hash uint64
}

// hashed returns a copy of t with its rendezvous hash set.
func (t Target) hashed() Target {
	t.hash = xxhash.Sum64String(t.VMID)
	return t
}
