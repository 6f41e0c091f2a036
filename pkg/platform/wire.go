package platform

import "github.com/baobabhub/baobabhub/pkg/kv"

// Paths of the platform's HTTP API.
const (
	PathKV     = "/v1/kv"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	PathVMs    = "/v1/vms"
)

// PutRequest is the body of PUT /v1/kv.
type PutRequest struct {
	Key            string     `json:"key"`
	Value          []byte     `json:"value"`
	ExpectRevision uint64     `json:"expect_revision"`
	Lease          kv.LeaseID `json:"lease,omitempty"`
}

// RevisionReply is the response to PUT /v1/kv.
type RevisionReply struct {
	Revision uint64 `json:"revision"`
}

// ListReply is the response to GET /v1/kv?prefix=P.
type ListReply struct {
	Entries  []kv.Entry `json:"entries"`
	Revision uint64     `json:"revision"`
}

// WatchReply is the response to GET /v1/watch.
type WatchReply struct {
	Changes  []kv.Change `json:"changes"`
	Revision uint64      `json:"revision"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseReply is the response to POST /v1/leases.
type LeaseReply struct {
	ID kv.LeaseID `json:"id"`
}

// VMsReply is the response to GET /v1/vms, and the body of PUT /admin/vms of the fake
// platform.
type VMsReply struct {
	VMs []VM `json:"vms"`
}
