package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// stubBackend answers completions with their prompt and knows one model.
type stubBackend struct {
	block chan struct{}
	seen  atomic.Int64
}

func (s *stubBackend) Complete(ctx context.Context, c Completion, sink Sink) *outcome.Refusal {
	s.seen.Add(1)
	if s.block != nil {
		select {
		case <-s.block:
		case <-ctx.Done():
			return outcome.NotRun(outcome.CodeCancelled, "caller left")
		}
	}
	if c.Token != "good-key" {
		return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
	}
	if c.Model != "m" {
		return outcome.NotRun(outcome.CodeUnknownModel, "no route serves this model")
	}
	_ = sink.Begin("vm")
	if err := sink.Text(string(c.Prompt)); err != nil {
		return outcome.NotRun(outcome.CodeCancelled, "caller left")
	}
	_ = sink.Finish("stop", Usage{})
	return nil
}

func (s *stubBackend) Call(context.Context, ServiceCall) (ServiceAnswer, *outcome.Refusal) {
	return ServiceAnswer{}, outcome.NotRun(outcome.CodeUnknownRoute, "no route")
}
func (s *stubBackend) CheckKey(token string) *outcome.Refusal {
	if token != "" && token != "good-key" {
		return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
	}
	return nil
}
func (s *stubBackend) Models(string) ([]string, *outcome.Refusal) { return []string{"m"}, nil }
func (s *stubBackend) Ready() bool                                { return true }

func serve(t *testing.T, backend Backend, options Options) (*httptest.Server, *http.Client) {
	server := httptest.NewServer(NewHandler(backend, options))
	Reset(server.Close)
	client := &http.Client{Transport: &http.Transport{}}
	Reset(client.CloseIdleConnections)
	return server, client
}

func testOptions() Options {
	return Options{MaxBodyBytes: 4096, MaxConcurrent: 4, BodyTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second}
}

// reply is a response that was read whole.
type reply struct {
	status int
	header http.Header
	closes bool
	body   string
}

func post(client *http.Client, url, key, body string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	return send(client, req)
}

func send(client *http.Client, req *http.Request) (reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, closes: resp.Close, body: string(data)}, err
}

func TestConnections(t *testing.T) {
	Convey("A leaving process answers and asks its callers to close the connection", t, func() {
		var leaving atomic.Bool
		options := testOptions()
		options.Draining = leaving.Load
		server, client := serve(t, &stubBackend{}, options)
		for _, now := range []bool{false, true} {
			leaving.Store(now)
			for _, body := range []string{`{"model":"m","prompt":"p"}`, `{"model":"m","prompt":"p","stream":true}`, `{`} {
				resp, err := post(client, server.URL, "good-key", body)
				So(err, ShouldBeNil)
				So(resp.closes, ShouldEqual, now)
			}
		}
	})
}
