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

// Bounds of the connections to peers.
const (
	maxIdlePeers   = 2048
	maxIdlePerPeer = 16
)

// agentWordFresh is how long an agent's own word on its state counts.
const agentWordFresh = 10 * time.Second

// shared holds what routers and agents have in common.
type shared struct {
	vm         config.VM
	bootID     uint64
	seeds      []string
	bundles    *bundle.Store
	directory  *schedule.Directory
	peers      *peer.Client
	peerServer *tls.Config
	platform   *platform.Client
	membership *membership.Runner
	sync       *bundlesync.Syncer
	metrics    *metrics.Metrics
	bus        *eventbus.Bus
}

func newShared(log *eventlog.Logger, process string, vm config.VM, peers config.Peers, platformSettings config.Platform, bundles config.Bundles) (*shared, error) {
	trust, err := NewTrust(bundles)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &shared{
		vm:        vm,
		bootID:    newBootID(),
		seeds:     peers.Seeds,
		bundles:   bundle.NewStore(trust, log),
		directory: schedule.NewDirectory(agentWordFresh),
		metrics:   metrics.New(process),
	}
	s.bus, err = newBus()
	if err != nil {
		return nil, errors.Trace(err)
	}
	handleBundleChanges(s.bus, s.metrics)
	clientTLS, err := s.peerTLS(peers.TLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.peers = peer.NewClient(peer.ClientOptions{
		DialTimeout:    time.Duration(peers.DialTimeout),
		IdleTimeout:    time.Duration(peers.IdleTimeout),
		MaxIdle:        maxIdlePeers,
		MaxIdlePerPeer: maxIdlePerPeer,
		TLS:            clientTLS,
	})
	platformConfig := platform.DefaultConfig(platformSettings.Address)
	platformConfig.CallTimeout = time.Duration(platformSettings.CallTimeout)
	s.platform = platform.NewClient(platformConfig)
	s.membership = membership.New(membership.Config{
		Lister: s.platform, Directory: s.directory, Peers: s.peers, Seeds: peers.Seeds,
		Period: time.Duration(platformSettings.ListPeriod), Origin: s.origin, Log: log,
	})
	s.sync = bundlesync.New(bundlesync.Config{
		Bundles: s.bundles, KVStore: s.platform, Peers: s.peers, Agents: s.agents, Origin: s.origin, Log: log,
	})
	return s, nil
}

// peerTLS fills in the server's half and returns the client's.
func (s *shared) peerTLS(files config.MutualTLS) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	pair, err := tlsfiles.Load(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server, client, err := pair.Mutual(files.CAFile)
	s.peerServer = server
	return client, errors.Trace(err)
}

// newBootID draws the number that tells this process from earlier ones.
func newBootID() uint64 {
	var id [8]byte
	// Read never fails; the runtime stops the process without randomness.
	_, _ = rand.Read(id[:])
	return binary.BigEndian.Uint64(id[:])
}

func (s *shared) origin() *peerpb.Origin {
	return &peerpb.Origin{VmId: s.vm.ID, BootId: s.bootID, BundleVersion: s.bundles.Version()}
}

// agents returns the addresses of other agents, seeds included.
func (s *shared) agents() []string {
	targets := s.directory.Targets()
	addresses := make([]string, 0, len(targets)+len(s.seeds))
	for i := range targets {
		if targets[i].VMID != s.vm.ID {
			addresses = append(addresses, targets[i].Address)
		}
	}
	if len(addresses) == 0 {
		addresses = append(addresses, s.seeds...)
	}
	return addresses
}

// addressOf returns the peer address of a VM.
func (s *shared) addressOf(vm string) (string, bool) {
	target, ok := s.directory.Lookup(vm)
	return target.Address, ok
}

func (s *shared) start(ctx context.Context) {
	go s.membership.Run(ctx)
	go s.sync.Run(ctx)
	go s.runBus(ctx)
	go publishBundleChanges(ctx, s.bus, s.bundles)
	go reportDrops(ctx, s.bus, s.metrics)
}

// runBus runs the event handlers; a bus that can't run breaks an invariant.
func (s *shared) runBus(ctx context.Context) {
	if err := s.bus.Run(ctx); err != nil {
		panic(err)
	}
}

func (s *shared) close() {
	_ = s.peers.Close()
	s.platform.Close()
	_ = s.metrics.Close()
}

// listen opens a listener, with TLS when the files are set.
func listen(address string, files config.TLS) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || files.CertFile == "" {
		return listener, errors.Trace(err)
	}
	pair, err := tlsfiles.Load(files.CertFile, files.KeyFile)
	if err != nil {
		_ = listener.Close()
		return nil, errors.Trace(err)
	}
	return tls.NewListener(listener, pair.Server()), nil
}
