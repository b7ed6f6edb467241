// Package wireform is the JSON that the adapter to OpenAI-compatible engines
// and the emulator exchange. Completions, models and adapters follow the form
// that such engines publish; calls without a published form are the small ones
// under /engine.
package wireform

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Paths of the calls without a published form.
const (
	PathDescribe = "/engine/describe"
	PathLoad     = "/engine/load"
	PathHoldings = "/engine/holdings"
	PathEvents   = "/engine/cache_events"
	PathCancel   = "/engine/cancel"
	PathExport   = "/engine/export"
	PathImport   = "/engine/import"
	PathOrder    = "/engine/order"
)

// Headers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderFence     = "X-Fencing-Number"
)

// Completion is the body of a completion. Extension holds fields that a plain
// engine ignores.
type Completion struct {
	Model         string          `json:"model"`
	Prompt        string          `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	Priority      int             `json:"priority,omitempty"`
	Stream        bool            `json:"stream,omitempty"`
	StreamOptions *StreamOptions  `json:"stream_options,omitempty"`
	Extension     *Extension      `json:"extension,omitempty"`
	Segment       *engine.Segment `json:"segment,omitempty"`
	Context       []string        `json:"context,omitempty"`
}

// StreamOptions asks for the usage on a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Extension tells what the published form has no field for.
type Extension struct {
	Adapter     string `json:"adapter,omitempty"`
	PrefillOnly bool   `json:"prefill_only,omitempty"` // MaxTokens is then 1
	Generated   int    `json:"generated,omitempty"`    // bytes at the end of Prompt that are an earlier answer
	Offset      int    `json:"offset,omitempty"`       // tokens in them
}

// Work returns the work that c asks for.
func (c Completion) Work(k engine.Key) engine.Work {
	w := engine.Work{
		Key:       k,
		Model:     c.Model,
		Prompt:    engine.Prompt{Text: c.Prompt},
		MaxTokens: c.MaxTokens,
		Priority:  engine.Priority(c.Priority),
		Segment:   c.Segment,
		Context:   c.Context,
	}
	x := c.Extension
	if x == nil {
		return w
	}
	cut := len(c.Prompt) - min(x.Generated, len(c.Prompt))
	w.Adapter = x.Adapter
	w.Prompt.Text = c.Prompt[:cut]
	w.Generated = c.Prompt[cut:]
	w.Offset = x.Offset
	w.MaxTokens += x.Offset
	if x.PrefillOnly {
		w.MaxTokens = 0
	}
	return w
}

// Event is one event of a streamed completion.
type Event struct {
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of an event.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens. It rides on every event.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// EventOf returns the event of a chunk after generated tokens.
func EventOf(c engine.Chunk, generated int) Event {
	choice := Choice{Text: c.Text}
	if c.Finish != engine.FinishNone {
		reason := string(c.Finish)
		choice.FinishReason = &reason
	}
	return Event{
		Object:  "text_completion",
		Choices: []Choice{choice},
		Usage: &Usage{
			PromptTokens:     c.Usage.PromptTokens,
			CompletionTokens: generated,
			TotalTokens:      c.Usage.PromptTokens + generated,
			Details:          PromptDetails{CachedTokens: c.Usage.CachedTokens},
		},
	}
}

// Models is the list of models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model or adapter.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// Adapter names an adapter to load or unload.
type Adapter struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Transfer is one export or import of KV memory.
type Transfer struct {
	Key    engine.Key
	Handle string
}

// Failure is the usual error object, with the state of the request.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody is the content of Failure.
type FailureBody struct {
	Code    outcome.Code `json:"code"`
	Message string       `json:"message"`
	Type    string       `json:"type"`
	NotRun  bool         `json:"not_run"`
}

// FailureOf returns the error object of e.
func FailureOf(e *outcome.Error) Failure {
	return Failure{FailureBody{Code: e.Code, Message: e.Message, Type: "invalid_request_error", NotRun: e.State == outcome.NotRun}}
}

// Status returns the HTTP status of e.
func Status(e *outcome.Error) int {
	switch e.Code {
	case outcome.CodeModelNotFound, outcome.CodeNotFound:
		return http.StatusNotFound
	case outcome.CodeInvalidRequest, outcome.CodePromptTooLong:
		return http.StatusBadRequest
	case outcome.CodeConflict, outcome.CodeStaleFence:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// FormatKey returns the request identifier of an attempt.
func FormatKey(k engine.Key) string {
	return k.Request + "/" + strconv.FormatUint(uint64(k.Attempt), 10)
}

// ParseKey reads what FormatKey wrote. Other text becomes attempt 0 of itself.
func ParseKey(text string) engine.Key {
	cut := strings.LastIndexByte(text, '/')
	if cut < 0 {
		return engine.Key{Request: text}
	}
	attempt, err := strconv.ParseUint(text[cut+1:], 10, 32)
	if err != nil {
		return engine.Key{Request: text}
	}
	return engine.Key{Request: text[:cut], Attempt: uint32(attempt)}
}
