package localfleet

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Pool is a group of equal targets.
type Pool struct {
	Name        string
	Kind        config.TargetKind
	TargetCount int
	Models      []engine.LoadedModel
}

// Deployment describes one site.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Pools       []Pool
	Accounts    []workload.Account
	// RateTokensPerSecond and BurstTokens bound each client account.
	RateTokensPerSecond int64
	BurstTokens         int64
	Model               string
	WeightsVersion      string
	MaxConcurrentLoads  int
}

// SlotCount is the number of slots of a local fleet.
const SlotCount = 16

// Names that all deployments share.
const (
	weightsVersion = "2026-11"
	bytesPerToken  = 4
	keySalt        = "6b657973616c746b657973616c746b657973616c746b657973616c746b657973"
)

// CooperativaDeployment returns the salvage auctions' site.
func CooperativaDeployment() Deployment {
	return site("cooperativa", "mx-centro", "appraisal", 18, "bidding", 3, 3)
}

// BeaulieuDeployment returns the balloon vouchers' site.
func BeaulieuDeployment() Deployment {
	return site("beaulieu", "quebec-est", "drafting", 12, "booking", 3, 2)
}

// SmallDeployment returns a site for a demonstration.
func SmallDeployment() Deployment {
	return site("demo", "local", "drafting", 3, "booking", 1, 1)
}

func site(name, region, modelPool string, engines int, servicePool string, services, loads int) Deployment {
	model := modelPool + "-model"
	return Deployment{
		Name:        name,
		Region:      region,
		DataCentres: []string{region + "-1", region + "-2", region + "-3"},
		Pools: []Pool{
			{Name: modelPool, Kind: config.TargetEngine, TargetCount: engines,
				Models: []engine.LoadedModel{{Model: model, WeightsVersion: weightsVersion}}},
			{Name: servicePool, Kind: config.TargetService, TargetCount: services},
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
		MaxConcurrentLoads:  loads,
	}
}

// Bundle returns the deployment's first bundle.
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
			// The salt is a constant of this package.
			panic(err)
		}
		b.Accounts = append(b.Accounts, bundle.ClientAccount{
			Name: account.Name, RateTokensPerSecond: d.RateTokensPerSecond, BurstTokens: d.BurstTokens,
			Weight: 1, Keys: []bundle.Key{{ID: account.Name + "-1", Hash: hash}},
		})
	}
	return b
}

// BlockBytes returns the size of a cache block in prompt bytes.
func BlockBytes(blockTokens int) int {
	return blockTokens * bytesPerToken
}
