package control

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Log is the replicated log used by the control duty.
type Log interface {
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	ReadIndex(ctx context.Context) error
	ChangeMember(ctx context.Context, change quorum.Change) error
	Step(from string, msg []byte)
	Status() quorum.Status
}

// electionRetryAfter is the retry delay for callers that found no leader. An
// election takes about this long.
const electionRetryAfter = time.Second

// classifyError converts an error of the log to an outcome error. It also returns
// the address of the leader if another member leads.
func classifyError(step, peer string, err error) (*outcome.Error, string) {
	e := outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, step, err)
	e.Peer = peer
	e.RetryAfter = electionRetryAfter
	e.Message = "no leader has a quorum"
	var notLeader *quorum.ErrNotLeader
	switch {
	case errors.As(err, &notLeader):
		e.Message = "another member is the leader"
		return e, notLeader.Address
	case errors.Is(err, quorum.ErrBusy):
		e.Code = outcome.CodeOverloaded
		e.Message = "too many commands are pending"
	case errors.Is(err, quorum.ErrTooLarge), errors.Is(err, quorum.ErrChangeInvalid):
		e.Code = outcome.CodeInvalidRequest
		e.Message = err.Error()
		e.RetryAfter = 0
	case errors.Is(err, quorum.ErrChangePending), errors.Is(err, quorum.ErrNotCaughtUp):
		e.Code = outcome.CodeConflict
		e.Message = err.Error()
	case !quorum.IsNotAppended(err):
		e.Code = outcome.CodeOutcomeUnknown
		e.State = outcome.Unknown
		e.Message = "the command may or may not have been applied"
	}
	return e, ""
}
