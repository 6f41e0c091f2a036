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
	// importTimeout limits the duration of one import, including the lookup of the
	// source address.
	importTimeout = 500 * time.Millisecond
	// maxCachedAddresses limits the cache of engine addresses.
	maxCachedAddresses = 1024
	// maxConcurrentImports limits the imports in progress. Further prompts skip the
	// import, and the engine computes their blocks.
	maxConcurrentImports = 8
)

// agentBoot identifies one boot of an agent. It is the key of the address cache.
type agentBoot struct {
	vmID   string
	bootID uint64
}

// importer copies cache blocks from other engines to the agent's own engine. The
// cache salt binds the blocks to client account, model, adapter and weights
// version.
type importer struct {
	target     *Target
	peers      *peer.Client
	directory  *schedule.Directory
	log        *eventlog.Logger
	addresses  *lru.Cache[agentBoot, string]
	inProgress chan struct{}
}

func newImporter(target *Target, peers *peer.Client, directory *schedule.Directory, log *eventlog.Logger) *importer {
	addresses, err := lru.New[agentBoot, string](maxCachedAddresses)
	if err != nil {
		// lru.New fails only if the size is not positive.
		panic(err)
	}
	return &importer{
		target: target, peers: peers, directory: directory, log: log,
		addresses: addresses, inProgress: make(chan struct{}, maxConcurrentImports),
	}
}

// importBlocks imports the blocks that a dispatch requests. A failed import costs
// only time, since the engine computes the missing blocks.
func (i *importer) importBlocks(ctx context.Context, req *peerpb.DispatchRequest) {
	wanted := min(int(req.ImportBlocks), len(req.BlockHashes))
	started := time.Now()
	if req.ImportFromVmId == "" || i.peers == nil ||
		i.target.view.ExpectedPrefix(started, req.BlockHashes, req.WeightsVersion) >= wanted {
		return
	}
	select {
	case i.inProgress <- struct{}{}:
		defer func() { <-i.inProgress }()
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
	address, err := i.sourceAddress(ctx, req.ImportFromVmId)
	if err != nil {
		return 0, err
	}
	blocks, err := i.target.engine.ImportBlocks(ctx, engine.ImportRequest{
		SourceAddress: address, WeightsVersion: req.WeightsVersion, CacheSalt: req.CacheSalt, BlockHashes: hashes,
	})
	return blocks, errors.Trace(err)
}

// sourceAddress returns the address of another agent's engine. It queries each
// boot of that agent once and caches the result.
func (i *importer) sourceAddress(ctx context.Context, vmID string) (string, error) {
	member, ok := i.directory.Lookup(vmID)
	if !ok {
		return "", errors.NotFoundf("VM %q", vmID)
	}
	key := agentBoot{vmID: vmID, bootID: member.BootID}
	if address, ok := i.addresses.Get(key); ok {
		return address, nil
	}
	reply, err := i.peers.Agent(ctx, member.Address).Status(ctx, &peerpb.StatusRequest{})
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
	i.addresses.Add(key, status.EngineAddress)
	return status.EngineAddress, nil
}
