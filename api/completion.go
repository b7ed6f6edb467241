package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// responseFormat defines how responses of the chat and text completion calls
// differ.
type responseFormat struct {
	object      string // object type of a complete response
	chunkObject string // object type of a streamed chunk
	choice      func(text string, finish *string) any
	chunk       func(text string, first bool, finish *string) any
}

var chatFormat = responseFormat{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	choice: func(text string, finish *string) any {
		return chatChoice{Message: chatMessage{Role: "assistant", Content: text}, FinishReason: finish}
	},
	chunk: func(text string, first bool, finish *string) any {
		d := delta{Content: text}
		if first {
			d.Role = "assistant"
		}
		return chatChunk{Delta: d, FinishReason: finish}
	},
}

var textFormat = responseFormat{
	object:      "text_completion",
	chunkObject: "text_completion",
	choice:      func(text string, finish *string) any { return textChoice{Text: text, FinishReason: finish} },
	chunk:       func(text string, _ bool, finish *string) any { return textChoice{Text: text, FinishReason: finish} },
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason *string     `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChunk struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// reply is a complete response or one streamed chunk.
type reply struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

func (x *exchange) chatRequest() (submit.Request, options, error) {
	var body chatRequest
	if err := x.decodeBody(&body); err != nil {
		return submit.Request{}, options{}, err
	}
	if len(body.Messages) == 0 {
		return submit.Request{}, options{}, badField("messages", "messages must have at least one message")
	}
	if err := body.validate(); err != nil {
		return submit.Request{}, options{}, err
	}
	request, err := x.newRequest(body.options, body.promptText())
	return request, body.options, err
}

func (x *exchange) completionRequest() (submit.Request, options, error) {
	var body completionRequest
	if err := x.decodeBody(&body); err != nil {
		return submit.Request{}, options{}, err
	}
	if body.Prompt == "" {
		return submit.Request{}, options{}, badField("prompt", "prompt is missing")
	}
	request, err := x.newRequest(body.options, string(body.Prompt))
	return request, body.options, err
}

func (s *Server) chat(x *exchange) error {
	request, o, err := x.chatRequest()
	if err != nil {
		return err
	}
	return x.serve(request, o, chatFormat)
}

func (s *Server) completion(x *exchange) error {
	request, o, err := x.completionRequest()
	if err != nil {
		return err
	}
	return x.serve(request, o, textFormat)
}

// serve submits the request and writes the response, streamed if requested.
func (x *exchange) serve(request submit.Request, o options, f responseFormat) error {
	x.server.options.Recorder.Record(timeline.Event{
		Kind:      timeline.KindReceived,
		Request:   x.id,
		Account:   x.account.Name,
		Step:      "entry.api",
		Detail:    request.Class().String() + " prompt for " + request.Model,
		Tokens:    request.Prompt.Tokens,
		Remaining: request.Remaining,
	})
	ctx, cancel := x.withDeadline(request.Remaining)
	defer cancel()
	answer, err := x.server.options.Submitter.Submit(ctx, request)
	if err != nil {
		return x.deadlineError(ctx, err)
	}
	defer answer.Close()
	if o.Stream {
		return x.stream(ctx, answer, request, o, f)
	}
	return x.writeComplete(ctx, answer, request, f)
}

// writeComplete collects all frames and writes them as one response.
func (x *exchange) writeComplete(ctx context.Context, answer submit.Answer, request submit.Request, f responseFormat) error {
	var text strings.Builder
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return x.deadlineError(ctx, truncationError(err))
		}
		text.WriteString(frame.Text)
		if frame.Finish == engine.FinishNone {
			continue
		}
		body := x.newReply(f.object, request.Model, f.choice(text.String(), finishReason(frame.Finish)))
		body.Usage = usageOf(frame.Usage)
		x.record(timeline.KindFinished, string(frame.Finish), "")
		x.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(x.w).Encode(body)
		return nil
	}
}

func (x *exchange) newReply(object, model string, choices ...any) reply {
	return reply{ID: x.id, Object: object, Created: x.start.Unix(), Model: model, Choices: choices}
}

// deadlineError replaces err with a deadline_passed error if the context's
// deadline has expired, unless the request was not run.
func (x *exchange) deadlineError(ctx context.Context, err error) error {
	e := outcome.From(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.State != outcome.NotRun {
		expired := outcome.Fail(outcome.CodeDeadlinePassed, e.State, "entry.api", err)
		expired.Message = "the request deadline has passed"
		return expired
	}
	return err
}

// truncationError maps io.EOF before a finish frame to a truncation error.
func truncationError(err error) error {
	if errors.Is(err, io.EOF) {
		e := outcome.Fail(outcome.CodeTruncated, outcome.Unknown, "entry.api", err)
		e.Message = "the response ended without a finish reason"
		return e
	}
	return err
}

func finishReason(f engine.FinishReason) *string {
	reason := string(f)
	return &reason
}

func usageOf(u engine.Usage) *usage {
	return &usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.GeneratedTokens,
		TotalTokens:      u.PromptTokens + u.GeneratedTokens,
		Details:          usageDetails{CachedTokens: u.CachedTokens},
	}
}

// modelObject is one entry of the model list.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func (s *Server) models(x *exchange) error {
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range x.config.Models {
		if _, err := x.model(m.Name); err != nil {
			continue
		}
		list.Data = append(list.Data, modelObject{ID: m.Name, Object: "model", OwnedBy: x.config.Name})
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(http.StatusOK)
	return json.NewEncoder(x.w).Encode(list)
}

// elapsed returns the time since the request was received.
func (x *exchange) elapsed() time.Duration { return time.Since(x.start) }
