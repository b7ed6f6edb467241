package emulator

import (
	"context"
	"errors"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

var errKilled = errors.New("engine is down")

type faults struct {
	killed  bool
	slow    float64       // factor on the time of each step
	cancels int           // cancels still to be lost
	thawed  chan struct{} // closed unless the engine is frozen
}

// Kill ends every stream and loses all memory, until Revive.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.killed = true
	for _, a := range e.attempts {
		a.stream.fail(outcome.Fail(outcome.CodeEngineFailed, outcome.Unknown, stepEngine, errKilled))
	}
	e.reset()
	e.signal()
}

// Revive starts a killed engine with empty memory.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.killed = false
}

// Freeze stops all progress and every answer to a call, until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.faults.thawed:
		e.faults.thawed = make(chan struct{})
	default:
	}
}

// Thaw ends Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.faults.thawed:
	default:
		close(e.faults.thawed)
	}
}

// Slow multiplies the time of each step by factor.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// LoseCancels makes the next n cancels fail without effect.
func (e *Engine) LoseCancels(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cancels = n
}

// Seen returns how often an attempt was given to the engine.
func (e *Engine) Seen(k engine.Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[k]
}

// HeldBlocks returns the memory blocks held by attempts and imports, cached
// blocks that nothing uses excluded.
func (e *Engine) HeldBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own + e.cache.pinned()*e.cfg.prefixCost()
}

// reach waits while the engine is frozen and fails when it is down.
func (e *Engine) reach(ctx context.Context) error {
	e.mu.Lock()
	thawed := e.faults.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, context.Cause(ctx))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.killed {
		return outcome.Fail(outcome.CodeEngineFailed, outcome.Unknown, stepEngine, errKilled)
	}
	return nil
}
