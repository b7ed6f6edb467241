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

// form is the difference between the two completion calls.
type form struct {
	object      string // object of a whole answer
	chunkObject string // object of a streamed piece
	choice      func(text string, finish *string) any
	chunk       func(text string, first bool, finish *string) any
}

var chatForm = form{
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

var textForm = form{
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

// reply is a whole answer or a streamed piece of one.
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
	if err := x.decode(&body); err != nil {
		return submit.Request{}, options{}, err
	}
	if len(body.Messages) == 0 {
		return submit.Request{}, options{}, badField("messages", "messages must have at least one message")
	}
	if err := body.check(); err != nil {
		return submit.Request{}, options{}, err
	}
	request, err := x.request(body.options, body.text())
	return request, body.options, err
}

func (x *exchange) completionRequest() (submit.Request, options, error) {
	var body completionRequest
	if err := x.decode(&body); err != nil {
		return submit.Request{}, options{}, err
	}
	if body.Prompt == "" {
		return submit.Request{}, options{}, badField("prompt", "prompt is missing")
	}
	request, err := x.request(body.options, string(body.Prompt))
	return request, body.options, err
}

func (s *Server) chat(x *exchange) error {
	request, o, err := x.chatRequest()
	if err != nil {
		return err
	}
	return x.serve(request, o, chatForm)
}

func (s *Server) completion(x *exchange) error {
	request, o, err := x.completionRequest()
	if err != nil {
		return err
	}
	return x.serve(request, o, textForm)
}

// serve submits the request and writes its answer in the asked form.
func (x *exchange) serve(request submit.Request, o options, f form) error {
	x.server.options.Recorder.Record(timeline.Event{
		Kind:      timeline.KindReceived,
		Request:   x.id,
		Account:   x.account.Name,
		Step:      "entry.api",
		Detail:    request.Class().String() + " prompt for " + request.Model,
		Tokens:    request.Prompt.Tokens,
		Remaining: request.Remaining,
	})
	ctx, cancel := x.context(request.Remaining)
	defer cancel()
	answer, err := x.server.options.Submitter.Submit(ctx, request)
	if err != nil {
		return x.late(ctx, err)
	}
	defer answer.Close()
	if o.Stream {
		return x.stream(ctx, answer, request, o, f)
	}
	return x.whole(ctx, answer, request, f)
}

// whole writes the answer in one piece.
func (x *exchange) whole(ctx context.Context, answer submit.Answer, request submit.Request, f form) error {
	var text strings.Builder
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return x.late(ctx, endless(err))
		}
		text.WriteString(frame.Text)
		if frame.Finish == engine.FinishNone {
			continue
		}
		body := x.reply(f.object, request.Model, f.choice(text.String(), finishReason(frame.Finish)))
		body.Usage = usageOf(frame.Usage)
		x.record(timeline.KindFinished, string(frame.Finish), "")
		x.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(x.w).Encode(body)
		return nil
	}
}

func (x *exchange) reply(object, model string, choices ...any) reply {
	return reply{ID: x.id, Object: object, Created: x.start.Unix(), Model: model, Choices: choices}
}

// late turns the end of the context into the failure that it stands for.
func (x *exchange) late(ctx context.Context, err error) error {
	e := outcome.From(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.State != outcome.NotRun {
		passed := outcome.Fail(outcome.CodeDeadlinePassed, e.State, "entry.api", err)
		passed.Message = "the time for this request has passed"
		return passed
	}
	return err
}

// endless types an end of the frames without a finish.
func endless(err error) error {
	if errors.Is(err, io.EOF) {
		e := outcome.Fail(outcome.CodeTruncated, outcome.Unknown, "entry.api", err)
		e.Message = "the answer broke off"
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

// model is one entry of the list of models.
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

// sinceStart is the time that the request has been here.
func (x *exchange) sinceStart() time.Duration { return time.Since(x.start) }
