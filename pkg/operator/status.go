package operator

import "github.com/baobabhub/baobabhub/pkg/strictjson"

// RouterStatus is the state of a router as reported to operators.
type RouterStatus struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	Ready         bool   `json:"ready"`
	BundleVersion uint64 `json:"bundle_version"`
	// KVContactAge is the time since the last response from the key-value service.
	KVContactAge strictjson.Duration `json:"kv_contact_age"`
	Targets      []TargetStatus      `json:"targets"`
	// SlotCount is the number of slots. Slots lists those with a known owner.
	SlotCount int          `json:"slot_count"`
	Slots     []SlotStatus `json:"slots"`
}

// TargetStatus is a router's view of one target.
type TargetStatus struct {
	VM         string `json:"vm"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// SlotStatus is the owner of a slot as last known to a router.
type SlotStatus struct {
	Slot  uint32 `json:"slot"`
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"`
}

// AgentVersion is the active bundle version of an agent.
type AgentVersion struct {
	VM string `json:"vm"`
	// Answered is false if the agent did not reply in time.
	Answered      bool   `json:"answered"`
	BundleVersion uint64 `json:"bundle_version"`
}

// FleetStatus holds the replies of all agents to a fleet query.
type FleetStatus struct {
	Agents []AgentVersion `json:"agents"`
}
