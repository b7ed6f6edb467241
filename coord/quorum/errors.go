package quorum

import (
	"errors"
	"fmt"
)

// Errors of proposals and reads. Except for ErrUnknown they promise that the
// command is in no log: see IsNotRun.
var (
	// ErrNoQuorum means that there is no leader: too few voters are reachable
	// or an election is under way.
	ErrNoQuorum = errors.New("quorum: no leader with a quorum")
	// ErrUnknown means that the command was appended and the leader lost its
	// office, stopped, or the caller gave up before it was known to be
	// committed: it may or may not be applied.
	ErrUnknown = errors.New("quorum: outcome unknown")
	// ErrBusy means that the queue of proposals is full.
	ErrBusy = errors.New("quorum: too many proposals wait")
	// ErrStopped means that the node has stopped.
	ErrStopped = errors.New("quorum: stopped")
	// ErrCanceled means that the caller gave up before the command was
	// appended.
	ErrCanceled = errors.New("quorum: canceled before it was appended")
	// ErrTooLarge means that a command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("quorum: command too large")
	// ErrChangePending means that another change of members is not committed
	// yet.
	ErrChangePending = errors.New("quorum: another change of members is under way")
	// ErrChangeInvalid means that a change names no such member, or one that is
	// there already, or would leave no voter.
	ErrChangeInvalid = errors.New("quorum: invalid change of members")
	// ErrNotCaughtUp means that a learner is too far behind to vote.
	ErrNotCaughtUp = errors.New("quorum: learner is not caught up")
)

// ErrNotLeader means that another member leads. The command is in no log.
type ErrNotLeader struct {
	Leader  string // name of the leader
	Address string // address of the leader
}

// Error implements error.
func (e *ErrNotLeader) Error() string {
	return fmt.Sprintf("quorum: not the leader, which is %s at %s", e.Leader, e.Address)
}

// IsNotRun reports whether err promises that the command was appended to no log
// and never will be.
func IsNotRun(err error) bool {
	if err == nil || errors.Is(err, ErrUnknown) {
		return false
	}
	var notLeader *ErrNotLeader
	if errors.As(err, &notLeader) {
		return true
	}
	for _, refusal := range refusals {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// refusals are returned only before anything was appended.
var refusals = []error{
	ErrNoQuorum, ErrBusy, ErrStopped, ErrCanceled, ErrTooLarge,
	ErrChangePending, ErrChangeInvalid, ErrNotCaughtUp,
}
