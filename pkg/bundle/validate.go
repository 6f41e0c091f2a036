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

// Bounds of a bundle's values.
const (
	MaxAccounts        = 4096
	MaxKeysPerAccount  = 16
	MaxModels          = 256
	MaxVersions        = 8
	MaxAdapters        = 256
	MaxRoutes          = 1024
	MaxNameBytes       = 128
	MaxCommentBytes    = 4096
	MaxRateTokens      = 1_000_000_000_000
	MaxWeight          = 1_000_000
	MaxBlockTokens     = 1 << 20
	MaxOutputTokens    = 1 << 20
	MaxPriority        = 1000
	MaxRouteTimeout    = Duration(24 * time.Hour)
	MaxConcurrentLoads = 4096
	saltBytes          = 32
	hashBytes          = 32
)

// Validate checks the whole bundle and returns every problem that it finds.
func Validate(b Bundle) []Problem {
	v := validator{}
	v.check(b.Version > 0, "version", b.Version, "1 or greater")
	v.check(utf8.ValidString(b.Comment) && len(b.Comment) <= MaxCommentBytes, "comment", b.Comment,
		fmt.Sprintf("UTF-8, at most %d bytes", MaxCommentBytes))
	v.hexadecimal("key_salt", b.KeySalt, saltBytes)
	v.count("accounts", len(b.Accounts), 0, MaxAccounts)
	v.count("models", len(b.Models), 0, MaxModels)
	v.count("routes", len(b.Routes), 0, MaxRoutes)
	v.accounts(b.Accounts)
	v.models(b.Models)
	v.routes(b)
	v.rollout(b.Rollout)
	return v.problems
}

type validator struct {
	problems []Problem
}

func (v *validator) check(ok bool, path string, found any, allowed string) {
	if ok {
		return
	}
	text := fmt.Sprint(found)
	if s, isString := found.(string); isString {
		text = fmt.Sprintf("%q", strictjson.TruncateValue([]byte(s)))
	}
	v.problems = append(v.problems, problem(path, text, allowed))
}

func (v *validator) count(path string, found, least, most int) {
	v.check(found >= least && found <= most, path, fmt.Sprintf("%d entries", found), fmt.Sprintf("%d to %d entries", least, most))
}

func (v *validator) whole(path string, found, least, most int64) {
	v.check(found >= least && found <= most, path, found, fmt.Sprintf("%d to %d", least, most))
}

func (v *validator) number(path string, found, least, most float64) {
	v.check(found >= least && found <= most, path, found, fmt.Sprintf("%g to %g", least, most))
}

func (v *validator) duration(path string, found, least, most Duration) {
	v.check(found >= least && found <= most, path, time.Duration(found),
		fmt.Sprintf("%v to %v", time.Duration(least), time.Duration(most)))
}

func (v *validator) hexadecimal(path, found string, size int) {
	raw, err := hex.DecodeString(found)
	v.check(err == nil && len(raw) == size && found == strings.ToLower(found), path, found,
		fmt.Sprintf("%d bytes in lower-case hexadecimal", size))
}

func (v *validator) name(path, found string) {
	bad := func(r rune) bool { return r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsPrint(r) }
	v.check(found != "" && len(found) <= MaxNameBytes && !strings.ContainsFunc(found, bad), path, found,
		fmt.Sprintf("1 to %d bytes, printable and without spaces", MaxNameBytes))
}

// unique reports a value that an earlier path has already.
func (v *validator) unique(seen map[string]string, path, found string) {
	earlier, repeated := seen[found]
	v.check(!repeated, path, found, "a value other than that of "+earlier)
	if !repeated {
		seen[found] = path
	}
}

func (v *validator) accounts(accounts []ClientAccount) {
	names, ids, hashes := map[string]string{}, map[string]string{}, map[string]string{}
	for i, account := range accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		v.name(path+".name", account.Name)
		v.unique(names, path+".name", account.Name)
		v.whole(path+".rate_tokens_per_second", account.RateTokensPerSecond, 1, MaxRateTokens)
		v.whole(path+".burst_tokens", account.BurstTokens, 1, MaxRateTokens)
		v.check(account.Weight > 0 && account.Weight <= MaxWeight, path+".weight", account.Weight,
			fmt.Sprintf("above 0 and at most %d", MaxWeight))
		v.count(path+".keys", len(account.Keys), 0, MaxKeysPerAccount)
		for j, key := range account.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			v.name(keyPath+".id", key.ID)
			v.unique(ids, keyPath+".id", key.ID)
			v.hexadecimal(keyPath+".hash", key.Hash, hashBytes)
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
		v.whole(path+".block_tokens", int64(model.BlockTokens), 1, MaxBlockTokens)
		v.number(path+".bytes_per_token", model.BytesPerToken, 0.1, 1024)
		v.whole(path+".max_output_tokens", int64(model.MaxOutputTokens), 1, MaxOutputTokens)
		v.count(path+".versions", len(model.Versions), 1, MaxVersions)
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
		v.count(versionPath+".adapters", len(version.Adapters), 0, MaxAdapters)
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
	v.whole("rollout.max_concurrent_loads", int64(r.MaxConcurrentLoads), 1, MaxConcurrentLoads)
	v.number("rollout.canary_share", r.CanaryShare, 0, 1)
	v.duration("rollout.canary_time", r.CanaryTime, 0, MaxRouteTimeout)
	v.number("rollout.max_error_ratio", r.MaxErrorRatio, 0, MaxWeight)
	v.number("rollout.max_first_token_ratio", r.MaxFirstTokenRatio, 0, MaxWeight)
	v.number("rollout.min_ready_share", r.MinReadyShare, 0, 1)
}
