// Package platform implements an HTTP client for the platform's key-value service
// and its list of VMs.
package platform

import "context"

// VMState is the state of a VM as reported by the platform.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole determines which processes a VM runs.
type VMRole string

// Roles of a VM.
const (
	// RoleEntry is the role of VMs that run a router.
	RoleEntry VMRole = "entry"
	// RoleTarget is the role of VMs that run a target and its agent.
	RoleTarget VMRole = "target"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID         string  `json:"id"`
	Role       VMRole  `json:"role"`
	State      VMState `json:"state"`
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	// Pool is the group of targets that the VM belongs to; empty unless Role is
	// RoleTarget.
	Pool string `json:"pool,omitempty"`
	// Address is the host:port of the router's or agent's peer listener.
	Address string `json:"address"`
}

// VMLister returns the platform's list of VMs. The list lags behind the actual state.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
