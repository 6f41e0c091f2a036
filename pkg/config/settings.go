// Package config defines the static settings of the daemons. They are read from
// JSON files, which are validated completely before a process starts. Settings
// that operators change at run time are in bundles instead.
package config

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms".
type Duration = strictjson.Duration

// Problem describes one invalid setting and its path.
type Problem = strictjson.Problem

// VM identifies the VM that a process runs on.
type VM struct {
	ID         string `json:"id" doc:"Unique name of the VM, as in the platform's list."`
	Region     string `json:"region" doc:"Region of the VM."`
	DataCentre string `json:"data_centre" doc:"Data centre of the VM."`
}

// TLS holds the certificate files of a listener. Replaced files are reloaded
// without a restart.
type TLS struct {
	CertFile string `json:"cert_file" doc:"PEM certificate chain; empty for no TLS."`
	KeyFile  string `json:"key_file" doc:"PEM private key of the certificate."`
}

// MutualTLS holds the certificate files for connections between routers and
// agents.
type MutualTLS struct {
	CertFile string `json:"cert_file" doc:"PEM certificate chain of this process; empty for no TLS."`
	KeyFile  string `json:"key_file" doc:"PEM private key of the certificate."`
	CAFile   string `json:"ca_file" doc:"PEM certificates that sign the peers' certificates."`
}

// CallerListener configures a router's listener for callers and the limits on
// their requests.
type CallerListener struct {
	Address       string   `json:"address" doc:"IP address and port of the callers' listener."`
	TLS           TLS      `json:"tls"`
	MaxBodyBytes  int64    `json:"max_body_bytes" doc:"Largest request body, in bytes." min:"1024" max:"67108864"`
	MaxConcurrent int      `json:"max_concurrent" doc:"Requests in progress at most." min:"1" max:"100000"`
	HeaderTimeout Duration `json:"header_timeout" doc:"Longest time to read a request's headers." min:"100ms" max:"1m"`
	BodyTimeout   Duration `json:"body_timeout" doc:"Longest time to read a request's body." min:"100ms" max:"5m"`
	WriteTimeout  Duration `json:"write_timeout" doc:"Longest time for one write of an answer." min:"100ms" max:"5m"`
}

// OperatorListener configures the listener that serves status, metrics and
// bundles to operators.
type OperatorListener struct {
	Address string `json:"address" doc:"IP address and port of the operators' listener; empty for none."`
	TLS     TLS    `json:"tls"`
}

// Platform configures access to the platform's services.
type Platform struct {
	Address     string   `json:"address" doc:"IP address and port of the key-value service and the VM list."`
	CallTimeout Duration `json:"call_timeout" doc:"Longest time for one call." min:"10ms" max:"1m"`
	ListPeriod  Duration `json:"list_period" doc:"Time between looks at the VM list." min:"100ms" max:"5m"`
}

// TrustedKey is an operator's public key.
type TrustedKey struct {
	ID        string `json:"id" doc:"Name of the operator's key."`
	PublicKey string `json:"public_key" doc:"Ed25519 public key, 32 bytes in hexadecimal."`
}

// Bundles configures which bundles a process accepts.
type Bundles struct {
	TrustedKeys  []TrustedKey `json:"trusted_keys" doc:"Public keys of the operators who sign and approve bundles."`
	MinApprovals int          `json:"min_approvals" doc:"Approvals that a bundle needs besides its signature." min:"0" max:"10"`
}

// Peers configures the connections between routers and agents.
type Peers struct {
	TLS         MutualTLS `json:"tls"`
	Seeds       []string  `json:"seeds" doc:"Agents to ask for members and bundles at the start: IP addresses and ports."`
	DialTimeout Duration  `json:"dial_timeout" doc:"Longest time to connect." min:"10ms" max:"1m"`
	IdleTimeout Duration  `json:"idle_timeout" doc:"Time after which an unused connection is closed." min:"1s" max:"1h"`
}

// Slots configures slot ownership. All agents of a fleet must have the same
// values.
type Slots struct {
	Count    int      `json:"count" doc:"Number of slots; never changed while the fleet runs." min:"1" max:"1024"`
	LeaseTTL Duration `json:"lease_ttl" doc:"Time after which an owner that is not heard of loses its slots." min:"500ms" max:"1m"`
}

// TargetKind is the kind of a target.
type TargetKind string

// Kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target configures the target that an agent serves.
type Target struct {
	Kind           TargetKind `json:"kind" doc:"Kind of the target: engine or service." oneof:"engine service"`
	Address        string     `json:"address" doc:"IP address and port of the target."`
	Pool           string     `json:"pool" doc:"Pool that the target belongs to, as routes name it."`
	SilenceTimeout Duration   `json:"silence_timeout" doc:"Longest time without a chunk, event or heartbeat of the engine." min:"100ms" max:"1m"`
	CallTimeout    Duration   `json:"call_timeout" doc:"Longest time for a short call of the engine." min:"10ms" max:"1m"`
}

// Router holds the settings of baobab-router.
type Router struct {
	VM            VM               `json:"vm"`
	Callers       CallerListener   `json:"callers"`
	Operators     OperatorListener `json:"operators"`
	Peers         Peers            `json:"peers"`
	Platform      Platform         `json:"platform"`
	Bundles       Bundles          `json:"bundles"`
	SlotCount     int              `json:"slot_count" doc:"Number of slots, as on the agents." min:"1" max:"1024"`
	MaxDispatches int              `json:"max_dispatches" doc:"Dispatches of one request at most." min:"1" max:"16"`
	LeaveNotice   Duration         `json:"leave_notice" doc:"Time that a planned stop goes on taking requests while balancers and callers turn away." min:"0s" max:"5m"`
	DrainTimeout  Duration         `json:"drain_timeout" doc:"Longest time that a planned stop waits for requests." min:"1s" max:"1h"`
}

// Agent holds the settings of baobab-agent.
type Agent struct {
	VM           VM               `json:"vm"`
	PeerAddress  string           `json:"peer_address" doc:"IP address and port of the peers' listener."`
	Target       Target           `json:"target"`
	Operators    OperatorListener `json:"operators"`
	Peers        Peers            `json:"peers"`
	Platform     Platform         `json:"platform"`
	Bundles      Bundles          `json:"bundles"`
	Slots        Slots            `json:"slots"`
	DrainTimeout Duration         `json:"drain_timeout" doc:"Longest time that a planned stop waits for answers." min:"1s" max:"1h"`
}

// DefaultRouter returns the default settings of a router.
func DefaultRouter() Router {
	return Router{
		Callers: CallerListener{
			Address:       "127.0.0.1:8080",
			MaxBodyBytes:  8 << 20,
			MaxConcurrent: 2000,
			HeaderTimeout: Duration(5 * time.Second),
			BodyTimeout:   Duration(10 * time.Second),
			WriteTimeout:  Duration(10 * time.Second),
		},
		Peers:         defaultPeers(),
		Platform:      defaultPlatform(),
		SlotCount:     defaultSlotCount,
		MaxDispatches: 4,
		LeaveNotice:   Duration(5 * time.Second),
		DrainTimeout:  Duration(2 * time.Minute),
	}
}

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() Agent {
	return Agent{
		Target: Target{
			Kind:           TargetEngine,
			SilenceTimeout: Duration(time.Second),
			CallTimeout:    Duration(2 * time.Second),
		},
		Peers:        defaultPeers(),
		Platform:     defaultPlatform(),
		Slots:        Slots{Count: defaultSlotCount, LeaseTTL: Duration(3 * time.Second)},
		DrainTimeout: Duration(2 * time.Minute),
	}
}

const defaultSlotCount = 16

func defaultPeers() Peers {
	return Peers{DialTimeout: Duration(500 * time.Millisecond), IdleTimeout: Duration(time.Minute)}
}

func defaultPlatform() Platform {
	return Platform{CallTimeout: Duration(2 * time.Second), ListPeriod: Duration(5 * time.Second)}
}
