package schedule

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

// hintsPerHash is the number of VMs stored per hash.
const hintsPerHash = 2

// HintTable stores the VMs that recently received a prompt prefix. It is soft
// state in bounded memory: a wrong hint costs one probe. It is not safe for
// concurrent use.
type HintTable struct {
	byHash *lru.Cache[uint64, [hintsPerHash]string]
}

// NewHintTable returns a table that holds at most entries hashes.
func NewHintTable(entries int) *HintTable {
	byHash, err := lru.New[uint64, [hintsPerHash]string](max(1, entries))
	if err != nil {
		panic(err)
	}
	return &HintTable{byHash: byHash}
}

// Record stores vmID as the latest VM that received a prompt with this chain.
func (t *HintTable) Record(chain []uint64, vmID string) {
	if len(chain) == 0 {
		return
	}
	deepest := chain[len(chain)-1]
	vms, _ := t.byHash.Get(deepest)
	if vms[0] == vmID {
		return
	}
	vms[1], vms[0] = vms[0], vmID
	t.byHash.Add(deepest, vms)
}

// Lookup returns at most n VM IDs for the chain, those of the deepest prefix first.
func (t *HintTable) Lookup(chain []uint64, n int) []string {
	var vmIDs []string
	for i := len(chain) - 1; i >= 0 && len(vmIDs) < n; i-- {
		vms, ok := t.byHash.Peek(chain[i])
		if !ok {
			continue
		}
		for _, vmID := range vms {
			if vmID != "" && len(vmIDs) < n && !slices.Contains(vmIDs, vmID) {
				vmIDs = append(vmIDs, vmID)
			}
		}
	}
	return vmIDs
}
