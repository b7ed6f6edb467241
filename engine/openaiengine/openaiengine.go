// Package openaiengine implements engine.Engine over the HTTP API of
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

const stepHTTP = "engine.http"

// maxErrorBody is the maximum number of bytes read of an error response.
const maxErrorBody = 64 << 10

// maxResultBytes is the maximum number of bytes read of a result. The longest are lists
// of cache events and of reserved memory.
const maxResultBytes = 16 << 20

// Engine is a client of one engine.
type Engine struct {
	baseURL string
	client  *http.Client
	api     openai.Client
}

var _ engine.Engine = (*Engine)(nil)

// New returns a client of the engine at baseURL, for example
// http://127.0.0.1:8000.
func New(baseURL string, client *http.Client) *Engine {
	baseURL = strings.TrimSuffix(baseURL, "/")
	return &Engine{
		baseURL: baseURL,
		client:  client,
		api: openai.NewClient(
			option.WithBaseURL(baseURL+"/v1/"),
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

// Generate implements engine.Engine. Canceling ctx after Generate has returned
// does not end the stream; it ends on completion or on Close.
func (e *Engine) Generate(ctx context.Context, w engine.Work) (engine.Stream, error) {
	body, err := json.Marshal(newCompletion(w))
	if err != nil {
		return nil, outcome.Fail(outcome.CodeInternal, outcome.NotRun, stepHTTP, err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(ctx, cancel)
	var response *http.Response
	err = e.api.Post(streamCtx, "completions", body, &response,
		option.WithHeader("Content-Type", "application/json"),
		option.WithHeader(wireform.HeaderRequestID, wireform.FormatKey(w.Key)))
	stopCancel()
	if err != nil {
		cancel()
		return nil, e.transportError(err)
	}
	events := ssestream.NewStream[openai.Completion](ssestream.NewDecoder(response), nil)
	s := &stream{
		chunks:      make(chan engine.Chunk, streamBuffer),
		done:        make(chan struct{}),
		cancel:      cancel,
		prefillOnly: w.MaxTokens == 0,
	}
	go s.readEvents(streamCtx, events, e)
	return s, nil
}

// newCompletion returns the body of a streaming completion request. The caller
// encodes it, because the client library would copy a long prompt several times.
func newCompletion(w engine.Work) wireform.Completion {
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
		Context: w.ContextHandles,
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
	var holdings []engine.Holding
	return holdings, e.get(ctx, wireform.PathHoldings, &holdings)
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

// Order implements engine.Engine. Adapters are loaded and unloaded through the
// usual LoRA endpoints, everything else through wireform.PathOrder.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+path, nil)
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, stepHTTP, err)
	}
	return e.do(request, result)
}

func (e *Engine) post(ctx context.Context, path string, body, result any, fence uint64) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, stepHTTP, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, stepHTTP, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wireform.HeaderFence, strconv.FormatUint(fence, 10))
	return e.do(request, result)
}

func (e *Engine) do(request *http.Request, result any) error {
	response, err := e.client.Do(request)
	if err != nil {
		return e.transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		return e.responseError(response.StatusCode, body)
	}
	if result == nil {
		// Read to its end, so that the connection is kept and an answer that breaks off fails.
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody)); err != nil {
			return e.transportError(err)
		}
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResultBytes)).Decode(result); err != nil {
		return e.transportError(err)
	}
	return nil
}

// transportError converts an error of the transport or the client library. Only a
// failed dial proves that the request did not reach the engine.
func (e *Engine) transportError(err error) *outcome.Error {
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return e.responseError(apiErr.StatusCode, []byte(`{"error":`+apiErr.RawJSON()+`}`))
	}
	state := outcome.Unknown
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		state = outcome.NotRun
	}
	failure := outcome.Fail(outcome.CodeTransport, state, stepHTTP, err)
	failure.Peer = e.baseURL
	return failure
}

// responseError converts an unsuccessful response. The request counts as not run
// if the engine says so or if the status is 4xx, which rejects the request itself.
func (e *Engine) responseError(status int, body []byte) *outcome.Error {
	var f wireform.Failure
	_ = json.Unmarshal(body, &f)
	failure := &outcome.Error{Code: f.Error.Code, Message: f.Error.Message, Step: stepHTTP, Peer: e.baseURL}
	if failure.Code == "" {
		failure.Code = codeForStatus(status)
	}
	if failure.Message == "" {
		failure.Message = http.StatusText(status)
	}
	if f.Error.NotRun || status >= 400 && status < 500 {
		failure.State = outcome.NotRun
	}
	return failure
}

func codeForStatus(status int) outcome.Code {
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
