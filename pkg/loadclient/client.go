// Package loadclient sends requests to routers as callers do and checks the
// streamed answers.
package loadclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// Result is what became of one request.
type Result struct {
	Request workload.Request
	// Status is the HTTP status; 0 when there was no response.
	Status int
	// Code and Ran are those of an error answer.
	Code string
	Ran  string
	// RetryAfter is the answer's Retry-After header.
	RetryAfter string
	RequestID  string
	Target     string
	Text       string
	// Complete says that the answer ended as it should.
	Complete         bool
	FirstToken       time.Duration
	Total            time.Duration
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	// InterTokenTimes are the times between the answer's parts.
	InterTokenTimes []time.Duration
	Err             error
}

// Client sends requests to one router.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the router at address, host:port.
func New(address string) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
	}
}

const maxIdleConns = 256

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete sends a streamed text completion and reads its answer.
func (c *Client) Complete(ctx context.Context, request workload.Request) Result {
	result := Result{Request: request}
	body, err := json.Marshal(completionRequest{
		Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: true,
	})
	if err != nil {
		result.Err = errors.Trace(err)
		return result
	}
	started := time.Now()
	result.Err = c.send(ctx, body, started, &result)
	result.Total = time.Since(started)
	return result
}

func (c *Client) send(ctx context.Context, body []byte, started time.Time, result *Result) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key := result.Request.Account.Key; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	result.Status = resp.StatusCode
	result.Ran = resp.Header.Get(caller.HeaderRan)
	result.RetryAfter = resp.Header.Get("Retry-After")
	result.RequestID = resp.Header.Get(caller.HeaderRequestID)
	result.Target = resp.Header.Get(caller.HeaderTarget)
	if resp.StatusCode != http.StatusOK {
		return readError(resp.Body, result)
	}
	return readStream(resp.Body, started, result)
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func readError(body io.Reader, result *Result) error {
	var parsed errorBody
	if err := json.NewDecoder(body).Decode(&parsed); err != nil {
		return errors.Annotate(err, "error answer")
	}
	result.Code = parsed.Error.Code
	result.Ran = parsed.Error.Ran
	return nil
}

type chunkBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	errorBody
}

const maxEventBytes = 1 << 20

// readStream reads server-sent events up to the end mark or an error event.
func readStream(body io.Reader, started time.Time, result *Result) error {
	var text strings.Builder
	var finished bool
	last := started
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			result.Text = text.String()
			result.Complete = finished
			return nil
		}
		var chunk chunkBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Annotate(err, "event")
		}
		if chunk.Error.Code != "" {
			result.Code, result.Ran = chunk.Error.Code, chunk.Error.Ran
			result.Text = text.String()
			return nil
		}
		finished = takeChunk(&chunk, &text, started, &last, result) || finished
	}
	result.Text = text.String()
	if err := lines.Err(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(io.ErrUnexpectedEOF)
}

// takeChunk adds one chunk to the result and says whether it was the last.
func takeChunk(chunk *chunkBody, text *strings.Builder, started time.Time, last *time.Time, result *Result) bool {
	now := time.Now()
	for _, choice := range chunk.Choices {
		if choice.Text != "" {
			if text.Len() == 0 {
				result.FirstToken = now.Sub(started)
			} else {
				result.InterTokenTimes = append(result.InterTokenTimes, now.Sub(*last))
			}
			*last = now
			text.WriteString(choice.Text)
		}
	}
	if chunk.Usage == nil {
		return false
	}
	result.PromptTokens = chunk.Usage.PromptTokens
	result.CachedTokens = chunk.Usage.Details.CachedTokens
	result.CompletionTokens = chunk.Usage.CompletionTokens
	return true
}
