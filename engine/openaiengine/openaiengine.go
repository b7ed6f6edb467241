// Package openaiengine is the engine.Engine over the HTTP interface of
// OpenAI-compatible engines.
package openaiengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine/wireform"
	"github.com/jacinthplank/jacinthplank/outcome"
)

const step = "engine.http"

// maxErrorBody bounds how much of an error answer is read, in bytes.
const maxErrorBody = 64 << 10

// Engine talks to one engine.
type Engine struct {
	base   string
	client *http.Client
	api    openai.Client
}

var _ engine.Engine = (*Engine)(nil)

// New returns the engine at base, such as http://127.0.0.1:8000.
func New(base string, client *http.Client) *Engine {
	base = strings.TrimSuffix(base, "/")
	return &Engine{
		base:   base,
		client: client,
		api: openai.NewClient(
			option.WithBaseURL(base+"/v1/"),
			option.WithAPIKey("none"),
			option.WithHTTPClient(client),
			option.WithMaxRetries(0),
		),
	}
}

// Describe implements engine.Engine.
func (e *Engine) Describe(ctx context.Context) (engine.Description, error) {
	var d engine.Description
	return d, e.get(ctx, wireform.PathDescribe, &d)
}

// Generate implements engine.Engine. The stream outlives ctx: it ends by itself
// or by Close.
func (e *Engine) Generate(ctx context.Context, w engine.Work) (engine.Stream, error) {
	body, err := json.Marshal(completionOf(w))
	if err != nil {
		return nil, outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWatch := context.AfterFunc(ctx, cancel)
	var response *http.Response
	err = e.api.Post(streamCtx, "completions", body, &response,
		option.WithHeader("Content-Type", "application/json"),
		option.WithHeader(wireform.HeaderRequestID, wireform.FormatKey(w.Key)))
	stopWatch()
	if err != nil {
		cancel()
		return nil, e.failure(err)
	}
	events := ssestream.NewStream[openai.Completion](ssestream.NewDecoder(response), nil)
	s := &stream{
		chunks:      make(chan engine.Chunk, streamBuffer),
		done:        make(chan struct{}),
		cancel:      cancel,
		prefillOnly: w.MaxTokens == 0,
	}
	go s.read(streamCtx, events, e)
	return s, nil
}

// completionOf returns the body of a streamed completion. It is encoded here and
// not by the client library, which copies a long prompt several times.
func completionOf(w engine.Work) wireform.Completion {
	return wireform.Completion{
		Model:         w.Model,
		Prompt:        w.Prompt.Text + w.Generated,
		MaxTokens:     max(w.MaxTokens-w.Offset, 1),
		Priority:      int(w.Priority),
		Stream:        true,
		StreamOptions: &wireform.StreamOptions{IncludeUsage: true},
		Extension: &wireform.Extension{
			Adapter:     w.Adapter,
			PrefillOnly: w.MaxTokens == 0,
			Generated:   len(w.Generated),
			Offset:      w.Offset,
		},
		Segment: w.Segment,
		Context: w.Context,
	}
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, k engine.Key) error {
	return e.post(ctx, wireform.PathCancel, k, nil, 0)
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.Load, error) {
	var l engine.Load
	return l, e.get(ctx, wireform.PathLoad, &l)
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	path := fmt.Sprintf("%s?after=%d", wireform.PathEvents, after)
	return events, e.get(ctx, path, &events)
}

// Holdings implements engine.Engine.
func (e *Engine) Holdings(ctx context.Context) ([]engine.Holding, error) {
	var held []engine.Holding
	return held, e.get(ctx, wireform.PathHoldings, &held)
}

// Export implements engine.Engine.
func (e *Engine) Export(ctx context.Context, k engine.Key) (string, error) {
	var t wireform.Transfer
	return t.Handle, e.post(ctx, wireform.PathExport, k, &t, 0)
}

// Import implements engine.Engine.
func (e *Engine) Import(ctx context.Context, k engine.Key, handle string) error {
	return e.post(ctx, wireform.PathImport, wireform.Transfer{Key: k, Handle: handle}, nil, 0)
}

// Order implements engine.Engine. Adapters go by the published calls.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	adapter := wireform.Adapter{Name: o.Target, Path: o.Target}
	switch o.Kind {
	case engine.OrderLoadAdapter:
		return e.post(ctx, "/v1/load_lora_adapter", adapter, nil, o.Fence)
	case engine.OrderUnloadAdapter:
		return e.post(ctx, "/v1/unload_lora_adapter", adapter, nil, o.Fence)
	default:
		return e.post(ctx, wireform.PathOrder, o, nil, o.Fence)
	}
}

func (e *Engine) get(ctx context.Context, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	return e.do(request, result)
}

func (e *Engine) post(ctx context.Context, path string, body, result any, fence uint64) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(encoded))
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wireform.HeaderFence, strconv.FormatUint(fence, 10))
	return e.do(request, result)
}

func (e *Engine) do(request *http.Request, result any) error {
	response, err := e.client.Do(request)
	if err != nil {
		return e.failure(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		return e.refusal(response.StatusCode, body)
	}
	if result == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return e.failure(err)
	}
	return nil
}

// failure types an error of the transport or the client library. Only a failed
// dial is known to have reached nothing.
func (e *Engine) failure(err error) *outcome.Error {
	var api *openai.Error
	if errors.As(err, &api) {
		return e.refusal(api.StatusCode, []byte(`{"error":`+api.RawJSON()+`}`))
	}
	state := outcome.Unknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		state = outcome.NotRun
	}
	failure := outcome.Fail(outcome.CodeTransport, state, step, err)
	failure.Peer = e.base
	return failure
}

// refusal types an answer that is no success. An engine that does not say that
// it did nothing is believed only for faults of the request itself.
func (e *Engine) refusal(status int, body []byte) *outcome.Error {
	var f wireform.Failure
	_ = json.Unmarshal(body, &f)
	failure := &outcome.Error{Code: f.Error.Code, Message: f.Error.Message, Step: step, Peer: e.base}
	if failure.Code == "" {
		failure.Code = codeOf(status)
	}
	if failure.Message == "" {
		failure.Message = http.StatusText(status)
	}
	if f.Error.NotRun || status >= 400 && status < 500 {
		failure.State = outcome.NotRun
	}
	return failure
}

func codeOf(status int) outcome.Code {
	switch status {
	case http.StatusNotFound:
		return outcome.CodeModelNotFound
	case http.StatusBadRequest:
		return outcome.CodeInvalidRequest
	case http.StatusTooManyRequests:
		return outcome.CodeOverloaded
	default:
		return outcome.CodeEngineFailed
	}
}
