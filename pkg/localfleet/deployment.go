package localfleet

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Pool is a group of identical targets.
type Pool struct {
	Name        string
	Kind        config.TargetKind
	TargetCount int
	Models      []engine.LoadedModel
}

// Deployment describes the targets, client accounts and limits of a fleet.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Pools       []Pool
	Accounts    []workload.Account
	// RateTokensPerSecond and BurstTokens limit each client account.
	RateTokensPerSecond int64
	BurstTokens         int64
	Model               string
	WeightsVersion      string
	MaxConcurrentLoads  int
}

// SlotCount is the number of slots in a local fleet.
const SlotCount = 16

// Values shared by all deployments.
const (
	weightsVersion = "2026-11"
	bytesPerToken  = 4
	keySalt        = "6b657973616c746b657973616c746b657973616c746b657973616c746b657973"
)

// CooperativaDeployment returns the deployment of the salvage auction site.
func CooperativaDeployment() Deployment {
	return newDeployment("cooperativa", "mx-centro", "appraisal", 18, "bidding", 3, 3)
}

// BeaulieuDeployment returns the deployment of the balloon voucher site.
func BeaulieuDeployment() Deployment {
	return newDeployment("beaulieu", "quebec-est", "drafting", 12, "booking", 3, 2)
}

// SmallDeployment returns a minimal deployment for demonstrations and tests.
func SmallDeployment() Deployment {
	return newDeployment("demo", "local", "drafting", 3, "booking", 1, 1)
}

func newDeployment(name, region, enginePool string, engineCount int, servicePool string, serviceCount, maxConcurrentLoads int) Deployment {
	model := enginePool + "-model"
	return Deployment{
		Name:        name,
		Region:      region,
		DataCentres: []string{region + "-1", region + "-2", region + "-3"},
		Pools: []Pool{
			{Name: enginePool, Kind: config.TargetEngine, TargetCount: engineCount,
				Models: []engine.LoadedModel{{Model: model, WeightsVersion: weightsVersion}}},
			{Name: servicePool, Kind: config.TargetService, TargetCount: serviceCount},
		},
		Accounts: []workload.Account{
			{Name: "account-a", Key: "key-of-account-a", Share: 5},
			{Name: "account-b", Key: "key-of-account-b", Share: 4},
			{Name: "account-c", Key: "key-of-account-c", Share: 2},
			{Name: "account-d", Key: "key-of-account-d", Share: 1},
			{Name: "account-e", Key: "key-of-account-e", Share: 1},
		},
		RateTokensPerSecond: 2_000_000,
		BurstTokens:         4_000_000,
		Model:               model,
		WeightsVersion:      weightsVersion,
		MaxConcurrentLoads:  maxConcurrentLoads,
	}
}

// Bundle returns version 1 of the deployment's bundle.
func (d Deployment) Bundle(blockTokens int) bundle.Bundle {
	b := bundle.Bundle{
		Version: 1,
		KeySalt: keySalt,
		Models: []bundle.Model{{
			Name: d.Model, BlockTokens: blockTokens, BytesPerToken: bytesPerToken, MaxOutputTokens: 512,
			Versions: []bundle.ModelVersion{{WeightsVersion: d.WeightsVersion, Share: 1}},
		}},
		Routes: []bundle.Route{
			{Name: "prompts", Kind: bundle.RouteKindModel, Mode: bundle.RouteModeIdempotent, Model: d.Model, Pool: d.Pools[0].Name,
				Timeout: bundle.Duration(time.Minute), FirstTokenTimeout: bundle.Duration(20 * time.Second)},
			{Name: "lookups", Kind: bundle.RouteKindService, Mode: bundle.RouteModeIdempotent, Path: "/lookups", Pool: d.Pools[1].Name,
				Timeout: bundle.Duration(5 * time.Second), CostTokens: 1},
			{Name: "redemptions", Kind: bundle.RouteKindService, Mode: bundle.RouteModeOnce, Path: "/redemptions", Pool: d.Pools[1].Name,
				Timeout: bundle.Duration(5 * time.Second), CostTokens: 1, IdempotencyWindow: bundle.Duration(24 * time.Hour)},
		},
		Rollout: bundle.Rollout{
			MaxConcurrentLoads: d.MaxConcurrentLoads, CanaryShare: 0.1, CanaryTime: bundle.Duration(10 * time.Second),
			MaxErrorRatio: 1.5, MaxFirstTokenRatio: 1.5, MinReadyShare: 0.6,
		},
	}
	for _, account := range d.Accounts {
		hash, err := bundle.HashKey(keySalt, account.Key)
		if err != nil {
			// Unreachable: the salt is a valid constant.
			panic(err)
		}
		b.Accounts = append(b.Accounts, bundle.ClientAccount{
			Name: account.Name, RateTokensPerSecond: d.RateTokensPerSecond, BurstTokens: d.BurstTokens,
			Weight: 1, Keys: []bundle.Key{{ID: account.Name + "-1", Hash: hash}},
		})
	}
	return b
}

// BlockBytes returns the number of prompt bytes in a cache block of blockTokens
// tokens.
func BlockBytes(blockTokens int) int {
	return blockTokens * bytesPerToken
}
