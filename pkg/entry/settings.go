// Package entry is the process on an entry VM: it serves callers through the
// relay and keeps what the relay needs up to date from the platform's store and
// from its peers. One of the processes, elected through a lease, also gives the
// engines their orders.
package entry

import (
	"time"

	"github.com/juju/errors"
)

// Settings are an entry process's settings.
type Settings struct {
	// VM names the machine.
	VM         string
	DataCentre string
	// IP is the machine's address.
	IP string
	// CallerAddress and ReadyAddress are the host:port for callers and for the
	// balancer's readiness checks.
	CallerAddress string
	ReadyAddress  string
	// PeerPort is the UDP port for the other entry processes.
	PeerPort int
	// MetricsPort serves the metrics; 0 serves none.
	MetricsPort int
	// StoreAddress is the host:port of the platform's store.
	StoreAddress string
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// MemoryBytes is the most memory that the process may use.
	MemoryBytes int64
	// LeaseTTL is the time to live of the process's lease in the store.
	LeaseTTL time.Duration
	// StopGrace is the time between a stop signal and the kill.
	StopGrace time.Duration
	// LeaveNotice is how long a stopping process still takes new connections,
	// so that the balancer has noticed.
	LeaveNotice time.Duration
	// VersionDeadline is how long after newer weights were named a request may
	// begin on older ones.
	VersionDeadline time.Duration
	// RetryRatio is the number of repeated sends that each request allows, and
	// RetrySlack those allowed besides, over the whole fleet.
	RetryRatio float64
	RetrySlack float64
}

// Defaults for settings that may be missing.
const (
	defaultLeaseTTL    = 3 * time.Second
	defaultStopGrace   = 8 * time.Second
	defaultLeaveNotice = 2500 * time.Millisecond
	// defaultVersionDeadline is used when the settings name none.
	defaultVersionDeadline = 6 * time.Second
)

// Check reports all settings that are missing or out of bounds, and fills in
// defaults.
func (s *Settings) Check() error {
	if s.LeaseTTL <= 0 {
		s.LeaseTTL = defaultLeaseTTL
	}
	if s.StopGrace <= 0 {
		s.StopGrace = defaultStopGrace
	}
	if s.LeaveNotice <= 0 {
		s.LeaveNotice = defaultLeaveNotice
	}
	if s.VersionDeadline <= 0 {
		s.VersionDeadline = defaultVersionDeadline
	}
	var problems []string
	require := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	require(s.VM != "", "the VM's name is missing")
	require(s.IP != "", "the IP is missing")
	require(s.CallerAddress != "", "the address for callers is missing")
	require(s.ReadyAddress != "", "the address for readiness checks is missing")
	require(s.StoreAddress != "", "the store's address is missing")
	require(s.PeerPort > 0 && s.PeerPort < 1<<16, "the peer port is missing or out of range")
	require(s.RetryRatio >= 0 && s.RetrySlack >= 0, "the retry budget is negative")
	if len(problems) == 0 {
		return nil
	}
	return errors.NotValidf("settings: %q", problems)
}
