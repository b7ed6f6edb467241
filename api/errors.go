package api

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// ErrorBody is the OpenAI error response with additional fields.
type ErrorBody struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject describes the error and reports whether the request was not run.
type ErrorObject struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Param        string `json:"param,omitempty"`
	Code         string `json:"code"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// paramError is a rejection that names the invalid field.
type paramError struct {
	refusal *outcome.Error
	param   string
}

func (e paramError) Error() string { return e.refusal.Error() }

func (e paramError) Unwrap() error { return e.refusal }

// badField returns an error that rejects a request because of an invalid field.
func badField(param, format string, args ...any) error {
	return paramError{outcome.Refuse(outcome.CodeInvalidRequest, "entry.read", format, args...), param}
}

// statuses maps error codes to HTTP statuses; unlisted codes map to 500.
var statuses = map[outcome.Code]int{
	outcome.CodeInvalidRequest:     http.StatusBadRequest,
	outcome.CodePromptTooLong:      http.StatusBadRequest,
	outcome.CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	outcome.CodeUnsupported:        http.StatusBadRequest,
	outcome.CodeInvalidKey:         http.StatusUnauthorized,
	outcome.CodeModelNotFound:      http.StatusNotFound,
	outcome.CodeNotFound:           http.StatusNotFound,
	outcome.CodeConflict:           http.StatusConflict,
	outcome.CodeStillRunning:       http.StatusConflict,
	outcome.CodeAccountLimit:       http.StatusTooManyRequests,
	outcome.CodeEngineFailed:       http.StatusBadGateway,
	outcome.CodeTransport:          http.StatusBadGateway,
	outcome.CodeTruncated:          http.StatusBadGateway,
	outcome.CodeOutcomeUnknown:     http.StatusBadGateway,
	outcome.CodeOverloaded:         http.StatusServiceUnavailable,
	outcome.CodeDeadlineInfeasible: http.StatusServiceUnavailable,
	outcome.CodeNoEndpoint:         http.StatusServiceUnavailable,
	outcome.CodeEndpointLeaving:    http.StatusServiceUnavailable,
	outcome.CodeNoQuorum:           http.StatusServiceUnavailable,
	outcome.CodeMemoryReserved:     http.StatusServiceUnavailable,
	outcome.CodeGroupUnavailable:   http.StatusServiceUnavailable,
	outcome.CodeEndsEndpoints:      http.StatusServiceUnavailable,
	outcome.CodeDomainEvacuated:    http.StatusServiceUnavailable,
	outcome.CodeNoHome:             http.StatusServiceUnavailable,
	outcome.CodePermitExpired:      http.StatusServiceUnavailable,
	outcome.CodeUnknownDomain:      http.StatusNotFound,
	outcome.CodeShuttingDown:       http.StatusServiceUnavailable,
	outcome.CodeDeadlinePassed:     http.StatusGatewayTimeout,
	outcome.CodeEngineStalled:      http.StatusGatewayTimeout,
}

// errorTypes maps HTTP statuses to OpenAI error types; unlisted statuses map to
// "server_error".
var errorTypes = map[int]string{
	http.StatusBadRequest: "invalid_request_error",

	http.StatusRequestEntityTooLarge: "invalid_request_error",
	http.StatusNotFound:              "invalid_request_error",
	http.StatusConflict:              "invalid_request_error",
	http.StatusUnauthorized:          "authentication_error",
	http.StatusTooManyRequests:       "rate_limit_error",
}

// fail writes the error response of a request that failed before any response
// byte was written.
func (x *exchange) fail(err error) {
	refused.Inc()
	e := outcome.From(err)
	x.recordFailure(e)
	status := statusOf(e.Code)
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if seconds := retryAfterSeconds(e.RetryAfter); seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	if e.State != outcome.NotRun {
		// OpenAI clients retry failed requests automatically unless this
		// header is false.
		h.Set("X-Should-Retry", "false")
	}
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(x.errorBody(err))
}

func (x *exchange) errorBody(err error) ErrorBody {
	e := outcome.From(err)
	object := ErrorObject{
		Message:      e.Message,
		Type:         errorTypeOf(statusOf(e.Code)),
		Code:         string(e.Code),
		NotRun:       e.State == outcome.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    x.id,
	}
	var p paramError
	if errors.As(err, &p) {
		object.Param = p.param
	}
	return ErrorBody{Error: object}
}

func (x *exchange) recordFailure(e *outcome.Error) {
	if x.account == nil {
		return
	}
	kind := timeline.KindFailed
	if e.State == outcome.NotRun {
		kind = timeline.KindRefused
	}
	x.server.options.Recorder.Record(timeline.Event{
		Kind:    kind,
		Request: x.id,
		Account: x.account.Name,
		Step:    "entry.api",
		Peer:    e.Peer,
		Outcome: string(e.Code),
		Detail:  e.Message,
		State:   e.State,
	})
}

func statusOf(code outcome.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func errorTypeOf(status int) string {
	if name, ok := errorTypes[status]; ok {
		return name
	}
	return "server_error"
}

// retryAfterSeconds rounds up to whole seconds, as required by the Retry-After
// header.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
