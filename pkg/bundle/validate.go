package bundle

import (
	"encoding/hex"
	"fmt"
	"github.com/baobabhub/baobabhub/pkg/strictjson"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits on the values in a bundle.
const (
	MaxAccounts           = 4096
	MaxKeysPerAccount     = 16
	MaxModels             = 256
	MaxVersionsPerModel   = 8
	MaxAdaptersPerVersion = 256
	MaxRoutes             = 1024
	MaxNameBytes          = 128
	MaxCommentBytes       = 4096
	MaxRateTokens         = 1_000_000_000_000
	MaxWeight             = 1_000_000
	MaxBlockTokens        = 1 << 20
	MaxOutputTokens       = 1 << 20
	MaxPriority           = 1000
	MaxRouteTimeout       = Duration(24 * time.Hour)
	MaxConcurrentLoads    = 4096
	saltBytes             = 32
	hashBytes             = 32
)

// Validate checks all values of a bundle and returns every problem.
func Validate(b Bundle) []Problem {
	v := validator{}
	v.check(b.Version > 0, "version", b.Version, "1 or greater")
	v.check(utf8.ValidString(b.Comment) && len(b.Comment) <= MaxCommentBytes, "comment", b.Comment,
		fmt.Sprintf("UTF-8, at most %d bytes", MaxCommentBytes))
	v.hexBytes("key_salt", b.KeySalt, saltBytes)
	v.count("accounts", len(b.Accounts), 0, MaxAccounts)
	v.count("models", len(b.Models), 0, MaxModels)
	v.count("routes", len(b.Routes), 0, MaxRoutes)
	v.accounts(b.Accounts)
	v.models(b.Models)
	v.routes(b)
	v.rollout(b.Rollout)
	return v.problems
}

// validator collects the problems found while validating one bundle.
type validator struct {
	problems []Problem
}

// check adds a problem unless ok is true.
func (v *validator) check(ok bool, path string, found any, allowed string) {
	if ok {
		return
	}
	text := fmt.Sprint(found)
	if s, isString := found.(string); isString {
		text = fmt.Sprintf("%q", strictjson.TruncateValue([]byte(s)))
	}
	v.problems = append(v.problems, newProblem(path, text, allowed))
}

func (v *validator) count(path string, length, minimum, maximum int) {
	v.check(length >= minimum && length <= maximum, path, fmt.Sprintf("%d entries", length), fmt.Sprintf("%d to %d entries", minimum, maximum))
}

func (v *validator) integer(path string, value, minimum, maximum int64) {
	v.check(value >= minimum && value <= maximum, path, value, fmt.Sprintf("%d to %d", minimum, maximum))
}

func (v *validator) number(path string, value, minimum, maximum float64) {
	v.check(value >= minimum && value <= maximum, path, value, fmt.Sprintf("%g to %g", minimum, maximum))
}

func (v *validator) duration(path string, value, minimum, maximum Duration) {
	v.check(value >= minimum && value <= maximum, path, time.Duration(value),
		fmt.Sprintf("%v to %v", time.Duration(minimum), time.Duration(maximum)))
}

func (v *validator) hexBytes(path, value string, size int) {
	raw, err := hex.DecodeString(value)
	v.check(err == nil && len(raw) == size && value == strings.ToLower(value), path, value,
		fmt.Sprintf("%d bytes in lower-case hexadecimal", size))
}

func (v *validator) name(path, value string) {
	invalid := func(r rune) bool { return r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsPrint(r) }
	v.check(value != "" && len(value) <= MaxNameBytes && !strings.ContainsFunc(value, invalid), path, value,
		fmt.Sprintf("1 to %d bytes, printable and without spaces", MaxNameBytes))
}

// unique adds a problem if value occurred before. seen maps each value to the path
// of its first occurrence.
func (v *validator) unique(seen map[string]string, path, value string) {
	firstPath, repeated := seen[value]
	v.check(!repeated, path, value, "a value other than that of "+firstPath)
	if !repeated {
		seen[value] = path
	}
}

func (v *validator) accounts(accounts []ClientAccount) {
	names, ids, hashes := map[string]string{}, map[string]string{}, map[string]string{}
	for i, account := range accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		v.name(path+".name", account.Name)
		v.unique(names, path+".name", account.Name)
		v.integer(path+".rate_tokens_per_second", account.RateTokensPerSecond, 1, MaxRateTokens)
		v.integer(path+".burst_tokens", account.BurstTokens, 1, MaxRateTokens)
		v.check(account.Weight > 0 && account.Weight <= MaxWeight, path+".weight", account.Weight,
			fmt.Sprintf("above 0 and at most %d", MaxWeight))
		v.count(path+".keys", len(account.Keys), 0, MaxKeysPerAccount)
		for j, key := range account.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			v.name(keyPath+".id", key.ID)
			v.unique(ids, keyPath+".id", key.ID)
			v.hexBytes(keyPath+".hash", key.Hash, hashBytes)
			v.unique(hashes, keyPath+".hash", key.Hash)
		}
	}
}

func (v *validator) models(models []Model) {
	names := map[string]string{}
	for i, model := range models {
		path := fmt.Sprintf("models[%d]", i)
		v.name(path+".name", model.Name)
		v.unique(names, path+".name", model.Name)
		v.integer(path+".block_tokens", int64(model.BlockTokens), 1, MaxBlockTokens)
		v.number(path+".bytes_per_token", model.BytesPerToken, 0.1, 1024)
		v.integer(path+".max_output_tokens", int64(model.MaxOutputTokens), 1, MaxOutputTokens)
		v.count(path+".versions", len(model.Versions), 1, MaxVersionsPerModel)
		v.versions(path, model.Versions)
	}
}

func (v *validator) versions(path string, versions []ModelVersion) {
	names, total := map[string]string{}, 0.0
	for i, version := range versions {
		versionPath := fmt.Sprintf("%s.versions[%d]", path, i)
		v.name(versionPath+".weights_version", version.WeightsVersion)
		v.unique(names, versionPath+".weights_version", version.WeightsVersion)
		v.number(versionPath+".share", version.Share, 0, MaxWeight)
		v.count(versionPath+".adapters", len(version.Adapters), 0, MaxAdaptersPerVersion)
		adapters := map[string]string{}
		for j, adapter := range version.Adapters {
			adapterPath := fmt.Sprintf("%s.adapters[%d]", versionPath, j)
			v.name(adapterPath, adapter)
			v.unique(adapters, adapterPath, adapter)
		}
		total += version.Share
	}
	v.check(len(versions) == 0 || total > 0, path+".versions", "a sum of shares of 0", "at least one share above 0")
}

func (v *validator) rollout(r Rollout) {
	v.integer("rollout.max_concurrent_loads", int64(r.MaxConcurrentLoads), 1, MaxConcurrentLoads)
	v.number("rollout.canary_share", r.CanaryShare, 0, 1)
	v.duration("rollout.canary_time", r.CanaryTime, 0, MaxRouteTimeout)
	v.number("rollout.max_error_ratio", r.MaxErrorRatio, 0, MaxWeight)
	v.number("rollout.max_first_token_ratio", r.MaxFirstTokenRatio, 0, MaxWeight)
	v.number("rollout.min_ready_share", r.MinReadyShare, 0, 1)
}
