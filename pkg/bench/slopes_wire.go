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

// WireSlopes are costs of the messages between processes. Bytes are those of
// the TCP stream in both directions; CPU is that of both ends together.
type WireSlopes struct {
	ProbeWireBytes    float64 `json:"probe_wire_bytes"`
	ProbeCPUMicros    float64 `json:"probe_cpu_us"`
	ExchangeWireBytes float64 `json:"exchange_wire_bytes"`
	AdmitWireBytes    float64 `json:"admit_wire_bytes"`
	ConnectionBytes   float64 `json:"connection_bytes"`
}

// FleetSlopes are costs of whole processes, from fleets of two sizes.
type FleetSlopes struct {
	// KVReadsPerAgent and the others are calls a second of an idle process.
	KVReadsPerAgent  float64 `json:"kv_reads_per_s_per_agent"`
	KVReadsPerRouter float64 `json:"kv_reads_per_s_per_router"`
	KVWritesPerOwner float64 `json:"kv_writes_per_s_per_owner"`
	// IdleAgentCPU is the share of a core that an idle agent uses, with its
	// fake engine.
	IdleAgentCPU float64 `json:"idle_agent_cpu_share"`
	// RequestCPUMillis and TokenCPUMicros are the CPU time of client, router,
	// agent and fake engine together for a request and for each answer token;
	// RequestAllocs counts allocations with an answer of 8 tokens.
	RequestCPUMillis float64 `json:"request_cpu_ms_all_parts"`
	TokenCPUMicros   float64 `json:"token_cpu_us_all_parts"`
	RequestAllocs    float64 `json:"request_allocations_all_parts"`
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func countingClient(bytes *atomic.Int64) *peer.Client {
	return peer.NewClient(peer.ClientOptions{
		DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4096, MaxIdlePerPeer: 4096,
		WrapConn: func(conn net.Conn) net.Conn { return countedConn{Conn: conn, bytes: bytes} },
	})
}

// wireOrigin is a sender's part of messages with names of usual length.
var wireOrigin = &peerpb.Origin{VmId: "entry-0123", BootId: 1 << 60, BundleVersion: 40_000}

func measureWire(ctx context.Context, o Options, slopes *WireSlopes) error {
	deployment := localfleet.SmallDeployment()
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: 0, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: enginefake.Config{BlockTokens: 2000, TotalBlocks: 120},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	address := fleet.Targets[0].Agent.Daemon.Address()
	var bytes atomic.Int64
	client := countingClient(&bytes)
	defer func() { _ = client.Close() }()
	const calls = 2000
	probe := &peerpb.ProbeRequest{
		Origin: wireOrigin, Account: "account-0123", Model: deployment.Model, WeightsVersion: deployment.WeightsVersion,
		BlockHashes: make([]uint64, slopeChain), PromptTokens: 16_000, BlockTokens: 2000, WantHints: true,
	}
	slopes.ProbeWireBytes, slopes.ProbeCPUMicros, err = perCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Probe(ctx, probe)
		return err
	})
	if err != nil {
		return errors.Annotate(err, "probe")
	}
	slopes.ExchangeWireBytes, _, err = perCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: wireOrigin})
		return err
	})
	if err != nil {
		return errors.Annotate(err, "exchange")
	}
	slopes.AdmitWireBytes, _, err = perCall(calls, &bytes, func() error {
		_, err := client.Agent(ctx, address).Admit(ctx, &peerpb.AdmitRequest{
			Origin: wireOrigin, RequestId: "0123456789abcdef01234567", Account: "account-0123", Slot: 3, Epoch: 12,
			Tokens: 18_000, HoldMs: 60_000, AllowPull: true,
		})
		return err
	})
	if err != nil {
		return errors.Annotate(err, "admit")
	}
	slopes.ConnectionBytes, err = connectionBytes(ctx, address)
	return errors.Trace(err)
}

// perCall returns the stream bytes and the CPU microseconds of one call.
func perCall(calls int, bytes *atomic.Int64, call func() error) (wireBytes, micros float64, err error) {
	if err := call(); err != nil {
		return 0, 0, err
	}
	start := bytes.Load()
	nanos := perItem(calls, func() {
		for range calls {
			if err = call(); err != nil {
				return
			}
		}
	})
	return float64(bytes.Load()-start) / float64(calls), nanos / 1000, err
}

// connectionBytes returns the memory of one idle connection at one end. The
// connections are made by holding answers open, then left idle in the pool.
func connectionBytes(ctx context.Context, address string) (float64, error) {
	const connections = 200
	var bytes atomic.Int64
	client := countingClient(&bytes)
	defer func() { _ = client.Close() }()
	before := liveMemory()
	open := make([]peerpb.DRPCAgent_DispatchClient, 0, connections)
	for i := range connections {
		stream, err := client.Agent(ctx, address).Dispatch(ctx, &peerpb.DispatchRequest{
			Origin: wireOrigin, RequestId: fmt.Sprintf("idle-%d", i), Attempt: 1, Model: "none",
			FirstTokenTimeoutMs: 1, KeyId: "none",
		})
		if err != nil {
			return 0, errors.Trace(err)
		}
		open = append(open, stream)
	}
	for _, stream := range open {
		if err := readToEnd(stream); err != nil {
			return 0, errors.Trace(err)
		}
	}
	const ends = 2
	used := (liveMemory() - before) / connections / ends
	runtime.KeepAlive(open)
	return used, nil
}

func readToEnd(stream peerpb.DRPCAgent_DispatchClient) error {
	for {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return stream.Close()
		} else if err != nil {
			return errors.Trace(err)
		}
	}
}

// liveMemory returns the bytes of reachable objects and of stacks.
func liveMemory() float64 {
	heap := liveHeap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + float64(stats.StackInuse)
}

// Sizes of the two fleets that slopes of whole processes are taken from.
const (
	smallFleetEngines = 6
	largeFleetEngines = 18
	smallFleetRouters = 1
	largeFleetRouters = 3
	idleTime          = 21 * time.Second
	fleetSettleTime   = 4 * time.Second
)

// idleCosts are the costs of one idle fleet.
type idleCosts struct {
	agents, routers int
	reads, writes   float64
	cpu             float64
}

func measureFleet(ctx context.Context, o Options, slopes *FleetSlopes) error {
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
	slopes.KVReadsPerAgent = (large.reads - small.reads) / agents
	slopes.KVReadsPerRouter = (small.reads - fewRouters.reads) / float64(small.routers-fewRouters.routers)
	slopes.KVWritesPerOwner = large.writes / float64(large.agents)
	slopes.IdleAgentCPU = (large.cpu - small.cpu) / agents
	return measureRequests(ctx, o, slopes)
}

// measureIdle measures an idle fleet.
func measureIdle(ctx context.Context, o Options, engines, routers int) (idleCosts, error) {
	deployment := localfleet.CooperativaDeployment()
	deployment.Pools[0].TargetCount = engines
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Deployment: deployment, RouterCount: routers, Seed: o.Seed, LogOutput: o.logTo(),
		Engine: enginefake.Config{BlockTokens: 2000, TotalBlocks: 120, PrefillTokensPerSecond: 1e6},
	})
	if err != nil {
		return idleCosts{}, errors.Trace(err)
	}
	defer fleet.Close()
	time.Sleep(fleetSettleTime)
	countersBefore, cpuBefore := fleet.KVServer.Counters(), cpuTime()
	time.Sleep(idleTime)
	counters, cpu := fleet.KVServer.Counters(), cpuTime()
	costs := idleCosts{
		agents: len(fleet.Targets), routers: routers,
		reads:  float64(counters.Reads-countersBefore.Reads) / idleTime.Seconds(),
		writes: float64(counters.Writes-countersBefore.Writes) / idleTime.Seconds(),
		cpu:    float64(cpu-cpuBefore) / float64(idleTime),
	}
	o.progress("%d agents, %d routers idle: %.2f reads/s, %.2f writes/s, %.3f cores",
		costs.agents, routers, costs.reads, costs.writes, costs.cpu)
	return costs, nil
}

// measureRequests takes the slopes of requests and tokens from two loads with
// short and long answers.
func measureRequests(ctx context.Context, o Options, slopes *FleetSlopes) error {
	const (
		shortAnswer = 8
		longAnswer  = 128
		load        = 4 * time.Second
	)
	fleet, err := startRelayFleet(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	defer fleet.Close()
	short := relayLoad(ctx, o, fleet, load, shortAnswer)
	long := relayLoad(ctx, o, fleet, load, longAnswer)
	perRequest := func(f RelayFigures) float64 { return f.TokensPerSecond / f.RequestsPerSecond }
	tokens := perRequest(long) - perRequest(short)
	slopes.TokenCPUMicros = (long.CPUMillis - short.CPUMillis) * 1000 / tokens
	slopes.RequestCPUMillis = short.CPUMillis - slopes.TokenCPUMicros*perRequest(short)/1000
	slopes.RequestAllocs = short.AllocationsPerRequest
	return nil
}
