// Package wireform defines the JSON messages between the client of
// OpenAI-compatible engines and the emulator. Completions, models and adapters
// follow the published API of such engines; operations that this API does not
// cover are served under /engine.
package wireform

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Paths of the operations that the OpenAI-compatible API does not cover.
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

// HTTP header names.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderFence     = "X-Fencing-Number"
)

// Completion is the body of a completion request. Engines that do not know
// Extension ignore it.
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

// StreamOptions requests usage reports in a streamed completion.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Extension holds request fields that the OpenAI-compatible API lacks.
type Extension struct {
	Adapter     string `json:"adapter,omitempty"`
	PrefillOnly bool   `json:"prefill_only,omitempty"` // only prefill; MaxTokens is then 1
	Generated   int    `json:"generated,omitempty"`    // bytes at the end of Prompt that an earlier attempt generated
	Offset      int    `json:"offset,omitempty"`       // tokens in the generated part of Prompt
}

// Work converts c to the work of attempt k.
func (c Completion) Work(k engine.Key) engine.Work {
	w := engine.Work{
		Key:            k,
		Model:          c.Model,
		Prompt:         engine.Prompt{Text: c.Prompt},
		MaxTokens:      c.MaxTokens,
		Priority:       engine.Priority(c.Priority),
		Segment:        c.Segment,
		ContextHandles: c.Context,
	}
	extension := c.Extension
	if extension == nil {
		return w
	}
	cut := len(c.Prompt) - min(max(extension.Generated, 0), len(c.Prompt))
	w.Adapter = extension.Adapter
	w.Prompt.Text = c.Prompt[:cut]
	w.Generated = c.Prompt[cut:]
	w.Offset = extension.Offset
	w.MaxTokens += extension.Offset
	if extension.PrefillOnly {
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

// Choice is the only choice of an Event.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens. It is part of every event.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails reports how many prompt tokens were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// EventOf converts a chunk to an event. generated is the number of tokens up to
// and including the chunk.
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

// Models is the response body of /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model or adapter.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// Adapter is the body of a request to load or unload an adapter.
type Adapter struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Transfer identifies exported KV memory, as the response to an export or the
// body of an import.
type Transfer struct {
	Key    engine.Key
	Handle string
}

// Failure is the OpenAI error object, extended by whether the request ran.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody holds the fields of a Failure.
type FailureBody struct {
	Code    outcome.Code `json:"code"`
	Message string       `json:"message"`
	Type    string       `json:"type"`
	NotRun  bool         `json:"not_run"`
}

// FailureOf converts e to an error object.
func FailureOf(e *outcome.Error) Failure {
	return Failure{FailureBody{Code: e.Code, Message: e.Message, Type: "invalid_request_error", NotRun: e.State == outcome.NotRun}}
}

// Status returns the HTTP status code for e.
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

// FormatKey encodes k as the value of HeaderRequestID.
func FormatKey(k engine.Key) string {
	return k.Request + "/" + strconv.FormatUint(uint64(k.Attempt), 10)
}

// ParseKey decodes the result of FormatKey. Any other text is taken as the
// request of attempt 0.
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
