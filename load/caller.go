package load

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Result is how one request ended.
type Result struct {
	Tokens int           // of the prompt, as sent
	First  time.Duration // from the time it was due to the first token; 0 for none
	Total  time.Duration // from the time it was due to its end
	Code   outcome.Code  // empty for a whole answer
	State  outcome.State // with a code: whether it ran
}

// Caller sends one request and waits for its end.
type Caller interface {
	// Call returns when the first token came and how the request ended.
	Call(ctx context.Context, a Arrival) (first time.Time, code outcome.Code, state outcome.State)
}

// bytesPerToken is the length of the words that prompts are made of, in bytes.
const bytesPerToken = 4

// prefixTokens is the length of the beginnings that prompts share.
const prefixTokens = 512

// HTTP is a Caller that talks to the entries of a fleet.
type HTTP struct {
	clients   []openai.Client
	model     string
	maxTokens int
	timeout   time.Duration
}

// NewHTTP returns a caller that deals requests to the base URLs in turn. timeout
// is asked for with each request; 0 leaves it to the fleet.
func NewHTTP(urls []string, key, model string, maxTokens int, timeout time.Duration) *HTTP {
	h := &HTTP{model: model, maxTokens: maxTokens, timeout: timeout}
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	for _, url := range urls {
		h.clients = append(h.clients, openai.NewClient(
			option.WithBaseURL(strings.TrimSuffix(url, "/")+"/v1/"),
			option.WithAPIKey(key),
			option.WithHTTPClient(&http.Client{Transport: transport}),
			option.WithMaxRetries(0),
		))
	}
	return h
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, a Arrival) (first time.Time, code outcome.Code, state outcome.State) {
	client := h.clients[a.Unique%uint64(len(h.clients))]
	var options []option.RequestOption
	if h.timeout > 0 {
		options = append(options, option.WithHeader("X-Request-Timeout", h.timeout.String()))
	}
	stream := client.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(h.model),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(text(a))},
		MaxTokens: openai.Int(int64(h.maxTokens)),
	}, options...)
	defer stream.Close()
	finished := false
	for stream.Next() {
		if first.IsZero() {
			first = time.Now()
		}
		for _, choice := range stream.Current().Choices {
			finished = finished || choice.FinishReason != ""
		}
	}
	if err := stream.Err(); err != nil {
		code, state = failureOf(err)
		return first, code, state
	}
	if !finished {
		return first, outcome.CodeTruncated, outcome.Ran
	}
	return first, "", outcome.Ran
}

// text makes the prompt of an arrival.
func text(a Arrival) string {
	var b strings.Builder
	b.Grow((a.Tokens + 1) * bytesPerToken)
	prefix := "p" + strconv.Itoa(a.Prefix%100) + " "
	for b.Len() < min(a.Tokens, prefixTokens)*bytesPerToken {
		b.WriteString(prefix)
	}
	word := a.Unique
	for b.Len() < a.Tokens*bytesPerToken {
		word = word*6364136223846793005 + 1442695040888963407
		b.WriteString(strconv.FormatUint(word%900+100, 10) + " ")
	}
	return b.String()[:a.Tokens*bytesPerToken]
}

// failure is what the error object of an answer tells.
type failure struct {
	Code   outcome.Code `json:"code"`
	NotRun bool         `json:"not_run"`
}

func failureOf(err error) (outcome.Code, outcome.State) {
	var refused *openai.Error
	var broken *ssestream.StreamError
	switch {
	case errors.As(err, &refused):
		return read([]byte(refused.RawJSON()))
	case errors.As(err, &broken):
		var body struct {
			Error json.RawMessage `json:"error"`
		}
		if json.Unmarshal(broken.Event.Data, &body) == nil {
			return read(body.Error)
		}
	case neverSent(err):
		return outcome.CodeTransport, outcome.NotRun
	}
	return outcome.CodeTransport, outcome.Unknown
}

// neverSent reports whether the connection for a request was never made.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

func read(text []byte) (outcome.Code, outcome.State) {
	var f failure
	if err := json.Unmarshal(text, &f); err != nil || f.Code == "" {
		return outcome.CodeInternal, outcome.Unknown
	}
	if f.NotRun {
		return f.Code, outcome.NotRun
	}
	return f.Code, outcome.Unknown
}
