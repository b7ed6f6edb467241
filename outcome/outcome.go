// Package outcome defines the error type that each processing stage returns to
// the previous one. It states whether the failed request ran.
//
// A failed request is in one of three states. NotRun guarantees that nothing was
// sent to an engine or service. Ran means that the request ran and failed there.
// Unknown covers everything else, in particular all transport errors after the
// first byte was sent.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// State reports whether a request reached its engine or service.
type State uint8

// States of a failed request. The zero value is Unknown, so an unset field never
// claims that a request was not run.
const (
	Unknown State = iota
	NotRun
	Ran
)

// String returns the name used in logs, events and responses.
func (s State) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Code is the stable identifier of a failure. Clients and operators may rely on
// it.
type Code string

// Failure codes.
const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeInvalidKey         Code = "invalid_api_key"
	CodeModelNotFound      Code = "model_not_found"
	CodePromptTooLong      Code = "prompt_too_long"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeDeadlineInfeasible Code = "deadline_infeasible"
	CodeDeadlinePassed     Code = "deadline_passed"
	CodeOverloaded         Code = "overloaded"
	CodeAccountLimit       Code = "account_limit"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeEndpointLeaving    Code = "endpoint_leaving"
	CodeNoQuorum           Code = "no_quorum"
	CodeConflict           Code = "conflict"
	CodeStillRunning       Code = "still_running"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeStaleFence         Code = "stale_fencing_number"
	CodeEngineFailed       Code = "engine_failed"
	CodeEngineStalled      Code = "engine_stalled"
	CodeTransport          Code = "transport"
	CodeCanceled           Code = "canceled"
	CodeTruncated          Code = "answer_truncated"
	CodeShuttingDown       Code = "shutting_down"
	CodeUnsupported        Code = "unsupported"
	CodeInternal           Code = "internal"
	CodeNotFound           Code = "not_found"
	CodeMemoryReserved     Code = "memory_reserved"
	CodeGroupUnavailable   Code = "group_unavailable"
	CodeEndsEndpoints      Code = "ends_endpoints" // endpoints ended under requests like this one
	CodeDomainEvacuated    Code = "domain_evacuated"
	CodeUnknownDomain      Code = "unknown_domain"
	CodeNoHome             Code = "no_home"        // no endpoint in the home regions accepts requests
	CodePermitExpired      Code = "permit_expired" // it was not sent within the time for which its endpoint's rate limit allowed it
)

// Error is a failure with the step and peer where it occurred.
type Error struct {
	Code       Code
	State      State
	Message    string
	Step       string        // step where it occurred, such as "endpoint.admit"
	Peer       string        // instance where it occurred
	RetryAfter time.Duration // time after which the client may retry; 0 if unknown
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.State)
	if e.Step != "" {
		text += " at " + e.Step
	}
	if e.Peer != "" {
		text += " on " + e.Peer
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an Error in state NotRun.
func Refuse(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, State: NotRun, Step: step, Message: fmt.Sprintf(format, args...)}
}

// Fail returns an Error with the given state and cause.
func Fail(code Code, state State, step string, cause error) *Error {
	return &Error{Code: code, State: state, Step: step, Message: string(code), Cause: cause}
}

// From returns err as an *Error. An error of another type is wrapped as
// CodeInternal in state Unknown.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(trace.Unwrap(err), &e) || errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, State: Unknown, Message: err.Error(), Cause: err}
}

// StateOf returns the state of err, or Unknown if it has none.
func StateOf(err error) State {
	return From(err).State
}
