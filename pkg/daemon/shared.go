package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/eventbus"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/membership"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/schedule"
	"github.com/baobabhub/baobabhub/pkg/tlsfiles"
)

// Limits for pooled idle connections to peers.
const (
	maxIdleConnections        = 2048
	maxIdleConnectionsPerPeer = 16
)

// agentReportTTL is the time after which an agent's report of its own state
// expires.
const agentReportTTL = 10 * time.Second

// components holds the components that both routers and agents use.
type components struct {
	vm            config.VM
	bootID        uint64
	seeds         []string
	bundles       *bundle.Store
	directory     *schedule.Directory
	peers         *peer.Client
	peerServerTLS *tls.Config
	platform      *platform.Client
	membership    *membership.Runner
	bundleSync    *bundlesync.Syncer
	metrics       *metrics.Metrics
	bus           *eventbus.Bus
}

func newComponents(log *eventlog.Logger, process string, vm config.VM, peers config.Peers, platformSettings config.Platform, bundles config.Bundles) (*components, error) {
	trust, err := NewTrust(bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &components{
		vm:        vm,
		bootID:    newBootID(),
		seeds:     peers.Seeds,
		bundles:   bundle.NewStore(trust, log),
		directory: schedule.NewDirectory(agentReportTTL),
		metrics:   metrics.New(process),
	}
	c.bus, err = newBus()
	if err != nil {
		return nil, errors.Trace(err)
	}
	registerBundleGauges(c.bus, c.metrics)
	clientTLS, err := c.loadPeerTLS(peers.TLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.peers = peer.NewClient(peer.ClientOptions{
		DialTimeout:    time.Duration(peers.DialTimeout),
		IdleTimeout:    time.Duration(peers.IdleTimeout),
		MaxIdle:        maxIdleConnections,
		MaxIdlePerPeer: maxIdleConnectionsPerPeer,
		TLS:            clientTLS,
	})
	platformConfig := platform.DefaultConfig(platformSettings.Address)
	platformConfig.CallTimeout = time.Duration(platformSettings.CallTimeout)
	c.platform = platform.NewClient(platformConfig)
	c.membership = membership.New(membership.Config{
		Lister: c.platform, Directory: c.directory, Peers: c.peers, Seeds: peers.Seeds,
		Period: time.Duration(platformSettings.ListPeriod), Origin: c.origin, Log: log,
	})
	c.bundleSync = bundlesync.New(bundlesync.Config{
		Bundles: c.bundles, KVStore: c.platform, Peers: c.peers, Agents: c.agentAddresses, Origin: c.origin, Log: log,
	})
	return c, nil
}

// loadPeerTLS loads the certificates for connections to peers. It sets
// peerServerTLS and returns the client configuration. Both are nil without
// certificate files.
func (c *components) loadPeerTLS(files config.MutualTLS) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	pair, err := tlsfiles.Load(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server, client, err := pair.MutualConfigs(files.CAFile)
	c.peerServerTLS = server
	return client, errors.Trace(err)
}

// newBootID returns a random number that distinguishes this process from earlier
// processes on the same VM.
func newBootID() uint64 {
	var id [8]byte
	// Read never returns an error; it crashes the process if no randomness is
	// available.
	_, _ = rand.Read(id[:])
	return binary.BigEndian.Uint64(id[:])
}

func (c *components) origin() *peerpb.Origin {
	return &peerpb.Origin{VmId: c.vm.ID, BootId: c.bootID, BundleVersion: c.bundles.Version()}
}

// agentAddresses returns the addresses of the other agents, or the seeds if none
// are known.
func (c *components) agentAddresses() []string {
	targets := c.directory.Targets()
	addresses := make([]string, 0, len(targets)+len(c.seeds))
	for i := range targets {
		if targets[i].VMID != c.vm.ID {
			addresses = append(addresses, targets[i].Address)
		}
	}
	if len(addresses) == 0 {
		addresses = append(addresses, c.seeds...)
	}
	return addresses
}

// peerAddress returns the address of a VM's peer listener, or false if it is not
// known.
func (c *components) peerAddress(vm string) (string, bool) {
	target, ok := c.directory.Lookup(vm)
	return target.Address, ok
}

func (c *components) start(ctx context.Context) {
	go c.membership.Run(ctx)
	go c.bundleSync.Run(ctx)
	go c.runBus(ctx)
	go publishBundleChanges(ctx, c.bus, c.bundles)
	go updateDroppedEventsGauges(ctx, c.bus, c.metrics)
}

// runBus runs the event handlers. It panics if the bus fails, for example because
// the topic of a handler is unknown: such an error is a programming error.
func (c *components) runBus(ctx context.Context) {
	if err := c.bus.Run(ctx); err != nil {
		panic(err)
	}
}

func (c *components) close() {
	_ = c.peers.Close()
	c.platform.Close()
	_ = c.metrics.Close()
}

// listen opens a TCP listener, with TLS if certificate files are set.
func listen(address string, files config.TLS) (net.Listener, error) {
	encryption, err := serverEncryption(files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil || encryption == nil {
		return listener, errors.Trace(err)
	}
	return tls.NewListener(listener, encryption), nil
}

// serverEncryption returns the TLS configuration of a listener, or nil if no certificate files
// are set.
func serverEncryption(files config.TLS) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	pair, err := tlsfiles.Load(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return pair.ServerConfig(), nil
}
