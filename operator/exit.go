package operator

import (
	"errors"
	"fmt"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any other failure
	ExitBadInput    = 2 // invalid arguments, answers or settings; nothing was changed
	ExitUnreachable = 3 // no daemon could be reached, or there is no quorum
	ExitConflict    = 4 // another change was accepted first; nothing was changed
	ExitIncomplete  = 5 // accepted or started, but not complete everywhere within the wait
	ExitNotFound    = 6 // the requested item is unknown
)

// exitCodes documents the exit codes in the help output.
const exitCodes = `Exit codes: 0 done; 1 failed; 2 bad arguments, answers or settings, nothing was
done; 3 no daemon reached or no quorum; 4 conflict, another change was accepted
first; 5 accepted or begun, but not everywhere yet; 6 not found.`

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error returned by a command.
func exitCode(err error) int {
	var exit *exitError
	var faults tomlcheck.Faults
	var failure *outcome.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &faults):
		return ExitBadInput
	case errors.As(err, &failure):
		return exitCodeForOutcome(failure)
	default:
		return ExitFailed
	}
}

func exitCodeForOutcome(failure *outcome.Error) int {
	switch failure.Code {
	case outcome.CodeNoQuorum, outcome.CodeTransport, outcome.CodeOutcomeUnknown:
		return ExitUnreachable
	case outcome.CodeConflict:
		return ExitConflict
	case outcome.CodeInvalidRequest:
		return ExitBadInput
	case outcome.CodeNotFound:
		return ExitNotFound
	default:
		return ExitFailed
	}
}
