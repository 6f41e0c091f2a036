// Package entry implements the process on an entry VM. It serves callers
// through the relay and keeps the relay's state up to date from the platform's
// store and from its peers. One of the processes, elected through a lease, also
// sends load orders to the engines.
package entry

import (
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Settings holds the settings of an entry process.
type Settings struct {
	// VM is the name of the VM.
	VM         string
	DataCentre string
	// CPUShare is the VM's share of a processor core; 0 if it is not known.
	CPUShare float64
	// IP is the VM's address.
	IP string
	// CallerAddress and ReadyAddress are the host:port that serve callers and the
	// load balancer's readiness checks.
	CallerAddress string
	ReadyAddress  string
	// PeerPort is the UDP port for messages from the other entry processes.
	PeerPort int
	// MetricsPort is the port that serves metrics; 0 disables them.
	MetricsPort int
	// StoreAddress is the host:port of the platform's store.
	StoreAddress string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	// MemoryBytes is the process's memory limit; 0 sets none.
	MemoryBytes int64
	// MaxDescriptors is the process's limit on open descriptors; 0 if it is not known.
	MaxDescriptors int
	// MaxCallerConns is the largest number of connections of callers; 0 derives it from
	// MaxDescriptors and MemoryBytes.
	MaxCallerConns int
	// CallerMemoryShare is the share of MemoryBytes that callers and responses may use
	// together; 0 means the default.
	CallerMemoryShare float64
	// CallerWriteTimeout is the longest time in which a caller has to read each 16 KiB of a
	// response; 0 means the default.
	CallerWriteTimeout time.Duration
	// LeaseTTL is the time to live of the process's lease in the store.
	LeaseTTL time.Duration
	// StopGrace is the time between the stop signal and the kill signal.
	StopGrace time.Duration
	// LeaveNotice is the time for which a stopping process still accepts
	// connections, so that the load balancer can detect that it is not ready.
	LeaveNotice time.Duration
	// VersionDeadline is the time after the announcement of newer weights within
	// which a request may still start on older ones.
	VersionDeadline time.Duration
	// DrainBound is the time after a target has reported that it is draining
	// within which requests may still be sent to it.
	DrainBound time.Duration
	// ReportInterval is the interval at which targets report to the registry; 0 means the default.
	ReportInterval time.Duration
	// RetryRatio is the number of retries that the retry budget gains with each
	// request. RetryBurst is the number of retries, over the whole fleet, that
	// are allowed in addition.
	RetryRatio float64
	RetryBurst float64
	// VersionRollouts makes the system carry out the operators' orders to move a
	// service to another software version. ExposureShare is the largest share of the
	// service's requests that a faulty version may receive, ExposureSlack the number of
	// requests allowed in addition, which cover those before the order is known, and RollbackTime the time after enough evidence
	// within which a faulty version must receive no more requests.
	VersionRollouts bool
	ExposureShare   float64
	ExposureSlack   int64
	RollbackTime    time.Duration
	// OverloadControl makes the process hold back or refuse requests that the engines
	// of a service can't serve in time.
	OverloadControl bool
	// HedgeShare is the largest share of a service's requests that may be sent a second
	// time because the first response is late; 0 disables hedging.
	HedgeShare float64
}

// maxHedgeShare is the largest allowed HedgeShare.
const maxHedgeShare = 0.2

// Defaults of optional settings.
const (
	defaultLeaseTTL        = 3 * time.Second
	defaultStopGrace       = 8 * time.Second
	defaultLeaveNotice     = 2500 * time.Millisecond
	defaultVersionDeadline = 6 * time.Second
	defaultDrainBound      = 2 * time.Second
)

// Check fills in the defaults of optional settings and returns an error that
// lists all settings that are missing or out of range.
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
	if s.DrainBound <= 0 {
		s.DrainBound = defaultDrainBound
	}
	if s.ReportInterval <= 0 {
		s.ReportInterval = fleet.DefaultReportInterval
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
	require(s.RetryRatio >= 0 && s.RetryBurst >= 0, "the retry budget is negative")
	require(s.MaxDescriptors >= 0 && s.MaxCallerConns >= 0 && s.CallerWriteTimeout >= 0, "a limit of callers is negative")
	require(s.CallerMemoryShare >= 0 && s.CallerMemoryShare <= memoryLimitFraction, "the share of memory for callers is out of range")
	require(s.ExposureShare >= 0 && s.ExposureShare <= 1 && s.ExposureSlack >= 0 && s.RollbackTime >= 0, "the exposure of a new software version is out of range")
	require(!s.VersionRollouts || (s.ExposureShare > 0 && s.RollbackTime > 0), "rollouts of software versions need an exposure share and a time to roll back")
	require(s.HedgeShare >= 0 && s.HedgeShare <= maxHedgeShare, "the share of hedged requests is out of range")
	if len(problems) == 0 {
		return nil
	}
	return errors.NotValidf("settings: %q", problems)
}
