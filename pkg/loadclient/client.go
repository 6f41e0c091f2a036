// Package loadclient provides a caller that sends requests to routers and measures
// the streamed answers.
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

// Result is the outcome of one request.
type Result struct {
	Request workload.Request
	// Status is the HTTP status code, or 0 if there was no response.
	Status int
	// Code is the error code of an error response or error event.
	Code string
	// Ran states whether the call ran, as given in the response header or the
	// error.
	Ran string
	// RetryAfter is the response's Retry-After header.
	RetryAfter string
	RequestID  string
	Target     string
	Text       string
	// Complete reports whether the stream contained the token usage and ended with
	// the [DONE] event.
	Complete         bool
	FirstToken       time.Duration
	Total            time.Duration
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	// InterTokenTimes lists the times between consecutive chunks of the answer's
	// text.
	InterTokenTimes []time.Duration
	Err             error
}

// Client sends requests to one router.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a Client for the router at address, in the form host:port.
func New(address string) *Client {
	return &Client{
		baseURL:    "http://" + address,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}},
	}
}

// maxIdleConnections is the number of connections kept open for reuse.
const maxIdleConnections = 256

// Close closes idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete sends a text completion request and reads the streamed answer.
func (c *Client) Complete(ctx context.Context, request workload.Request) Result {
	result := Result{Request: request}
	body, err := json.Marshal(completionRequest{
		Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: true,
	})
	if err != nil {
		result.Err = errors.Trace(err)
		return result
	}
	start := time.Now()
	result.Err = c.send(ctx, body, start, &result)
	result.Total = time.Since(start)
	return result
}

func (c *Client) send(ctx context.Context, body []byte, start time.Time, result *Result) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key := result.Request.Account.Key; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.httpClient.Do(req)
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
		return decodeErrorResponse(resp.Body, result)
	}
	return readStream(resp.Body, start, result)
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func decodeErrorResponse(body io.Reader, result *Result) error {
	var parsed errorResponse
	if err := json.NewDecoder(body).Decode(&parsed); err != nil {
		return errors.Annotate(err, "error answer")
	}
	result.Code = parsed.Error.Code
	result.Ran = parsed.Error.Ran
	return nil
}

type completionChunk struct {
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
	errorResponse
}

// maxEventLineBytes is the maximum length of a line in an event stream.
const maxEventLineBytes = 1 << 20

// readStream reads server-sent events until the [DONE] event or an error event and
// stores the answer in result.
func readStream(body io.Reader, start time.Time, result *Result) error {
	var text strings.Builder
	var hasUsage bool
	lastTokenTime := start
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLineBytes)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			result.Text = text.String()
			result.Complete = hasUsage
			return nil
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Annotate(err, "event")
		}
		if chunk.Error.Code != "" {
			result.Code, result.Ran = chunk.Error.Code, chunk.Error.Ran
			result.Text = text.String()
			return nil
		}
		hasUsage = applyChunk(&chunk, &text, start, &lastTokenTime, result) || hasUsage
	}
	result.Text = text.String()
	if err := scanner.Err(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(io.ErrUnexpectedEOF)
}

// applyChunk adds one chunk to the result. It reports whether the chunk contains
// the token usage, which only the final chunk does.
func applyChunk(chunk *completionChunk, text *strings.Builder, start time.Time, lastTokenTime *time.Time, result *Result) bool {
	now := time.Now()
	for _, choice := range chunk.Choices {
		if choice.Text != "" {
			if text.Len() == 0 {
				result.FirstToken = now.Sub(start)
			} else {
				result.InterTokenTimes = append(result.InterTokenTimes, now.Sub(*lastTokenTime))
			}
			*lastTokenTime = now
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
