package emulator

import (
	"context"
	"fmt"
	"strings"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Export implements engine.Engine.
func (e *Engine) Export(ctx context.Context, k engine.Key) (string, error) {
	if err := e.reach(ctx); err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[k]
	if a == nil || a.done < a.target {
		return "", outcome.Refuse(outcome.CodeNotFound, stepEngine, "no finished prefill of %v", k)
	}
	handle := fmt.Sprintf("kv:%s:%d:%d:%s", e.cfg.Name, a.target, k.Attempt, k.Request)
	e.exports[handle] = k
	return handle, nil
}

// Import implements engine.Engine.
func (e *Engine) Import(ctx context.Context, k engine.Key, handle string) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	tokens, err := e.reserveImport(k, handle)
	if err != nil {
		return err
	}
	if err := sleep(ctx, e.scaled(seconds(float64(tokens)/e.cfg.TransferPerSec))); err != nil {
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, err)
	}
	return e.readable(handle)
}

func (e *Engine) reserveImport(k engine.Key, handle string) (int, error) {
	if err := e.readable(handle); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := handleTokens(handle)
	blocks := e.cfg.blocksFor(tokens)
	if !e.allocate(blocks) {
		return 0, outcome.Refuse(outcome.CodeMemoryReserved, stepEngine, "no memory for %d blocks", blocks)
	}
	e.imports[k] += blocks
	return tokens, nil
}

// readable checks that the exporter still holds the memory behind a handle. It
// must be called without e.mu, as it takes the lock of another engine.
func (e *Engine) readable(handle string) error {
	parts := strings.SplitN(handle, ":", 5)
	if len(parts) != 5 || parts[0] != "kv" {
		return outcome.Refuse(outcome.CodeInvalidRequest, stepEngine, "bad handle %q", handle)
	}
	if e.cfg.Fabric == nil || parts[1] == e.cfg.Name {
		return nil
	}
	peer := e.cfg.Fabric.find(parts[1])
	if peer == nil || !peer.exported(handle) {
		return outcome.Refuse(outcome.CodeNotFound, stepEngine, "handle %q is gone", handle)
	}
	return nil
}

func (e *Engine) exported(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.exports[handle]
	return ok && !e.faults.killed && e.attempts[k] != nil
}

func handleTokens(handle string) int {
	var tokens int
	parts := strings.SplitN(handle, ":", 5)
	_, _ = fmt.Sscanf(parts[2], "%d", &tokens)
	return tokens
}
