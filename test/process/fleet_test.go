package process

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// daemonVariable makes the test binary a daemon.
const daemonVariable = "BAOBAB_TEST_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(daemonVariable) {
	case "router":
		cli.Main(cli.NewRouterApp())
	case "agent":
		cli.Main(cli.NewAgentApp())
	default:
		os.Exit(m.Run())
	}
}

// process is one daemon of this test.
type process struct {
	t      *testing.T
	daemon string
	file   string
	// address answers whether the process is ready.
	address string
	cmd     *exec.Cmd
}

func (p *process) start() {
	executable, err := os.Executable()
	check(p.t, err)
	p.cmd = exec.Command(executable, "--config", p.file)
	p.cmd.Env = append(os.Environ(), daemonVariable+"="+p.daemon)
	if testing.Verbose() {
		p.cmd.Stderr = os.Stderr
	}
	check(p.t, p.cmd.Start())
}

func (p *process) signal(signal os.Signal) {
	check(p.t, p.cmd.Process.Signal(signal))
}

// kill ends the process without a chance to clean up.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// stop ends the process gracefully; it must exit with 0.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	check(p.t, p.cmd.Wait())
}

// fleet is a set of real processes with fakes of the platform and the engines
// in the test process.
type fleet struct {
	t       *testing.T
	site    localfleet.Deployment
	kv      *kvfake.Server
	engines []*enginefake.Engine
	agents  []*process
	routers []*process
}

const blockTokens = 100

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	check(t, err)
	return address
}

func startFleet(t *testing.T, engines, routers int) *fleet {
	f := &fleet{t: t, site: localfleet.SmallDeployment(), kv: kvfake.New(1)}
	t.Cleanup(f.kv.Close)
	kvAddress, err := f.kv.Start("127.0.0.1:0")
	check(t, err)
	trusted := f.publish(kvAddress)
	var vms []platform.VM
	var seeds []string
	for i := range engines {
		engine, err := enginefake.Start(enginefake.Config{BlockTokens: blockTokens, Models: f.site.Pools[0].Models,
			DecodeStep: 20 * time.Millisecond, PrefillTokensPerSecond: 1e6})
		check(t, err)
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
		s := config.DefaultAgent()
		s.VM = config.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r", DataCentre: "r-1"}
		s.PeerAddress, s.Operators.Address = freeAddress(t), freeAddress(t)
		s.Target.Address, s.Target.Pool = engine.Addr(), f.site.Pools[0].Name
		s.Platform.Address, s.Bundles, s.Peers.Seeds = kvAddress, trusted, append([]string{}, seeds...)
		f.agents = append(f.agents, f.process("agent", s.VM.ID, s.Operators.Address, s))
		seeds = append(seeds, s.PeerAddress)
		vms = append(vms, platform.VM{ID: s.VM.ID, Role: platform.RoleTarget, State: platform.VMLive,
			Region: "r", DataCentre: "r-1", Pool: s.Target.Pool, Address: s.PeerAddress})
	}
	f.kv.SetVMs(vms)
	for i := range routers {
		s := config.DefaultRouter()
		s.VM = config.VM{ID: fmt.Sprintf("entry-%d", i), Region: "r", DataCentre: "r-1"}
		s.Callers.Address = freeAddress(t)
		s.Platform.Address, s.Bundles, s.Peers.Seeds = kvAddress, trusted, seeds
		s.Platform.ListPeriod = config.Duration(200 * time.Millisecond)
		s.LeaveNotice = config.Duration(500 * time.Millisecond)
		f.routers = append(f.routers, f.process("router", s.VM.ID, s.Callers.Address, s))
	}
	return f
}

// publish puts the site's bundle in force and returns who may sign bundles.
func (f *fleet) publish(kvAddress string) config.Bundles {
	public, private, err := ed25519.GenerateKey(nil)
	check(f.t, err)
	signed, err := bundle.Sign(f.site.Bundle(blockTokens), "operator", private)
	check(f.t, err)
	store := platform.NewClient(platform.DefaultConfig(kvAddress))
	defer store.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	before, err := bundlesync.ReadPublished(ctx, store)
	check(f.t, err)
	check(f.t, bundlesync.Publish(ctx, store, before, signed))
	return config.Bundles{TrustedKeys: []config.TrustedKey{{ID: "operator", PublicKey: hex.EncodeToString(public)}}}
}

// process writes the settings file, starts the daemon and ends it with the test.
func (f *fleet) process(daemon, name, address string, settings any) *process {
	data, err := json.Marshal(settings)
	check(f.t, err)
	file := filepath.Join(f.t.TempDir(), name+".json")
	check(f.t, os.WriteFile(file, data, 0o600))
	p := &process{t: f.t, daemon: daemon, file: file, address: address}
	p.start()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// ready waits until a process says that it is ready.
func (f *fleet) ready(p *process) {
	eventually(f.t, p.daemon+" is ready", func() bool {
		resp, err := http.Get("http://" + p.address + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not in time: %s", what)
}
