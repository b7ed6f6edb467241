package quorum

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	proposalsTotal   = metrics.NewCounter("jacinthplank_quorum_proposals_total")
	proposalsRefused = metrics.NewCounter("jacinthplank_quorum_proposals_refused_total")
	proposalsUnknown = metrics.NewCounter("jacinthplank_quorum_proposals_unknown_total")
)

// States of a proposal: either the core duty takes it or its caller abandons it.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalAbandoned
)

// outcome is what a caller of Propose gets.
type outcome struct {
	result []byte
	err    error
}

// proposal is a command or a change of members on its way.
type proposal struct {
	command []byte
	change  *Change // in place of command
	term    uint64  // term in which it was appended
	done    chan outcome
	state   atomic.Int32
}

// take reports whether the proposal may be appended.
func (p *proposal) take() bool {
	return p.state.CompareAndSwap(proposalQueued, proposalTaken)
}

// abandon reports whether the proposal will never be appended.
func (p *proposal) abandon() bool {
	return p.state.CompareAndSwap(proposalQueued, proposalAbandoned)
}

func (p *proposal) finish(result []byte, err error) {
	if err == ErrUnknown {
		proposalsUnknown.Inc()
	}
	p.done <- outcome{result, err}
}

// outcomeAfterStop returns the outcome that came before the node stopped.
func (p *proposal) outcomeAfterStop() ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, ErrUnknown
	}
}

// readRequest is a read on its way.
type readRequest struct {
	done chan error
}
