package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// CompletionRequest is one text or chat completion request.
type CompletionRequest struct {
	// RequestID is a unique id generated for each request.
	RequestID string
	// APIKey is the caller's key, or empty if the request has none.
	APIKey string
	// Model is the requested model name.
	Model string
	// Adapter is the name of one of the model's adapters, or empty for none.
	Adapter string
	// Prompt is the full prompt text. For chat, it is rendered from the messages.
	Prompt []byte
	// MaxTokens limits the answer's length; 0 if the request sets no limit.
	MaxTokens int
	// Stream requests the answer as server-sent events.
	Stream bool
	// Chat marks a chat completion, as opposed to a text completion.
	Chat bool
}

// completionRequestBody is the JSON body of both kinds of completion requests.
type completionRequestBody struct {
	Model               string        `json:"model"`
	Adapter             string        `json:"adapter"`
	Prompt              promptText    `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

// promptText is a prompt encoded as a string or as a list of one string.
type promptText string

// UnmarshalJSON decodes a string or a list of one string.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*p = promptText(text)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return fmt.Errorf("prompt must be a string or a list of one string")
	}
	*p = promptText(list[0])
	return nil
}

// chatMessage is one message of a chat completion.
type chatMessage struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// contentText is message content encoded as a string or as a list of text parts.
type contentText string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string or a list of text parts.
func (c *contentText) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = contentText(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = contentText(joined.String())
	return nil
}

// parseCompletion parses and validates the body of a completion request.
func parseCompletion(contentType string, body []byte, chat bool) (CompletionRequest, *outcome.Refusal) {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "application/json" {
		return CompletionRequest{}, invalidRequest("content type must be application/json")
	}
	var parsed completionRequestBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return CompletionRequest{}, invalidRequest("body is not a valid request: " + err.Error())
	}
	request := CompletionRequest{
		Model:   parsed.Model,
		Adapter: parsed.Adapter,
		Stream:  parsed.Stream,
		Chat:    chat,
	}
	if parsed.Model == "" {
		return CompletionRequest{}, invalidRequest("model is missing")
	}
	if parsed.N != nil && *parsed.N != 1 {
		return CompletionRequest{}, invalidRequest("n must be 1")
	}
	maxTokens, refusal := requestedMaxTokens(parsed)
	if refusal != nil {
		return CompletionRequest{}, refusal
	}
	request.MaxTokens = maxTokens
	request.Prompt = []byte(parsed.Prompt)
	if chat {
		request.Prompt = renderChat(parsed.Messages)
	}
	if len(request.Prompt) == 0 {
		return CompletionRequest{}, invalidRequest("prompt or messages are missing")
	}
	return request, nil
}

func requestedMaxTokens(parsed completionRequestBody) (int, *outcome.Refusal) {
	maxTokens := parsed.MaxTokens
	if parsed.MaxCompletionTokens != nil {
		maxTokens = parsed.MaxCompletionTokens
	}
	if maxTokens == nil {
		return 0, nil
	}
	if *maxTokens < 1 {
		return 0, invalidRequest("max_tokens must be at least 1")
	}
	return *maxTokens, nil
}

// renderChat joins messages into one prompt. Chats that start with the same
// messages give prompts with the same prefix.
func renderChat(messages []chatMessage) []byte {
	var prompt bytes.Buffer
	for _, message := range messages {
		fmt.Fprintf(&prompt, "<|%s|>\n%s\n", message.Role, string(message.Content))
	}
	if prompt.Len() > 0 {
		prompt.WriteString("<|assistant|>\n")
	}
	return prompt.Bytes()
}

// bearerToken returns the bearer token of the Authorization header, which is the
// API key, or an empty string.
func bearerToken(header http.Header) string {
	scheme, token, found := strings.Cut(header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func invalidRequest(message string) *outcome.Refusal {
	return outcome.NotRun(outcome.CodeInvalidRequest, message)
}
