package emulator

import (
	"context"
	"errors"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

var errKilled = errors.New("emulated engine was killed")

type faults struct {
	killed        bool
	slowdown      float64       // multiplier of the duration of each step
	cancelsToFail int           // number of Cancel calls still to fail
	thawed        chan struct{} // open while the engine is frozen, closed otherwise
}

// Kill fails every stream and clears all memory. Calls fail until Revive.
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

// Revive restarts a killed engine with empty memory.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.killed = false
}

// Freeze stops all progress and blocks every call until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.faults.thawed:
		e.faults.thawed = make(chan struct{})
	default:
	}
}

// Thaw resumes a frozen engine.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.faults.thawed:
	default:
		close(e.faults.thawed)
	}
}

// SetSlowdown multiplies the duration of each step by factor; 1 is normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slowdown = factor
}

// FailCancels makes the next n calls of Cancel fail without effect.
func (e *Engine) FailCancels(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cancelsToFail = n
}

// SubmitCount returns how many times Generate accepted attempt k.
func (e *Engine) SubmitCount(k engine.Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.submitCounts[k]
}

// HeldBlocks returns the number of memory blocks held by attempts and imports.
// Unpinned cached blocks do not count.
func (e *Engine) HeldBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.privateBlocks + e.cache.pinnedBlocks()*e.cfg.memoryPerPrefixBlock()
}

// awaitAvailable blocks while the engine is frozen and fails if it is killed.
func (e *Engine) awaitAvailable(ctx context.Context) error {
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
