package once

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// agentConfig names the settings file of a process that is to be an agent.
const agentConfig = "BAOBAB_TEST_AGENT_CONFIG"

// leaseTTL is the lease of the test's agents.
const leaseTTL = 1500 * time.Millisecond

// patience bounds each wait for something that has to happen.
const patience = 15 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(agentConfig); file != "" {
		if err := cli.NewAgentApp().Run([]string{"baobab-agent", "--config", file}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// target is a service that counts executions, tells of each, and answers when
// it is let.
type target struct {
	server  *httptest.Server
	arrived chan string
	release chan struct{}
	mu      sync.Mutex
	counts  map[string]int
}

func newTarget() *target {
	s := &target{arrived: make(chan string, 64), release: make(chan struct{}), counts: map[string]int{}}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.counts[string(body)]++
		s.mu.Unlock()
		s.arrived <- string(body)
		<-s.release
		_, _ = w.Write(body)
	}))
	return s
}

func (s *target) executions(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[body]
}

// fleet is a key-value service, a router and agents that are processes of
// their own: one beside the target, the others only own slots.
type fleet struct {
	kv      *kvfake.Server
	store   *platform.Client
	target  *target
	site    localfleet.Deployment
	agents  map[string]*exec.Cmd
	router  *daemon.Router
	stop    context.CancelFunc
	stopped chan struct{}
	once    sync.Once
}

const serviceVM = "service"

func startFleet(t *testing.T) *fleet {
	f := &fleet{kv: kvfake.New(1), target: newTarget(), site: localfleet.SmallDeployment(), agents: map[string]*exec.Cmd{}}
	Reset(f.close)
	address, err := f.kv.Start("127.0.0.1:0")
	So(err, ShouldBeNil)
	f.store = platform.NewClient(platform.Config{Address: address, CallTimeout: time.Second, CallsPerSecond: 1000, CallBurst: 1000})
	public, private, err := ed25519.GenerateKey(nil)
	So(err, ShouldBeNil)
	signed, err := bundle.Sign(f.site.Bundle(500), "operator", private)
	So(err, ShouldBeNil)
	before, err := bundlesync.ReadPublished(context.Background(), f.store)
	So(err, ShouldBeNil)
	So(bundlesync.Publish(context.Background(), f.store, before, signed), ShouldBeNil)
	trusted := []config.TrustedKey{{ID: "operator", PublicKey: hex.EncodeToString(public)}}
	f.startAgents(t, address, trusted)
	f.startRouter(address, trusted)
	f.waitSettled()
	return f
}

func (f *fleet) startAgents(t *testing.T, kvAddress string, trusted []config.TrustedKey) {
	names := []string{serviceVM, "owner-1", "owner-2", "owner-3"}
	var vms []platform.VM
	var files []string
	for i, name := range names {
		settings := config.DefaultAgent()
		settings.VM = config.VM{ID: name, Region: f.site.Region, DataCentre: f.site.DataCentres[i%3]}
		settings.PeerAddress = freeAddress()
		settings.Target.Kind, settings.Target.Pool = config.TargetService, f.site.Pools[1].Name
		settings.Target.Address = strings.TrimPrefix(f.target.server.URL, "http://")
		if name != serviceVM {
			settings.Target.Pool = "none"
		}
		settings.Platform.Address = kvAddress
		// An answer of the service that came while the process was frozen
		// counts, however late it is read.
		settings.Platform.CallTimeout = config.Duration(30 * time.Second)
		settings.Bundles.TrustedKeys = trusted
		settings.Slots.LeaseTTL = config.Duration(leaseTTL)
		settings.DrainTimeout = config.Duration(time.Second)
		settings.Peers.Seeds = []string{}
		encoded, err := json.Marshal(settings)
		So(err, ShouldBeNil)
		file := filepath.Join(t.TempDir(), name+".json")
		So(os.WriteFile(file, encoded, 0o600), ShouldBeNil)
		files = append(files, file)
		vms = append(vms, platform.VM{
			ID: name, Role: platform.RoleTarget, State: platform.VMLive, Region: f.site.Region,
			DataCentre: settings.VM.DataCentre, Pool: settings.Target.Pool, Address: settings.PeerAddress,
		})
	}
	f.kv.SetVMs(vms)
	for i, name := range names {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), agentConfig+"="+files[i])
		if os.Getenv("BAOBAB_TEST_LOG") != "" {
			command.Stderr = os.Stderr
		}
		So(command.Start(), ShouldBeNil)
		f.agents[name] = command
	}
}

func (f *fleet) startRouter(kvAddress string, trusted []config.TrustedKey) {
	settings := config.DefaultRouter()
	settings.VM = config.VM{ID: "entry", Region: f.site.Region, DataCentre: f.site.DataCentres[0]}
	settings.Callers.Address = "127.0.0.1:0"
	settings.Platform.Address = kvAddress
	settings.Bundles.TrustedKeys = trusted
	settings.DrainTimeout = config.Duration(time.Second)
	router, err := daemon.NewRouter(settings, io.Discard, nil)
	So(err, ShouldBeNil)
	f.router = router
	ctx, cancel := context.WithCancel(context.Background())
	f.stop, f.stopped = cancel, make(chan struct{})
	go func() {
		defer close(f.stopped)
		_ = router.Run(ctx)
	}()
}

// letAnswer lets the target answer from now on.
func (f *fleet) letAnswer() {
	f.once.Do(func() { close(f.target.release) })
}

func (f *fleet) close() {
	f.letAnswer()
	if f.stop != nil {
		f.stop()
		<-f.stopped
	}
	for _, agent := range f.agents {
		_ = agent.Process.Kill()
		_ = agent.Wait()
	}
	f.target.server.Close()
	f.kv.Close()
}

// settledTime is the time for which owners must not change before a test.
const settledTime = 1500 * time.Millisecond

// waitSettled waits until all slots have owners that stay.
func (f *fleet) waitSettled() {
	last, since := "", time.Now()
	eventually(func() bool {
		entries, _, err := f.store.List(context.Background(), ownership.SlotPrefix)
		now := ""
		for _, entry := range entries {
			var record ownership.Record
			_ = json.Unmarshal(entry.Value, &record)
			now += record.Owner.VM + " "
		}
		if err != nil || now != last || len(entries) < config.DefaultAgent().Slots.Count {
			last, since = now, time.Now()
			return false
		}
		return time.Since(since) > settledTime
	})
}

// owner returns the VM that owns a key's slot; empty for none.
func (f *fleet) owner(key string) string {
	slots := uint32(config.DefaultAgent().Slots.Count)
	slot := idempotency.SlotOf(idempotency.KeyHash(f.site.Accounts[0].Name, "redemptions", key), slots)
	entry, err := f.store.Get(context.Background(), ownership.SlotKey(ownership.SlotID(slot)))
	var record ownership.Record
	if err != nil || json.Unmarshal(entry.Value, &record) != nil {
		return ""
	}
	return record.Owner.VM
}

// keyOfOwner returns a key whose slot belongs to an agent without a target.
func (f *fleet) keyOfOwner() string {
	var key string
	eventually(func() bool {
		for i := range 64 {
			key = fmt.Sprintf("key-%d", i)
			if owner := f.owner(key); owner != "" && owner != serviceVM {
				return true
			}
		}
		return false
	})
	return key
}

// answer is what a caller got; ran is empty when there was no answer.
type answer struct {
	status int
	ran    string
	body   string
}

func (f *fleet) redeem(key, body string) answer {
	request, _ := http.NewRequest(http.MethodPost, "http://"+f.router.Address()+"/redemptions", bytes.NewReader([]byte(body)))
	request.Header.Set("Authorization", "Bearer "+f.site.Accounts[0].Key)
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, ran: response.Header.Get(caller.HeaderRan), body: string(content)}
}

// settle repeats a call until an answer says more than "not run".
func (f *fleet) settle(key, body string) answer {
	var got answer
	eventually(func() bool {
		got = f.redeem(key, body)
		return got.ran != "" && got.ran != "no"
	})
	return got
}

func eventually(check func() bool) {
	for deadline := time.Now().Add(patience); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			So("what has to happen", ShouldEqual, "happened in time")
			return
		}
	}
}

func freeAddress() string {
	address, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	return address
}

// otherKeyOf returns an unused key of the same owner, and the owner.
func (f *fleet) otherKeyOf(key string) (other, owner string) {
	owner = f.owner(key)
	for i := 0; ; i++ {
		other = fmt.Sprintf("other-%d", i)
		if f.owner(other) == owner {
			return other, owner
		}
	}
}
