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

// record keeps all bytes written to it.
type record struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (r *record) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.data.Write(data)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.data.String()
}

// TestNoKeyLeaves: a caller's key is in no log line, in no answer and in no byte
// that an agent or a target receives.
func TestNoKeyLeaves(t *testing.T) {
	Convey("Given a fleet whose connections to agents and targets are recorded", t, func() {
		var wire, logs record
		tapped := func(listen, server string) string {
			link, err := linkfake.StartAt(listen, server)
			So(err, ShouldBeNil)
			link.SetTap(&wire)
			Reset(link.Close)
			return link.Addr()
		}
		deployment := SmallDeployment()
		key := deployment.Accounts[0].Key
		fleet, err := Start(t.Context(), Config{
			Deployment: deployment, RouterCount: 1, Seed: 1, LogOutput: &logs,
			Engine: enginefake.Config{BlockTokens: 100},
			ConfigureAgent: func(settings *config.Agent) {
				own, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				listed := settings.PeerAddress
				settings.PeerAddress = own.Addr().String()
				_ = own.Close()
				tapped(listed, settings.PeerAddress)
				settings.Target.Address = tapped("127.0.0.1:0", settings.Target.Address)
			},
		})
		So(err, ShouldBeNil)
		Reset(fleet.Close)
		const badKey = "not-a-key-of-anyone"
		base := "http://" + fleet.Routers[0].Daemon.Address()
		for _, c := range []struct {
			path, key, body string
			status          int
		}{
			{"/v1/completions", key, `{"model":"` + deployment.Model + `","prompt":"a marked prompt","max_tokens":4}`, http.StatusOK},
			{"/v1/completions", key, `{"model":"` + deployment.Model + `","prompt":"p","max_tokens":4,"stream":true}`, http.StatusOK},
			{"/v1/completions", key, `{"model":"unknown","prompt":"p"}`, http.StatusNotFound},
			{"/v1/completions", badKey, `{"model":"` + deployment.Model + `","prompt":"p"}`, http.StatusUnauthorized},
			{"/lookups/marked-lookup", key, "", http.StatusOK},
			{"/lookups/1", badKey, "", http.StatusUnauthorized},
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
		sent, lines := wire.String(), logs.String()
		So(strings.Count(sent, "a marked prompt"), ShouldBeGreaterThanOrEqualTo, 2)
		So(sent, ShouldContainSubstring, "marked-lookup")
		So(lines, ShouldContainSubstring, "request_served")
		for _, secret := range []string{key, badKey} {
			So(strings.Contains(sent, secret), ShouldBeFalse)
			So(strings.Contains(lines, secret), ShouldBeFalse)
		}
	})
}
