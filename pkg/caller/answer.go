package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// completionWriter writes the answer of one completion request, either as
// server-sent events or as a single JSON body. It implements Sink.
type completionWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	request    CompletionRequest
	created    int64
	targetVM   string
	text       strings.Builder
	started    bool
}

func newCompletionWriter(w http.ResponseWriter, request CompletionRequest) *completionWriter {
	return &completionWriter{
		w:          w,
		controller: http.NewResponseController(w),
		request:    request,
		created:    time.Now().Unix(),
	}
}

// Begin implements Sink.
func (c *completionWriter) Begin(targetVM string) error {
	c.targetVM = targetVM
	return nil
}

// WriteText implements Sink.
func (c *completionWriter) WriteText(text string) error {
	if !c.request.Stream {
		c.text.WriteString(text)
		return nil
	}
	return c.sendEvent(c.newChunk(text, ""))
}

// Finish implements Sink.
func (c *completionWriter) Finish(reason string, usage Usage) error {
	if !c.request.Stream {
		return c.writeResponse(reason, usage)
	}
	last := c.newChunk("", reason)
	last.Usage = newUsageBody(usage)
	if err := c.sendEvent(last); err != nil {
		return err
	}
	return c.sendData([]byte("[DONE]"))
}

// writeError ends the answer with an error: as an error response if nothing has
// been written yet, and as an error event otherwise.
func (c *completionWriter) writeError(refusal *outcome.Refusal) {
	if !c.started {
		writeRefusal(c.w, refusal)
		return
	}
	// A write error means that the caller has disconnected.
	_ = c.sendEvent(newErrorBody(refusal))
}

func (c *completionWriter) writeResponse(reason string, usage Usage) error {
	body := c.newResponse(c.objectName(false))
	choice := choiceBody{FinishReason: &reason}
	text := c.text.String()
	if c.request.Chat {
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.Choices = []choiceBody{choice}
	body.Usage = newUsageBody(usage)
	c.setHeaders("application/json")
	c.started = true
	return json.NewEncoder(c.w).Encode(body)
}

func (c *completionWriter) newChunk(text, reason string) completionResponse {
	body := c.newResponse(c.objectName(true))
	choice := choiceBody{}
	if reason != "" {
		choice.FinishReason = &reason
	}
	if c.request.Chat {
		choice.Delta = &messageBody{Content: text}
		if !c.started {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	body.Choices = []choiceBody{choice}
	return body
}

func (c *completionWriter) sendEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.sendData(data)
}

func (c *completionWriter) sendData(data []byte) error {
	if !c.started {
		c.setHeaders("text/event-stream")
		c.w.WriteHeader(http.StatusOK)
		c.started = true
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	return c.controller.Flush()
}

func (c *completionWriter) setHeaders(contentType string) {
	header := c.w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRan, outcome.RanYes.String())
	header.Set(HeaderTarget, c.targetVM)
}

func (c *completionWriter) newResponse(object string) completionResponse {
	return completionResponse{
		ID:      "cmpl-" + c.request.RequestID,
		Object:  object,
		Created: c.created,
		Model:   c.request.Model,
	}
}

func (c *completionWriter) objectName(chunk bool) string {
	switch {
	case c.request.Chat && chunk:
		return "chat.completion.chunk"
	case c.request.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// writeRefusal writes an error response.
func writeRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRan, refusal.Ran.String())
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(refusal.Code.HTTPStatus())
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal))
}

func writeModels(w http.ResponseWriter, names []string) {
	list := modelList{Object: "list", Data: make([]modelEntry, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "baobabhub"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func writeServiceAnswer(w http.ResponseWriter, answer ServiceAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderRan, outcome.RanYes.String())
	if answer.TargetVM != "" {
		header.Set(HeaderTarget, answer.TargetVM)
	}
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
