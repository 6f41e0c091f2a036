// Package workload generates reproducible requests from a seed. Their prompts
// share long nested prefixes: a prompt consists of text shared by the client
// account, text shared by a category of documents, the text of one document, and
// a short question that is unique to the request.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Account describes a client account and its share of the traffic.
type Account struct {
	Name string
	Key  string
	// Share is the account's share of the requests, relative to the sum of all
	// accounts' shares.
	Share float64
}

// Config describes a workload. Equal configurations generate equal requests.
type Config struct {
	Seed     uint64
	Accounts []Account
	Model    string
	// Documents is the number of documents of each account. Accounts share no
	// document text.
	Documents int
	// Categories is the number of document categories of each account.
	Categories int
	// ZipfExponent is the exponent of the Zipf distribution of documents. It must
	// be greater than 1.
	ZipfExponent float64
	// BlockBytes is the size of a cache block in bytes of the prompt.
	BlockBytes int
	// MinBlocks and MaxBlocks are the bounds for the length of a prompt's shared
	// part, in cache blocks.
	MinBlocks, MaxBlocks int
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// ShiftInterval is the interval after which other documents become the most
	// popular ones. 0 disables the shift.
	ShiftInterval time.Duration
	MaxTokens     int
}

// DefaultConfig returns a configuration with the characteristics of the users'
// workloads.
func DefaultConfig(seed uint64, accounts []Account, model string, blockBytes int) Config {
	return Config{
		Seed:              seed,
		Accounts:          accounts,
		Model:             model,
		Documents:         600,
		Categories:        6,
		ZipfExponent:      1.1,
		BlockBytes:        blockBytes,
		MinBlocks:         5,
		MaxBlocks:         9,
		RequestsPerSecond: 10,
		ShiftInterval:     20 * time.Second,
		MaxTokens:         48,
	}
}

// Request is one request of a workload.
type Request struct {
	Number int
	// ArrivalTime is the arrival time, relative to the start of the workload.
	ArrivalTime time.Duration
	Account     Account
	Model       string
	Prompt      string
	MaxTokens   int
	// Document is the index of the document that the prompt refers to.
	Document int
}

// Generator generates the requests of one workload in order of arrival. It is not
// safe for concurrent use.
type Generator struct {
	config     Config
	random     *rand.Rand
	zipf       *rand.Zipf
	nextNumber int
	elapsed    time.Duration
	totalShare float64
	blockTexts map[uint64]string
}

// New returns a Generator for the given configuration.
func New(config Config) *Generator {
	random := rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15))
	g := &Generator{
		config:     config,
		random:     random,
		zipf:       rand.NewZipf(random, config.ZipfExponent, 1, uint64(config.Documents-1)),
		blockTexts: make(map[uint64]string),
	}
	for _, account := range config.Accounts {
		g.totalShare += account.Share
	}
	return g
}

// Next returns the next request. Arrivals form a Poisson process.
func (g *Generator) Next() Request {
	g.elapsed += time.Duration(g.random.ExpFloat64() / g.config.RequestsPerSecond * float64(time.Second))
	account := g.pickAccount()
	document := g.pickDocument()
	request := Request{
		Number:      g.nextNumber,
		ArrivalTime: g.elapsed,
		Account:     account,
		Model:       g.config.Model,
		Prompt:      g.buildPrompt(account.Name, document),
		MaxTokens:   g.config.MaxTokens,
		Document:    document,
	}
	g.nextNumber++
	return request
}

func (g *Generator) pickAccount() Account {
	remaining := g.random.Float64() * g.totalShare
	for _, account := range g.config.Accounts {
		if remaining < account.Share {
			return account
		}
		remaining -= account.Share
	}
	return g.config.Accounts[len(g.config.Accounts)-1]
}

// pickDocument draws a popularity rank and maps it to a document. The mapping
// changes with each shift.
func (g *Generator) pickDocument() int {
	rank := int(g.zipf.Uint64())
	if g.config.ShiftInterval <= 0 {
		return rank
	}
	shiftCount := int(g.elapsed / g.config.ShiftInterval)
	const stride = 37
	return (rank + shiftCount*stride) % g.config.Documents
}

// buildPrompt returns a prompt that consists of the nested shared parts and a
// question unique to the request.
func (g *Generator) buildPrompt(account string, document int) string {
	possibleLengths := g.config.MaxBlocks - g.config.MinBlocks + 1
	blockCount := g.config.MinBlocks + int(hashKey("length", account, document)%uint64(possibleLengths))
	category := document % g.config.Categories
	var prompt strings.Builder
	for level := range blockCount {
		switch level {
		case 0:
			prompt.WriteString(g.blockText(hashKey("account", account, 0)))
		case 1, 2:
			prompt.WriteString(g.blockText(hashKey("category", account, category*2+level)))
		default:
			prompt.WriteString(g.blockText(hashKey("document", account, document*64+level)))
		}
	}
	fmt.Fprintf(&prompt, "\nQuestion %d: what does the file say of item %d?", g.nextNumber, g.random.IntN(1000))
	return prompt.String()
}

// blockText returns the text of one cache block, which is determined by seed.
func (g *Generator) blockText(seed uint64) string {
	if text, ok := g.blockTexts[seed]; ok {
		return text
	}
	random := rand.New(rand.NewPCG(seed, g.config.Seed))
	var text strings.Builder
	text.Grow(g.config.BlockBytes)
	for text.Len() < g.config.BlockBytes {
		fmt.Fprintf(&text, "%08x ", random.Uint32())
	}
	g.blockTexts[seed] = text.String()[:g.config.BlockBytes]
	return g.blockTexts[seed]
}

func hashKey(kind, account string, number int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", kind, account, number))
}

// RequestsBefore returns the requests that arrive before end, but at most limit of them.
func (g *Generator) RequestsBefore(end time.Duration, limit int) []Request {
	var requests []Request
	for len(requests) < limit {
		request := g.Next()
		if request.ArrivalTime >= end {
			break
		}
		requests = append(requests, request)
	}
	return requests
}
