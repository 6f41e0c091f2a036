package cli

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// workloadFile is the JSON content of a workload file.
type workloadFile struct {
	Seed     uint64            `json:"seed"`
	Accounts []workloadAccount `json:"accounts"`
	Model    string            `json:"model"`
	// Documents and Categories are the numbers of distinct documents and
	// categories.
	Documents  int `json:"documents"`
	Categories int `json:"categories"`
	// ZipfExponent is the exponent of the Zipf distribution of documents.
	ZipfExponent float64 `json:"zipf_exponent"`
	// BlockBytes is the size of a cache block in prompt bytes. The shared
	// prefix of a prompt is MinBlocks to MaxBlocks blocks long.
	BlockBytes int                 `json:"block_bytes"`
	MinBlocks  int                 `json:"min_blocks"`
	MaxBlocks  int                 `json:"max_blocks"`
	ShiftEvery strictjson.Duration `json:"shift_every"`
	MaxTokens  int                 `json:"max_tokens"`
}

// workloadAccount is a client account with its share of the traffic.
type workloadAccount struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Share float64 `json:"share"`
}

// defaultBlockBytes is the size of a cache block of 2,000 tokens of 4 bytes
// each.
const defaultBlockBytes = 8000

// defaultWorkload returns a workload without API keys, for routes that need
// none.
func defaultWorkload() workloadFile {
	defaults := workload.DefaultConfig(1, nil, "", defaultBlockBytes)
	return workloadFile{
		Seed: defaults.Seed, Accounts: []workloadAccount{{Name: "open", Share: 1}},
		Documents: defaults.Documents, Categories: defaults.Categories, ZipfExponent: defaults.ZipfExponent,
		BlockBytes: defaults.BlockBytes, MinBlocks: defaults.MinBlocks, MaxBlocks: defaults.MaxBlocks,
		ShiftEvery: strictjson.Duration(defaults.ShiftInterval), MaxTokens: defaults.MaxTokens,
	}
}

// loadWorkload reads a workload file; fields that it omits keep their default
// values. Since the file may contain API keys, only its owner may have access
// to it, and errors never include its content.
func loadWorkload(path string) (workloadFile, error) {
	settings := defaultWorkload()
	info, err := os.Stat(path)
	if err != nil {
		return settings, usageError{err}
	}
	if mode := info.Mode().Perm(); mode&nonOwnerPermissions != 0 {
		return settings, usageError{errors.Errorf("%s: mode %04o lets others read the keys in it: chmod 600", path, mode)}
	}
	data, err := readFile(path)
	if err != nil {
		return settings, err
	}
	problems := strictjson.Decode(data, &settings)
	for i := range problems {
		problems[i].Found = "a value that isn't shown"
	}
	if len(problems) > 0 {
		return settings, usageError{errors.Errorf("%s: problems: %d\n%s", path, len(problems), strictjson.FormatProblems(problems))}
	}
	return settings, nil
}

// Limits of a workload.
const (
	maxWorkloadBlocks = 64
	maxWorkloadBytes  = 1 << 20
	maxDocuments      = 1_000_000
)

// generatorConfig validates the workload and returns the generator's
// configuration for it.
func (f workloadFile) generatorConfig(rate float64) (workload.Config, error) {
	var totalShare float64
	accounts := make([]workload.Account, 0, len(f.Accounts))
	for _, account := range f.Accounts {
		if account.Share < 0 {
			return workload.Config{}, usageError{errors.New("accounts: want shares of 0 or more")}
		}
		totalShare += account.Share
		accounts = append(accounts, workload.Account(account))
	}
	switch {
	case f.Model == "":
		return workload.Config{}, usageError{errors.New("model: want a name, in the workload file or as --model")}
	case totalShare <= 0:
		return workload.Config{}, usageError{errors.New("accounts: want at least one share above 0")}
	case f.Documents < 1 || f.Documents > maxDocuments || f.Categories < 1 || f.MaxTokens < 1 || f.ZipfExponent <= 1:
		return workload.Config{}, usageError{errors.Errorf(
			"want documents 1 to %d, categories and max_tokens 1 or more, zipf_exponent above 1", maxDocuments)}
	case f.MinBlocks < 1 || f.MaxBlocks < f.MinBlocks || f.MaxBlocks > maxWorkloadBlocks:
		return workload.Config{}, usageError{errors.Errorf("want min_blocks 1 or more and max_blocks from there to %d", maxWorkloadBlocks)}
	case f.BlockBytes < 1 || f.BlockBytes*f.MaxBlocks > maxWorkloadBytes:
		return workload.Config{}, usageError{errors.Errorf("want block_bytes × max_blocks of 1 to %d", maxWorkloadBytes)}
	}
	return workload.Config{
		Seed: f.Seed, Accounts: accounts, Model: f.Model, Documents: f.Documents, Categories: f.Categories,
		ZipfExponent: f.ZipfExponent, BlockBytes: f.BlockBytes, MinBlocks: f.MinBlocks, MaxBlocks: f.MaxBlocks,
		RequestsPerSecond: rate, ShiftInterval: time.Duration(f.ShiftEvery), MaxTokens: f.MaxTokens,
	}, nil
}
