// Package workload makes seeded requests with long nested shared prompts: a
// part shared by a client account, one shared by a category of documents, one
// for each document, and a short question of its own.
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Account is one client account's part of the traffic.
type Account struct {
	Name string
	Key  string
	// Share of the arrivals, relative to the other accounts.
	Share float64
}

// Config describes a workload. All requests follow from it.
type Config struct {
	Seed     uint64
	Accounts []Account
	Model    string
	// Documents is the number of distinct documents over all accounts.
	Documents int
	// Categories is the number of categories in each account.
	Categories int
	// ZipfExponent skews the choice of documents; above 1.
	ZipfExponent float64
	// BlockBytes is the size of a cache block in prompt bytes.
	BlockBytes int
	// MinBlocks and MaxBlocks bound the shared part of a prompt.
	MinBlocks, MaxBlocks int
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64
	// ShiftInterval is the time after which other documents are the hot ones; 0
	// for never.
	ShiftInterval time.Duration
	MaxTokens     int
}

// DefaultConfig returns the shape of the users' workloads.
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

// Request is one arrival.
type Request struct {
	Number int
	// ArrivalTime is the time from the workload's start.
	ArrivalTime time.Duration
	Account     Account
	Model       string
	Prompt      string
	MaxTokens   int
	// Document names the document asked about.
	Document int
}

// Generator makes the requests of one workload in order of arrival. It is not
// safe for concurrent use.
type Generator struct {
	config Config
	random *rand.Rand
	zipf   *rand.Zipf
	number int
	at     time.Duration
	shares float64
	texts  map[uint64]string
}

// New returns a Generator.
func New(config Config) *Generator {
	random := rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15))
	g := &Generator{
		config: config,
		random: random,
		zipf:   rand.NewZipf(random, config.ZipfExponent, 1, uint64(config.Documents-1)),
		texts:  make(map[uint64]string),
	}
	for _, account := range config.Accounts {
		g.shares += account.Share
	}
	return g
}

// Next returns the next arrival.
func (g *Generator) Next() Request {
	g.at += time.Duration(g.random.ExpFloat64() / g.config.RequestsPerSecond * float64(time.Second))
	account := g.account()
	document := g.document()
	request := Request{
		Number:      g.number,
		ArrivalTime: g.at,
		Account:     account,
		Model:       g.config.Model,
		Prompt:      g.prompt(account.Name, document),
		MaxTokens:   g.config.MaxTokens,
		Document:    document,
	}
	g.number++
	return request
}

func (g *Generator) account() Account {
	at := g.random.Float64() * g.shares
	for _, account := range g.config.Accounts {
		if at < account.Share {
			return account
		}
		at -= account.Share
	}
	return g.config.Accounts[len(g.config.Accounts)-1]
}

// document draws a rank and maps it to a document, another one after each shift.
func (g *Generator) document() int {
	rank := int(g.zipf.Uint64())
	if g.config.ShiftInterval <= 0 {
		return rank
	}
	shift := int(g.at / g.config.ShiftInterval)
	const stride = 37
	return (rank + shift*stride) % g.config.Documents
}

// prompt joins the nested shared parts and a question of the request's own.
func (g *Generator) prompt(account string, document int) string {
	span := g.config.MaxBlocks - g.config.MinBlocks + 1
	blocks := g.config.MinBlocks + int(hash("length", account, document)%uint64(span))
	category := document % g.config.Categories
	var prompt strings.Builder
	for level := range blocks {
		switch level {
		case 0:
			prompt.WriteString(g.text(hash("account", account, 0)))
		case 1, 2:
			prompt.WriteString(g.text(hash("category", account, category*2+level)))
		default:
			prompt.WriteString(g.text(hash("document", account, document*64+level)))
		}
	}
	fmt.Fprintf(&prompt, "\nQuestion %d: what does the file say of item %d?", g.number, g.random.IntN(1000))
	return prompt.String()
}

// text returns one block of text for a seed.
func (g *Generator) text(seed uint64) string {
	if text, ok := g.texts[seed]; ok {
		return text
	}
	random := rand.New(rand.NewPCG(seed, g.config.Seed))
	var text strings.Builder
	text.Grow(g.config.BlockBytes)
	for text.Len() < g.config.BlockBytes {
		fmt.Fprintf(&text, "%08x ", random.Uint32())
	}
	g.texts[seed] = text.String()[:g.config.BlockBytes]
	return g.texts[seed]
}

func hash(kind, account string, number int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", kind, account, number))
}

// RequestsBefore returns all arrivals before a time, at most limit.
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
