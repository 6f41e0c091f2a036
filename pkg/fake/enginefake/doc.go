// Package enginefake is a small model of a model engine for tests: an HTTP
// server on loopback that batches continuously, keeps a prefix cache in
// limited memory and fails on demand.
//
// # Protocol
//
// Paths and error codes are those of package engine (protocol.go), with JSON
// bodies. POST /v1/generate takes an engine.Request and answers with
// newline-delimited engine.Chunk values; a line with seq 0 is a heartbeat.
// GET /v1/streams?id=&from= gives a stream again from a chunk number, for
// Config.StreamRetention after its end, and DELETE /v1/streams?id= cancels it.
// GET /v1/events?boot=&after= follows the cache event log. GET /v1/load gives
// an engine.LoadReport that is Config.LoadReportDelay old. POST /v1/orders takes an
// engine.Order, POST /v1/imports an engine.ImportRequest. Two paths are the fake's
// own: POST /v1/exports, which engines call on each other for an import, and
// GET /v1/stats, which gives the counters in Stats.
//
// # Model
//
// Time is real. In each step, decoding requests take one token each from the
// token budget and prefilling requests share what is left, in the order of
// priority and arrival. A step lasts the longer of MinStepDuration and the time of
// its prefill tokens. A prompt's block i covers its first (i+1)*BlockTokens
// tokens of 4 bytes. Cached blocks are found by weights version, cache salt and
// block hash; the least recently used one that no running request holds is
// evicted. With an adapter, the model name in Answer is "model:adapter".
package enginefake
