package agent

import (
	"context"
	"encoding/json"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

const (
	// importTimeout bounds one import, the question for its source included.
	importTimeout = 500 * time.Millisecond
	// maxSources bounds the remembered engine addresses.
	maxSources = 1024
	// maxImports bounds the imports in progress; further prompts compute.
	maxImports = 8
)

// sourceKey names one boot of an agent.
type sourceKey struct {
	vmID   string
	bootID uint64
}

// importer copies cache blocks from other engines to the agent's own. The salt
// binds them to client account, model, adapter and weights version.
type importer struct {
	target    *Target
	peers     *peer.Client
	directory *schedule.Directory
	log       *eventlog.Logger
	sources   *lru.Cache[sourceKey, string]
	places    chan struct{}
}

func newImporter(target *Target, peers *peer.Client, directory *schedule.Directory, log *eventlog.Logger) *importer {
	sources, err := lru.New[sourceKey, string](maxSources)
	if err != nil {
		// The size is a positive constant of this package.
		panic(err)
	}
	return &importer{
		target: target, peers: peers, directory: directory, log: log,
		sources: sources, places: make(chan struct{}, maxImports),
	}
}

// fetch imports the blocks that a dispatch asks for. A failed import costs its
// time alone: the engine computes what is missing.
func (i *importer) fetch(ctx context.Context, req *peerpb.DispatchRequest) {
	wanted := min(int(req.ImportBlocks), len(req.BlockHashes))
	started := time.Now()
	if req.ImportFromVmId == "" || i.peers == nil ||
		i.target.view.ExpectedPrefix(started, req.BlockHashes, req.WeightsVersion) >= wanted {
		return
	}
	select {
	case i.places <- struct{}{}:
		defer func() { <-i.places }()
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	hashes := req.BlockHashes[:wanted]
	blocks, err := i.copyFrom(ctx, req, hashes)
	if err != nil {
		i.log.Log(eventlog.ImportFailed, "request_id", req.RequestId, "from", req.ImportFromVmId, "err", err.Error())
		return
	}
	i.target.view.RecordDispatch(time.Now(), hashes[:min(blocks, wanted)], req.WeightsVersion)
	i.log.Log(eventlog.BlocksImported, "request_id", req.RequestId, "from", req.ImportFromVmId,
		"blocks", blocks, "wanted", wanted, "took_us", time.Since(started).Microseconds())
}

func (i *importer) copyFrom(ctx context.Context, req *peerpb.DispatchRequest, hashes []uint64) (int, error) {
	address, err := i.source(ctx, req.ImportFromVmId)
	if err != nil {
		return 0, err
	}
	blocks, err := i.target.engine.Import(ctx, engine.Transfer{
		SourceAddress: address, WeightsVersion: req.WeightsVersion, CacheSalt: req.CacheSalt, BlockHashes: hashes,
	})
	return blocks, errors.Trace(err)
}

// source returns the address of the engine beside another agent. It is asked
// for once in each boot of that agent.
func (i *importer) source(ctx context.Context, vmID string) (string, error) {
	known, ok := i.directory.Lookup(vmID)
	if !ok {
		return "", errors.NotFoundf("VM %q", vmID)
	}
	key := sourceKey{vmID: vmID, bootID: known.BootID}
	if address, ok := i.sources.Get(key); ok {
		return address, nil
	}
	reply, err := i.peers.Agent(ctx, known.Address).Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return "", errors.Trace(err)
	}
	var status Status
	if err := json.Unmarshal(reply.Status, &status); err != nil {
		return "", errors.Trace(err)
	}
	if status.EngineAddress == "" {
		return "", errors.NotFoundf("engine of VM %q", vmID)
	}
	i.sources.Add(key, status.EngineAddress)
	return status.EngineAddress, nil
}
