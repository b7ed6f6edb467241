package quorum

import (
	"errors"
	"fmt"
)

// Errors of proposals and reads. All except ErrUnknown guarantee that the command
// was not appended to any log: see IsNotAppended.
var (
	// ErrNoQuorum means that there is no leader: too few voters are reachable
	// or an election is in progress.
	ErrNoQuorum = errors.New("quorum: no leader with a quorum")
	// ErrUnknown means that the command was appended, but the leader stepped down
	// or stopped, or the caller's context ended, before the command was known to
	// be committed: it may or may not be applied.
	ErrUnknown = errors.New("quorum: outcome unknown")
	// ErrBusy means that the queue of proposals or reads is full.
	ErrBusy = errors.New("quorum: the queue of proposals or reads is full")
	// ErrStopped means that the node has stopped.
	ErrStopped = errors.New("quorum: node stopped")
	// ErrCanceled means that the caller's context ended before the command was
	// appended.
	ErrCanceled = errors.New("quorum: canceled before the command was appended")
	// ErrTooLarge means that a command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("quorum: command too large")
	// ErrChangePending means that another membership change is not committed
	// yet.
	ErrChangePending = errors.New("quorum: another membership change is in progress")
	// ErrChangeInvalid means that a change removes or promotes an unknown member,
	// adds an existing one, or would leave no voter.
	ErrChangeInvalid = errors.New("quorum: invalid membership change")
	// ErrNotCaughtUp means that a learner is too far behind to be promoted.
	ErrNotCaughtUp = errors.New("quorum: learner has not caught up")
)

// ErrNotLeader means that another member is the leader. The command was not appended
// to any log.
type ErrNotLeader struct {
	Leader  string // name of the leader
	Address string // address of the leader
}

// Error implements error.
func (e *ErrNotLeader) Error() string {
	return fmt.Sprintf("quorum: not the leader; the leader is %s at %s", e.Leader, e.Address)
}

// IsNotAppended reports whether err guarantees that the command was not and will
// not be appended to any log.
func IsNotAppended(err error) bool {
	if err == nil || errors.Is(err, ErrUnknown) {
		return false
	}
	var notLeader *ErrNotLeader
	if errors.As(err, &notLeader) {
		return true
	}
	for _, target := range notAppendedErrors {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// notAppendedErrors are returned only when the command was not appended.
var notAppendedErrors = []error{
	ErrNoQuorum, ErrBusy, ErrStopped, ErrCanceled, ErrTooLarge,
	ErrChangePending, ErrChangeInvalid, ErrNotCaughtUp,
}
