package localfleet

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/fake/linkfake"
)

// synchronizedBuffer is a bytes.Buffer that is safe for concurrent use.
type synchronizedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *synchronizedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *synchronizedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestAPIKeysAreNotForwardedOrLogged guards against leaks of a caller's API key
// into log lines, responses, or the traffic to agents and targets.
func TestAPIKeysAreNotForwardedOrLogged(t *testing.T) {
	Convey("Callers' API keys appear neither in responses and logs nor in the traffic to agents and targets", t, func() {
		var forwarded, logs synchronizedBuffer
		startTap := func(listen, server string) string {
			link, err := linkfake.StartAt(listen, server)
			So(err, ShouldBeNil)
			link.SetTap(&forwarded)
			Reset(link.Close)
			return link.Addr()
		}
		deployment := SmallDeployment()
		key := deployment.Accounts[0].Key
		fleet, err := Start(t.Context(), Config{
			Deployment: deployment, RouterCount: 1, Seed: 1, LogOutput: &logs,
			Engine: enginefake.Config{BlockTokens: 100},
			ConfigureAgent: func(settings *config.Agent) {
				agentListener, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				advertisedAddress := settings.PeerAddress
				settings.PeerAddress = agentListener.Addr().String()
				_ = agentListener.Close()
				startTap(advertisedAddress, settings.PeerAddress)
				settings.Target.Address = startTap("127.0.0.1:0", settings.Target.Address)
			},
		})
		So(err, ShouldBeNil)
		Reset(fleet.Close)
		const unknownKey = "not-a-key-of-anyone"
		base := "http://" + fleet.Routers[0].Daemon.Address()
		for _, c := range []struct {
			path, key, body string
			status          int
		}{
			{"/v1/completions", key, `{"model":"` + deployment.Model + `","prompt":"a marked prompt","max_tokens":4}`, http.StatusOK},
			{"/v1/completions", key, `{"model":"` + deployment.Model + `","prompt":"p","max_tokens":4,"stream":true}`, http.StatusOK},
			{"/v1/completions", key, `{"model":"unknown","prompt":"p"}`, http.StatusNotFound},
			{"/v1/completions", unknownKey, `{"model":"` + deployment.Model + `","prompt":"p"}`, http.StatusUnauthorized},
			{"/lookups/marked-lookup", key, "", http.StatusOK},
			{"/lookups/1", unknownKey, "", http.StatusUnauthorized},
		} {
			method := http.MethodPost
			if c.body == "" {
				method = http.MethodGet
			}
			req, err := http.NewRequest(method, base+c.path, strings.NewReader(c.body))
			So(err, ShouldBeNil)
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Authorization", "Bearer "+c.key)
			req.Header.Set("X-Api-Key", c.key)
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			So(err, ShouldBeNil)
			So(string(body), ShouldNotContainSubstring, c.key)
			So(resp.StatusCode, ShouldEqual, c.status)
		}
		recorded, logged := forwarded.String(), logs.String()
		So(strings.Count(recorded, "a marked prompt"), ShouldBeGreaterThanOrEqualTo, 2)
		So(recorded, ShouldContainSubstring, "marked-lookup")
		So(logged, ShouldContainSubstring, "request_served")
		for _, secret := range []string{key, unknownKey} {
			So(strings.Contains(recorded, secret), ShouldBeFalse)
			So(strings.Contains(logged, secret), ShouldBeFalse)
		}
	})
}
