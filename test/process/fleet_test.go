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

// daemonEnv is the environment variable that makes the test binary run as the daemon
// that it names.
const daemonEnv = "BAOBAB_TEST_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(daemonEnv) {
	case "router":
		cli.Main(cli.NewRouterApp())
	case "agent":
		cli.Main(cli.NewAgentApp())
	default:
		os.Exit(m.Run())
	}
}

// process is a daemon in a separate process.
type process struct {
	t          *testing.T
	daemon     string
	configPath string
	// address serves the readiness endpoint and, on routers, requests of callers.
	address string
	cmd     *exec.Cmd
}

func (p *process) start() {
	executable, err := os.Executable()
	requireNoError(p.t, err)
	p.cmd = exec.Command(executable, "--config", p.configPath)
	p.cmd.Env = append(os.Environ(), daemonEnv+"="+p.daemon)
	if testing.Verbose() {
		p.cmd.Stderr = os.Stderr
	}
	requireNoError(p.t, p.cmd.Start())
}

func (p *process) signal(signal os.Signal) {
	requireNoError(p.t, p.cmd.Process.Signal(signal))
}

// kill sends SIGKILL, so that the process cannot clean up, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// stop sends SIGTERM and waits for the process, which must exit with status 0.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	requireNoError(p.t, p.cmd.Wait())
}

// fleet consists of real agent and router processes, and of fakes of the platform and
// the engines in the test process.
type fleet struct {
	t          *testing.T
	deployment localfleet.Deployment
	kv         *kvfake.Server
	engines    []*enginefake.Engine
	agents     []*process
	routers    []*process
}

const blockTokens = 100

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	requireNoError(t, err)
	return address
}

func startFleet(t *testing.T, engines, routers int) *fleet {
	f := &fleet{t: t, deployment: localfleet.SmallDeployment(), kv: kvfake.New(1)}
	t.Cleanup(f.kv.Close)
	kvAddress, err := f.kv.Start("127.0.0.1:0")
	requireNoError(t, err)
	bundles := f.publish(kvAddress)
	var vms []platform.VM
	var peerSeeds []string
	for i := range engines {
		engine, err := enginefake.Start(enginefake.Config{BlockTokens: blockTokens, Models: f.deployment.Pools[0].Models,
			MinStepDuration: 20 * time.Millisecond, PrefillTokensPerSecond: 1e6})
		requireNoError(t, err)
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
		settings := config.DefaultAgent()
		settings.VM = config.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r", DataCentre: "r-1"}
		settings.PeerAddress, settings.Operators.Address = freeAddress(t), freeAddress(t)
		settings.Target.Address, settings.Target.Pool = engine.Addr(), f.deployment.Pools[0].Name
		settings.Platform.Address, settings.Bundles, settings.Peers.Seeds = kvAddress, bundles, append([]string{}, peerSeeds...)
		f.agents = append(f.agents, f.startProcess("agent", settings.VM.ID, settings.Operators.Address, settings))
		peerSeeds = append(peerSeeds, settings.PeerAddress)
		vms = append(vms, platform.VM{ID: settings.VM.ID, Role: platform.RoleTarget, State: platform.VMLive,
			Region: "r", DataCentre: "r-1", Pool: settings.Target.Pool, Address: settings.PeerAddress})
	}
	f.kv.SetVMs(vms)
	for i := range routers {
		settings := config.DefaultRouter()
		settings.VM = config.VM{ID: fmt.Sprintf("entry-%d", i), Region: "r", DataCentre: "r-1"}
		settings.Callers.Address = freeAddress(t)
		settings.Platform.Address, settings.Bundles, settings.Peers.Seeds = kvAddress, bundles, peerSeeds
		settings.Platform.ListPeriod = config.Duration(200 * time.Millisecond)
		settings.LeaveNotice = config.Duration(500 * time.Millisecond)
		f.routers = append(f.routers, f.startProcess("router", settings.VM.ID, settings.Callers.Address, settings))
	}
	return f
}

// publish signs and publishes the deployment's bundle, and returns the bundle settings
// that trust the signing key.
func (f *fleet) publish(kvAddress string) config.Bundles {
	publicKey, privateKey, err := ed25519.GenerateKey(nil)
	requireNoError(f.t, err)
	signed, err := bundle.Sign(f.deployment.Bundle(blockTokens), "operator", privateKey)
	requireNoError(f.t, err)
	store := platform.NewClient(platform.DefaultConfig(kvAddress))
	defer store.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	current, err := bundlesync.ReadPublished(ctx, store)
	requireNoError(f.t, err)
	requireNoError(f.t, bundlesync.Publish(ctx, store, current, signed))
	return config.Bundles{TrustedKeys: []config.TrustedKey{{ID: "operator", PublicKey: hex.EncodeToString(publicKey)}}}
}

// startProcess writes the settings file and starts the daemon. The daemon is killed
// when the test ends.
func (f *fleet) startProcess(daemon, name, address string, settings any) *process {
	data, err := json.Marshal(settings)
	requireNoError(f.t, err)
	configPath := filepath.Join(f.t.TempDir(), name+".json")
	requireNoError(f.t, os.WriteFile(configPath, data, 0o600))
	p := &process{t: f.t, daemon: daemon, configPath: configPath, address: address}
	p.start()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// waitReady waits until a process reports that it is ready.
func (f *fleet) waitReady(p *process) {
	eventually(f.t, p.daemon+" is ready", func() bool {
		resp, err := http.Get("http://" + p.address + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", description)
}
