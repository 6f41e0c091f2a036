package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// decodeErrorBody returns the code and ran fields of an error body.
func decodeErrorBody(body string) (outcome.Code, string) {
	var parsed errorBody
	if json.Unmarshal([]byte(body), &parsed) != nil {
		return "", ""
	}
	return parsed.Error.Code, parsed.Error.Ran
}

func TestInvalidRequests(t *testing.T) {
	const jsonType = "application/json"
	cases := []struct {
		name, method, path, contentType, key, body string

		status int
		code   outcome.Code
	}{
		{"body too large", "POST", "/v1/completions", jsonType, "good-key", strings.Repeat("x", 5000), 413, outcome.CodeBodyTooLarge},
		{"truncated JSON", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":"p`, 400, outcome.CodeInvalidRequest},
		{"empty body", "POST", "/v1/completions", jsonType, "good-key", ``, 400, outcome.CodeInvalidRequest},
		{"two JSON values", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":"p"}{}`, 400, outcome.CodeInvalidRequest},
		{"deep nesting", "POST", "/v1/completions", jsonType, "good-key", strings.Repeat("[", 4000), 400, outcome.CodeInvalidRequest},
		{"wrong content type", "POST", "/v1/completions", "text/plain", "good-key", `{"model":"m","prompt":"p"}`, 400, outcome.CodeInvalidRequest},
		{"missing content type", "POST", "/v1/completions", "", "good-key", `{"model":"m","prompt":"p"}`, 400, outcome.CodeInvalidRequest},
		{"missing model", "POST", "/v1/completions", jsonType, "good-key", `{"prompt":"p"}`, 400, outcome.CodeInvalidRequest},
		{"missing prompt", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m"}`, 400, outcome.CodeInvalidRequest},
		{"two prompts", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":["a","b"]}`, 400, outcome.CodeInvalidRequest},
		{"two answers", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":"p","n":2}`, 400, outcome.CodeInvalidRequest},
		{"negative max_tokens", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":"p","max_tokens":-1}`, 400, outcome.CodeInvalidRequest},
		{"max_tokens out of range", "POST", "/v1/completions", jsonType, "good-key", `{"model":"m","prompt":"p","max_tokens":1e300}`, 400, outcome.CodeInvalidRequest},
		{"image content part", "POST", "/v1/chat/completions", jsonType, "good-key", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, outcome.CodeInvalidRequest},
		{"wrong method", "DELETE", "/v1/completions", jsonType, "good-key", ``, 400, outcome.CodeInvalidRequest},
		{"unknown model", "POST", "/v1/completions", jsonType, "good-key", `{"model":"x","prompt":"p"}`, 404, outcome.CodeUnknownModel},
		{"unknown key", "POST", "/v1/completions", jsonType, "bad-key", `{"model":"m","prompt":"p"}`, 401, outcome.CodeUnauthorized},
		{"unknown path", "POST", "/../etc", jsonType, "good-key", `{}`, 404, outcome.CodeUnknownRoute},
	}
	Convey("An invalid request is refused as not run, with its error code and without the API key in the response", t, func() {
		server, client := startServer(t, &stubBackend{}, testOptions())
		for _, c := range cases {
			req, err := http.NewRequest(c.method, server.URL+c.path, strings.NewReader(c.body))
			So(err, ShouldBeNil)
			req.Header.Set("Authorization", "Bearer "+c.key)
			if c.contentType != "" {
				req.Header.Set("Content-Type", c.contentType)
			}
			got, err := send(client, req)
			So(err, ShouldBeNil)
			code, ran := decodeErrorBody(got.body)
			So(fmt.Sprint(c.name, ": ", got.status, code, ran, got.header.Get(HeaderRan)), ShouldEqual,
				fmt.Sprint(c.name, ": ", c.status, c.code, "no", "no"))
			So(got.body, ShouldNotContainSubstring, c.key)
		}
	})
	Convey("A request beyond the concurrency limit is refused immediately", t, func() {
		backend := &stubBackend{unblock: make(chan struct{})}
		options := testOptions()
		server, client := startServer(t, backend, options)
		for range options.MaxConcurrent {
			go func() { _, _ = post(client, server.URL, "good-key", `{"model":"m","prompt":"p"}`) }()
		}
		for backend.calls.Load() < int64(options.MaxConcurrent) {
			time.Sleep(time.Millisecond)
		}
		got, err := post(client, server.URL, "good-key", `{"model":"m","prompt":"p"}`)
		close(backend.unblock)
		So(err, ShouldBeNil)
		code, _ := decodeErrorBody(got.body)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(code, ShouldEqual, outcome.CodeOverloaded)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(got.header.Get(HeaderRan), ShouldEqual, "no")
	})
	Convey("A body that does not arrive within the timeout is refused", t, func() {
		options := testOptions()
		options.BodyTimeout = 100 * time.Millisecond
		server, _ := startServer(t, &stubBackend{}, options)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
		So(err, ShouldBeNil)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
		So(resp.Header.Get(HeaderRan), ShouldEqual, "no")
	})
}

// FuzzParseCompletion checks that no body makes the parser panic, and that each
// accepted request is valid JSON with a model, a prompt and no negative token limit.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`), false)
	f.Add([]byte(`{"model":"m","prompt":["p"]}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"t"}]}]}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":null,"content":null}]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		request, refusal := parseCompletion("application/json", body, chat)
		if refusal != nil {
			if refusal.Ran != outcome.RanNo {
				t.Fatal("refused request is not reported as not run")
			}
			return
		}
		if request.Model == "" || len(request.Prompt) == 0 || request.MaxTokens < 0 {
			t.Fatalf("parser accepted an invalid request: %+v", request)
		}
		if !json.Valid(bytes.TrimSpace(body)) {
			t.Fatal("parser accepted a body that is not valid JSON")
		}
	})
}
