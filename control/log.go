package control

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Log is the replicated log, as the control duty uses it.
type Log interface {
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	ReadIndex(ctx context.Context) error
	ChangeMember(ctx context.Context, change quorum.Change) error
	Step(from string, msg []byte)
	Status() quorum.Status
}

// electionTime is when a caller who found no leader may come back: elections
// take about as long.
const electionTime = time.Second

// refusal types an error of the log and tells the address of the leader, when
// another member leads.
func refusal(step, peer string, err error) (*outcome.Error, string) {
	e := outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, step, err)
	e.Peer = peer
	e.RetryAfter = electionTime
	e.Message = "there is no leader with a quorum"
	var notLeader *quorum.ErrNotLeader
	switch {
	case errors.As(err, &notLeader):
		e.Message = "another member leads"
		return e, notLeader.Address
	case errors.Is(err, quorum.ErrBusy):
		e.Code = outcome.CodeOverloaded
		e.Message = "too many commands wait"
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
		e.Message = "the command may or may not be applied"
	}
	return e, ""
}
