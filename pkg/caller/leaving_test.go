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

// stubBackend is a Backend with one model, "m", that answers completion requests
// with their prompt.
type stubBackend struct {
	unblock chan struct{}
	calls   atomic.Int64
}

func (s *stubBackend) Complete(ctx context.Context, c CompletionRequest, sink Sink) *outcome.Refusal {
	s.calls.Add(1)
	if s.unblock != nil {
		select {
		case <-s.unblock:
		case <-ctx.Done():
			return outcome.NotRun(outcome.CodeCancelled, "caller left")
		}
	}
	if c.APIKey != "good-key" {
		return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
	}
	if c.Model != "m" {
		return outcome.NotRun(outcome.CodeUnknownModel, "no route serves this model")
	}
	_ = sink.Begin("vm")
	if err := sink.WriteText(string(c.Prompt)); err != nil {
		return outcome.NotRun(outcome.CodeCancelled, "caller left")
	}
	_ = sink.Finish("stop", Usage{})
	return nil
}

func (s *stubBackend) Call(context.Context, ServiceCall) (ServiceAnswer, *outcome.Refusal) {
	return ServiceAnswer{}, outcome.NotRun(outcome.CodeUnknownRoute, "no route")
}
func (s *stubBackend) CheckKey(key string) *outcome.Refusal {
	if key != "" && key != "good-key" {
		return outcome.NotRun(outcome.CodeUnauthorized, "the key is missing, unknown or withdrawn")
	}
	return nil
}
func (s *stubBackend) Models(string) ([]string, *outcome.Refusal) { return []string{"m"}, nil }
func (s *stubBackend) Ready() bool                                { return true }

func startServer(t *testing.T, backend Backend, options Options) (*httptest.Server, *http.Client) {
	server := httptest.NewServer(NewHandler(backend, options))
	Reset(server.Close)
	client := &http.Client{Transport: &http.Transport{}}
	Reset(client.CloseIdleConnections)
	return server, client
}

func testOptions() Options {
	return Options{MaxBodyBytes: 4096, MaxConcurrent: 4, BodyTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second}
}

// clientResponse is a response whose body has been read.
type clientResponse struct {
	status int
	header http.Header
	closes bool
	body   string
}

func post(client *http.Client, url, key, body string) (clientResponse, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return clientResponse{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	return send(client, req)
}

func send(client *http.Client, req *http.Request) (clientResponse, error) {
	resp, err := client.Do(req)
	if err != nil {
		return clientResponse{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, header: resp.Header, closes: resp.Close, body: string(data)}, err
}

func TestStoppingServerClosesConnections(t *testing.T) {
	Convey("A stopping process answers requests and asks callers to close the connection", t, func() {
		var stopping atomic.Bool
		options := testOptions()
		options.Draining = stopping.Load
		server, client := startServer(t, &stubBackend{}, options)
		for _, wantClose := range []bool{false, true} {
			stopping.Store(wantClose)
			for _, body := range []string{`{"model":"m","prompt":"p"}`, `{"model":"m","prompt":"p","stream":true}`, `{`} {
				resp, err := post(client, server.URL, "good-key", body)
				So(err, ShouldBeNil)
				So(resp.closes, ShouldEqual, wantClose)
			}
		}
	})
}
