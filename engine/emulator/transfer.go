package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Export implements engine.Engine.
func (e *Engine) Export(ctx context.Context, k engine.Key) (string, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[k]
	if a == nil || a.prefilled < a.prefillTarget {
		return "", outcome.Refuse(outcome.CodeNotFound, stepEngine, "attempt %v has no completed prefill", k)
	}
	handle := fmt.Sprintf("kv:%s:%d:%d:%s", e.cfg.Name, a.prefillTarget, k.Attempt, k.Request)
	x := export{handle: handle, bytes: int64(a.prefillTarget) * kvBytesPerToken, at: time.Now()}
	if !e.exports.add(x) {
		return "", outcome.Refuse(outcome.CodeMemoryReserved, stepEngine, "an export of %d bytes exceeds the limit of %d", x.bytes, e.cfg.ExportBytes)
	}
	if !slices.Contains(a.exports, handle) {
		a.exports = append(a.exports, handle)
	}
	return handle, nil
}

// Import implements engine.Engine.
func (e *Engine) Import(ctx context.Context, k engine.Key, handle string) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	tokens, err := e.reserveImport(k, handle)
	if err != nil {
		return err
	}
	if err := sleep(ctx, e.scaleDuration(seconds(float64(tokens)/e.cfg.TransferPerSec))); err != nil {
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, err)
	}
	if err := e.checkReadable(handle); err != nil {
		e.releaseImport(k, e.cfg.blocksFor(tokens))
		return err
	}
	return nil
}

// releaseImport frees the memory of a failed import, unless Cancel or Kill has.
func (e *Engine) releaseImport(k engine.Key, blocks int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.imports[k] < blocks {
		return
	}
	e.privateBlocks -= blocks
	if e.imports[k] -= blocks; e.imports[k] == 0 {
		delete(e.imports, k)
	}
	e.signal()
}

func (e *Engine) reserveImport(k engine.Key, handle string) (int, error) {
	if err := e.checkReadable(handle); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := handleTokens(handle)
	blocks := e.cfg.blocksFor(tokens)
	if !e.allocate(blocks) {
		return 0, outcome.Refuse(outcome.CodeMemoryReserved, stepEngine, "not enough free memory to import %d blocks", blocks)
	}
	e.imports[k] += blocks
	return tokens, nil
}

// checkReadable returns an error unless handle is well-formed and its exporter
// still exports the memory. It must be called without e.mu, because it locks the
// exporter's mutex.
func (e *Engine) checkReadable(handle string) error {
	parts := strings.SplitN(handle, ":", 5)
	if len(parts) != 5 || parts[0] != "kv" {
		return outcome.Refuse(outcome.CodeInvalidRequest, stepEngine, "malformed KV handle %q", handle)
	}
	if e.cfg.Fabric == nil {
		return nil
	}
	peer := e.cfg.Fabric.lookup(parts[1])
	if peer == nil || !peer.hasExport(handle) {
		return outcome.Refuse(outcome.CodeNotFound, stepEngine, "KV handle %q is no longer exported", handle)
	}
	return nil
}

func (e *Engine) hasExport(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.faults.killed && e.exports.contains(handle, time.Now())
}

func handleTokens(handle string) int {
	var tokens int
	parts := strings.SplitN(handle, ":", 5)
	_, _ = fmt.Sscanf(parts[2], "%d", &tokens)
	return tokens
}
