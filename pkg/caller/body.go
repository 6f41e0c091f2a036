package caller

import "github.com/baobabhub/baobabhub/pkg/outcome"

// completionResponse is the JSON body of an answer or of one of its chunks.
type completionResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *messageBody `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usageBody struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type errorBody struct {
	Error errorDetails `json:"error"`
}

type errorDetails struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    outcome.Code `json:"code"`
	Ran     string       `json:"ran"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func newUsageBody(usage Usage) *usageBody {
	return &usageBody{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: promptDetails{CachedTokens: usage.CachedTokens},
	}
}

func newErrorBody(refusal *outcome.Refusal) errorBody {
	errorType := "server_error"
	if refusal.Code.HTTPStatus() < 500 {
		errorType = "invalid_request_error"
	}
	return errorBody{Error: errorDetails{
		Message: refusal.Message,
		Type:    errorType,
		Code:    refusal.Code,
		Ran:     refusal.Ran.String(),
	}}
}
