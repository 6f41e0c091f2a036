package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// WireCosts are the costs of messages between processes. Bytes are those of the
// TCP stream in both directions, and CPU time is that of both ends together.
type WireCosts struct {
	ProbeWireBytes    float64 `json:"probe_wire_bytes"`
	ProbeCPUMicros    float64 `json:"probe_cpu_us"`
	ExchangeWireBytes float64 `json:"exchange_wire_bytes"`
	AdmitWireBytes    float64 `json:"admit_wire_bytes"`
	ConnectionBytes   float64 `json:"connection_bytes"`
}

// ProcessCosts are the costs of whole processes, derived from fleets of
// different sizes.
type ProcessCosts struct {
	// KVReadsPerAgent, KVReadsPerRouter and KVWritesPerOwner are key-value
	// calls per second of an idle process.
	KVReadsPerAgent  float64 `json:"kv_reads_per_s_per_agent"`
	KVReadsPerRouter float64 `json:"kv_reads_per_s_per_router"`
	KVWritesPerOwner float64 `json:"kv_writes_per_s_per_owner"`
	// IdleAgentCPU is the share of a core that an idle agent uses, including
	// its fake engine.
	IdleAgentCPU float64 `json:"idle_agent_cpu_share"`
	// RequestCPUMillis and TokenCPUMicros are the CPU time of client, router,
	// agent and fake engine together, per request and per answer token.
	// RequestAllocs is the number of allocations of a request with an 8-token
	// answer.
	RequestCPUMillis float64 `json:"request_cpu_ms_all_parts"`
	TokenCPUMicros   float64 `json:"token_cpu_us_all_parts"`
	RequestAllocs    float64 `json:"request_allocations_all_parts"`
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newCountingClient(bytes *atomic.Int64) *peer.Client {
	return peer.NewClient(peer.ClientOptions{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4096, MaxIdlePerPeer: 4096,
		WrapConn: func(conn net.Conn) net.Conn { return countingConn{Conn: conn, bytes: bytes} },
	})
}

// typicalOrigin is a message origin with values of typical length.
var typicalOrigin = &peerpb.Origin{VmId: "entry-0123", BootId: 1 << 60, BundleVersion: 40_000}

func measureWire(ctx context.Context, o Options, costs *WireCosts) error {
	deployment := localfleet.SmallDeployment()
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: 0, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{BlockTokens: 2000, TotalBlocks: 120},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	address := fleet.Targets[0].Agent.Daemon.Address()
	var bytes atomic.Int64
	client := newCountingClient(&bytes)
	defer func() { _ = client.Close() }()
	const calls = 2000
	probe := &peerpb.ProbeRequest{
		Origin: typicalOrigin, Account: "account-0123", Model: deployment.Model, WeightsVersion: deployment.WeightsVersion,
		BlockHashes: make([]uint64, plannedChainLength), PromptTokens: 16_000, BlockTokens: 2000, WantHints: true,
	}
	costs.ProbeWireBytes, costs.ProbeCPUMicros, err = costPerCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Probe(ctx, probe)
		return err
	})
	if err != nil {
		return errors.Annotate(err, "probe")
	}
	costs.ExchangeWireBytes, _, err = costPerCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: typicalOrigin})
		return err
	})
	if err != nil {
		return errors.Annotate(err, "exchange")
	}
	costs.AdmitWireBytes, _, err = costPerCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Admit(ctx, &peerpb.AdmitRequest{
			Origin: typicalOrigin, RequestId: "0123456789abcdef01234567", Account: "account-0123", Slot: 3, Epoch: 12,
			Tokens: 18_000, HoldMs: 60_000, AllowPull: true,
		})
		return err
	})
	if err != nil {
		return errors.Annotate(err, "admit")
	}
	costs.ConnectionBytes, err = connectionBytes(ctx, address)
	return errors.Trace(err)
}

// costPerCall returns the TCP stream bytes and the CPU microseconds of one
// call.
func costPerCall(calls int, bytes *atomic.Int64, call func() error) (wireBytes, micros float64, err error) {
	if err := call(); err != nil {
		return 0, 0, err
	}
	start := bytes.Load()
	nanos := cpuTimePerItem(calls, func() {
		for range calls {
			if err = call(); err != nil {
				return
			}
		}
	})
	return float64(bytes.Load()-start) / float64(calls), nanos / 1000, err
}

// connectionBytes returns the memory of one idle connection at one end. It
// holds many streams open at the same time to force a connection for each; the
// connections then stay idle in the pool.
func connectionBytes(ctx context.Context, address string) (float64, error) {
	const connections = 200
	var bytes atomic.Int64
	client := newCountingClient(&bytes)
	defer func() { _ = client.Close() }()
	before := liveHeapAndStacks()
	open := make([]peerpb.DRPCAgent_DispatchClient, 0, connections)
	for i := range connections {
		stream, err := client.Agent(ctx, address).Dispatch(ctx, &peerpb.DispatchRequest{
			Origin: typicalOrigin, RequestId: fmt.Sprintf("idle-%d", i), Attempt: 1, Model: "none",
			FirstTokenTimeoutMs: 1, KeyId: "none",
		})
		if err != nil {
			return 0, errors.Trace(err)
		}
		open = append(open, stream)
	}
	for _, stream := range open {
		if err := drainStream(stream); err != nil {
			return 0, errors.Trace(err)
		}
	}
	const ends = 2
	used := (liveHeapAndStacks() - before) / connections / ends
	runtime.KeepAlive(open)
	return used, nil
}

func drainStream(stream peerpb.DRPCAgent_DispatchClient) error {
	for {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return stream.Close()
		} else if err != nil {
			return errors.Trace(err)
		}
	}
}

// liveHeapAndStacks returns the bytes of reachable heap objects and of stacks.
func liveHeapAndStacks() float64 {
	heap := liveHeap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + float64(stats.StackInuse)
}

// Fleet sizes from which the costs of whole processes are derived.
const (
	smallFleetEngines   = 6
	largeFleetEngines   = 18
	smallFleetRouters   = 1
	largeFleetRouters   = 3
	idleMeasureDuration = 21 * time.Second
	fleetSettleTime     = 4 * time.Second
)

// idleCosts are the costs of one idle fleet.
type idleCosts struct {
	agents, routers int
	reads, writes   float64
	cpu             float64
}

func measureProcesses(ctx context.Context, o Options, costs *ProcessCosts) error {
	small, err := measureIdle(ctx, o, smallFleetEngines, largeFleetRouters)
	if err != nil {
		return errors.Trace(err)
	}
	fewRouters, err := measureIdle(ctx, o, smallFleetEngines, smallFleetRouters)
	if err != nil {
		return errors.Trace(err)
	}
	large, err := measureIdle(ctx, o, largeFleetEngines, largeFleetRouters)
	if err != nil {
		return errors.Trace(err)
	}
	agents := float64(large.agents - small.agents)
	costs.KVReadsPerAgent = (large.reads - small.reads) / agents
	costs.KVReadsPerRouter = (small.reads - fewRouters.reads) / float64(small.routers-fewRouters.routers)
	costs.KVWritesPerOwner = large.writes / float64(large.agents)
	costs.IdleAgentCPU = (large.cpu - small.cpu) / agents
	return measureRequests(ctx, o, costs)
}

// measureIdle starts a fleet without load and measures its key-value calls and
// CPU use.
func measureIdle(ctx context.Context, o Options, engines, routers int) (idleCosts, error) {
	deployment := localfleet.CooperativaDeployment()
	deployment.Pools[0].TargetCount = engines
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: routers, Seed: o.Seed, LogOutput: o.logOutput(),
		Engine: enginefake.Config{BlockTokens: 2000, TotalBlocks: 120, PrefillTokensPerSecond: 1e6},
	})
	if err != nil {
		return idleCosts{}, errors.Trace(err)
	}
	defer fleet.Close()
	time.Sleep(fleetSettleTime)
	countersBefore, cpuBefore := fleet.KVServer.Counters(), cpuTime()
	time.Sleep(idleMeasureDuration)
	counters, cpu := fleet.KVServer.Counters(), cpuTime()
	costs := idleCosts{
		agents: len(fleet.Targets), routers: routers,
		reads:  float64(counters.Reads-countersBefore.Reads) / idleMeasureDuration.Seconds(),
		writes: float64(counters.Writes-countersBefore.Writes) / idleMeasureDuration.Seconds(),
		cpu:    float64(cpu-cpuBefore) / float64(idleMeasureDuration),
	}
	o.progress("%d agents, %d routers idle: %.2f reads/s, %.2f writes/s, %.3f cores",
		costs.agents, routers, costs.reads, costs.writes, costs.cpu)
	return costs, nil
}

// measureRequests derives the costs per request and per token from two loads,
// one with short and one with long answers.
func measureRequests(ctx context.Context, o Options, costs *ProcessCosts) error {
	const (
		shortAnswer  = 8
		longAnswer   = 128
		loadDuration = 4 * time.Second
	)
	fleet, err := startRelayFleet(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	short := runRelayLoad(ctx, o, fleet, loadDuration, shortAnswer)
	long := runRelayLoad(ctx, o, fleet, loadDuration, longAnswer)
	tokensPerRequest := func(r RelayResult) float64 { return r.TokensPerSecond / r.RequestsPerSecond }
	tokens := tokensPerRequest(long) - tokensPerRequest(short)
	costs.TokenCPUMicros = (long.CPUMillis - short.CPUMillis) * 1000 / tokens
	costs.RequestCPUMillis = short.CPUMillis - costs.TokenCPUMicros*tokensPerRequest(short)/1000
	costs.RequestAllocs = short.AllocationsPerRequest
	return nil
}
