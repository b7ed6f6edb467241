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
	"github.com/jacinthplank/jacinthplank/response"
)

// Result is the outcome of one request.
type Result struct {
	Tokens     int           // length of the prompt sent
	FirstToken time.Duration // from the scheduled send time to the first token; 0 if none arrived
	Total      time.Duration // from the scheduled send time to the end
	Code       outcome.Code  // empty for a complete answer
	State      outcome.State // if Code is set: whether the request ran
}

// Caller sends requests.
type Caller interface {
	// Call sends one request, waits for its end and returns the time of the first
	// token and the outcome.
	Call(ctx context.Context, a Arrival) (first time.Time, code outcome.Code, state outcome.State)
}

// bytesPerToken is the length of a generated prompt word, including its space.
const bytesPerToken = 4

// prefixTokens is the length of a shared prompt prefix.
const prefixTokens = 512

// idleTimeout is less than the 15 s after which an entry on a platform closes a
// connection by default.
const idleTimeout = 10 * time.Second

// HTTP is a Caller that sends requests to the entries of a fleet.
type HTTP struct {
	clients   []openai.Client
	model     string
	maxTokens int
	timeout   time.Duration
}

// NewHTTP returns a caller that spreads requests pseudo-randomly over the base
// URLs. timeout is sent with each request; 0 uses the fleet's default.
func NewHTTP(urls []string, key, model string, maxTokens int, timeout time.Duration) *HTTP {
	h := &HTTP{model: model, maxTokens: maxTokens, timeout: timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1000,
		IdleConnTimeout:     idleTimeout,
		DialContext:         response.Dial((&net.Dialer{Timeout: time.Second}).DialContext).Strict(),
	}
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
	client := h.clients[a.PromptSeed%uint64(len(h.clients))]
	var options []option.RequestOption
	if h.timeout > 0 {
		options = append(options, option.WithHeader("X-Request-Timeout", h.timeout.String()))
	}
	stream := client.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(h.model),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(promptText(a))},
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
		code, state = classifyError(err)
		return first, code, state
	}
	if !finished {
		return first, outcome.CodeTruncated, outcome.Ran
	}
	return first, "", outcome.Ran
}

// promptText generates the prompt of an arrival.
func promptText(a Arrival) string {
	var b strings.Builder
	b.Grow((a.Tokens + 1) * bytesPerToken)
	if a.Prefix != NoPrefix {
		prefix := "p" + strconv.Itoa(a.Prefix) + " "
		for b.Len() < min(a.Tokens, prefixTokens)*bytesPerToken {
			b.WriteString(prefix)
		}
	}
	state := a.PromptSeed
	for b.Len() < a.Tokens*bytesPerToken {
		state = state*6364136223846793005 + 1442695040888963407
		b.WriteString(strconv.FormatUint(state%900+100, 10) + " ")
	}
	return b.String()[:a.Tokens*bytesPerToken]
}

// errorBody is the part of an API error object that this package reads.
type errorBody struct {
	Code   outcome.Code `json:"code"`
	NotRun bool         `json:"not_run"`
}

func classifyError(err error) (outcome.Code, outcome.State) {
	var apiError *openai.Error
	var streamError *ssestream.StreamError
	switch {
	case errors.As(err, &apiError):
		return parseErrorBody([]byte(apiError.RawJSON()))
	case errors.As(err, &streamError):
		var body struct {
			Error json.RawMessage `json:"error"`
		}
		if json.Unmarshal(streamError.Event.Data, &body) == nil {
			return parseErrorBody(body.Error)
		}
	case isDialError(err):
		return outcome.CodeTransport, outcome.NotRun
	}
	return outcome.CodeTransport, outcome.Unknown
}

// isDialError reports whether the request was not sent because its connection could
// not be established.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func parseErrorBody(text []byte) (outcome.Code, outcome.State) {
	var f errorBody
	if err := json.Unmarshal(text, &f); err != nil || f.Code == "" {
		return outcome.CodeInternal, outcome.Unknown
	}
	if f.NotRun {
		return f.Code, outcome.NotRun
	}
	return f.Code, outcome.Unknown
}
