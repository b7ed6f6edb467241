package quorum

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	proposalsTotal   = metrics.NewCounter("jacinthplank_quorum_proposals_total")
	proposalsRefused = metrics.NewCounter("jacinthplank_quorum_proposals_refused_total")
	proposalsUnknown = metrics.NewCounter("jacinthplank_quorum_proposals_unknown_total")
)

// States of a proposal: a queued proposal is either accepted by the core
// goroutine or abandoned by its caller.
const (
	proposalQueued int32 = iota
	proposalAccepted
	proposalAbandoned
)

// outcome is the result returned to a caller of Propose.
type outcome struct {
	result []byte
	err    error
}

// proposal is a pending command or membership change.
type proposal struct {
	command  []byte
	change   *Change   // set instead of command
	deadline time.Time // not appended later; zero for none
	term     uint64    // term in which the entry was appended
	done     chan outcome
	state    atomic.Int32
}

// hasExpired reports whether the caller's deadline has passed. A process that was paused
// may run the core goroutine before the caller notices the end of its context.
func (p *proposal) hasExpired(now time.Time) bool {
	return !p.deadline.IsZero() && !now.Before(p.deadline)
}

// accept marks a queued proposal as accepted and reports whether it may be
// appended, that is, it has not been abandoned.
func (p *proposal) accept() bool {
	return p.state.CompareAndSwap(proposalQueued, proposalAccepted)
}

// abandon marks a queued proposal as abandoned and reports whether it will never
// be appended.
func (p *proposal) abandon() bool {
	return p.state.CompareAndSwap(proposalQueued, proposalAbandoned) || p.state.Load() == proposalAbandoned
}

func (p *proposal) finish(result []byte, err error) {
	if err == ErrUnknown {
		proposalsUnknown.Inc()
	}
	p.done <- outcome{result, err}
}

// outcomeAfterStop returns the outcome if one was delivered before the node
// stopped, and ErrUnknown otherwise.
func (p *proposal) outcomeAfterStop() ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, ErrUnknown
	}
}

// readRequest is a pending linearizable read.
type readRequest struct {
	done chan error
}
