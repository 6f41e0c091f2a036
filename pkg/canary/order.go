// Package canary decides how a service moves to another software version: how many requests the
// new version gets, whether it is faulty, and when the move is complete or has to be rolled back.
// It does no I/O. Times are offsets on the process's monotonic clock.
package canary

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Order is an operator's order to move a service to another software version.
type Order struct {
	Service string
	// Target is the software version to move to.
	Target string
	// Duration is the time from the order within which it must have ended.
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// IsSame reports whether two orders are the same one. After a restore of the store from an older copy, the
// operator writes the order again, with a revision of the new era.
func (o *Order) IsSame(other *Order) bool {
	if o.Service != other.Service || o.Target != other.Target || o.Duration != other.Duration {
		return false
	}
	era, _ := kv.SplitRevision(o.Revision)
	otherEra, _ := kv.SplitRevision(other.Revision)
	return o.Revision == other.Revision || era != otherEra
}

// Bounds limits what a faulty version may do.
type Bounds struct {
	// Share is the largest share of the service's requests that a faulty version may get.
	// The requests that the operator allows in addition cover those before the order is known.
	Share float64
	// Rollback is the time after enough evidence within which a faulty version must get no
	// more requests.
	Rollback time.Duration
}

// State is the state of a rollout. Higher states take precedence over lower ones.
type State int

const (
	// Unknown means that neither a peer nor the store has told whether the order has ended already.
	Unknown State = iota
	// Running means that the new version gets part of the requests.
	Running
	// Switching means that all new requests go to the new version.
	Switching
	// Reverted means that the new version gets no more requests.
	Reverted
	// Complete means that the store holds that the service has moved to the new version.
	Complete
)

var stateNames = [...]string{Unknown: "unknown", Running: "running", Switching: "switching", Reverted: "reverted", Complete: "complete"}

// String returns the name that denotes the state in logs and, for the states that the store
// holds, there.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// IsFinal reports whether the rollout has ended.
func (s State) IsFinal() bool { return s == Reverted || s == Complete }
