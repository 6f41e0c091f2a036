// Package enginefake implements a small model engine for tests: an HTTP server
// on loopback with continuous batching, a prefix cache of limited size and
// injectable faults.
//
// # Protocol
//
// Paths and error codes are those of package engine (protocol.go); bodies are
// JSON. POST /v1/generate accepts an engine.Request and responds with
// newline-delimited engine.Chunk values; a chunk with seq 0 is a heartbeat.
// GET /v1/streams?id=&from= streams an answer again, starting at chunk number
// from, until Config.StreamRetention after its end. DELETE /v1/streams?id=
// cancels a request. GET /v1/events?boot=&after= streams the cache event log.
// GET /v1/load returns an engine.LoadReport that is Config.LoadReportDelay old.
// POST /v1/orders accepts an engine.Order, and POST /v1/imports an
// engine.ImportRequest. Two paths exist only in the fake: POST /v1/exports,
// which engines call on each other for an import, and GET /v1/stats, which
// returns the counters in Stats.
//
// # Simulation
//
// The simulation processes the batch in steps, in real time. In each step,
// every decoding request uses one token of the token budget, and prefilling
// requests share the rest in order of priority and arrival. A step lasts for
// Config.MinStepDuration, or longer if its prefill tokens take more time. Block
// i of a prompt covers the first (i+1)*BlockTokens tokens, of 4 bytes each.
// Cached blocks are keyed by weights version, cache salt and block hash.
// Eviction removes the least recently used block that no running request has
// pinned. With an adapter, the model name passed to Answer is "model:adapter".
package enginefake
