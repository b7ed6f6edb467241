package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// step is the work of one iteration of the engine.
type step struct {
	prefill  []prefillChunk
	decode   []*attempt
	duration time.Duration
}

type prefillChunk struct {
	attempt *attempt
	tokens  int
}

func (e *Engine) run() {
	defer e.done.Done()
	for {
		e.mu.Lock()
		s := e.schedule()
		slowdown := e.faults.slowdown
		e.mu.Unlock()
		if len(s.prefill)+len(s.decode) == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.waitStep(e.scaleDuration(time.Duration(float64(s.duration) * slowdown))) {
			return
		}
		e.mu.Lock()
		e.applyStep(s)
		e.mu.Unlock()
	}
}

// waitStep waits for d, then until the engine is not frozen. It reports false if
// the engine is stopped.
func (e *Engine) waitStep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.stop:
		return false
	}
	e.mu.Lock()
	thawed := e.faults.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-e.stop:
		return false
	}
}

// schedule admits the waiting attempts that fit in memory, then fills one step:
// one token for each decoding attempt, and the rest of the token budget for
// prefill in order of priority. A step reads the model weights only once, so
// decoding alongside prefill costs little more than the slower of the two.
func (e *Engine) schedule() step {
	var s step
	budget := e.cfg.StepTokens
	for _, a := range e.queue {
		if !a.running {
			e.admit(a)
		}
		if a.decoding() && budget > 0 {
			s.decode = append(s.decode, a)
			budget--
			s.duration += e.cfg.DecodeTimePerSequence + e.contextReadTime(a)
		}
	}
	var computeTime time.Duration
	for _, a := range e.queue {
		if !a.prefilling() || budget == 0 {
			continue
		}
		chunk := prefillChunk{a, min(budget, a.prefillTarget-a.prefilled)}
		s.prefill = append(s.prefill, chunk)
		budget -= chunk.tokens
		computeTime += e.prefillTime(a, chunk.tokens) + e.contextReadTime(a)
	}
	if len(s.decode) > 0 {
		computeTime = max(computeTime, seconds(1/e.cfg.DecodePerSec))
	}
	s.duration += computeTime
	return s
}

// prefillTime returns the time to prefill the next tokens of a.
func (e *Engine) prefillTime(a *attempt, tokens int) time.Duration {
	cost := float64(tokens)
	if e.cfg.AttentionScale > 0 {
		middle := float64(a.firstToken+a.prefilled) + float64(tokens)/2
		cost *= 1 + middle/float64(e.cfg.AttentionScale)
	}
	return seconds(cost / e.cfg.PrefillPerSec)
}

// contextReadTime returns the time that one step spends on reading the exported
// KV memory of the preceding segments.
func (e *Engine) contextReadTime(a *attempt) time.Duration {
	if len(a.work.ContextHandles) == 0 {
		return 0
	}
	return seconds(float64(a.firstToken) / e.cfg.TransferPerSec / contextReadSpeedup)
}

// contextReadSpeedup is how many times faster a step reads remote KV memory than
// Import does, because reads overlap with computation.
const contextReadSpeedup = 20

// admit allocates the memory of a waiting attempt and marks it as running. If
// there is not enough memory, the attempt keeps waiting.
func (e *Engine) admit(a *attempt) {
	hits := e.cache.matchedBlocks(a.blocks)
	for _, b := range a.blocks[:hits] {
		e.cache.pin(b)
	}
	need := max(e.cfg.blocksFor(a.memoryTokens())-hits*e.cfg.memoryPerPrefixBlock()-a.privateBlocks, 0)
	if !e.allocate(need) {
		for _, b := range a.blocks[:hits] {
			e.cache.unpin(b)
		}
		return
	}
	a.running = true
	a.privateBlocks += need
	a.pinned = slices.Clone(a.blocks[:hits])
	a.cachedTokens = hits * engine.BlockTokens
	a.prefilled = max(a.cachedTokens, a.prefilled)
	if a.prefilled == a.prefillTarget && a.work.MaxTokens > 0 {
		a.prefilled-- // the last prompt token must be recomputed to generate the first answer token
	}
}

// allocate reserves memory blocks and evicts unpinned cached blocks as needed. It
// reports false, and reserves nothing, if there is not enough memory.
func (e *Engine) allocate(blocks int) bool {
	perPrefixBlock := e.cfg.memoryPerPrefixBlock()
	if e.privateBlocks+e.cache.pinnedBlocks()*perPrefixBlock+blocks > e.cfg.MemoryBlocks {
		return false
	}
	for e.privateBlocks+len(e.cache.entries)*perPrefixBlock+blocks > e.cfg.MemoryBlocks {
		evicted, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.recordCacheEvent(evicted, true)
	}
	e.privateBlocks += blocks
	return true
}

func (e *Engine) applyStep(s step) {
	for _, chunk := range s.prefill {
		a := chunk.attempt
		if e.attempts[a.work.Key] != a {
			continue
		}
		a.prefilled += chunk.tokens
		e.cachePrefilledBlocks(a)
		if a.prefilled >= a.prefillTarget {
			e.emit(a)
		}
	}
	for _, a := range s.decode {
		if e.attempts[a.work.Key] == a {
			e.emit(a)
		}
	}
	e.sampleLoad()
}

// cachePrefilledBlocks moves fully prefilled prompt blocks from the private memory
// of a to the cache.
func (e *Engine) cachePrefilledBlocks(a *attempt) {
	perPrefixBlock := e.cfg.memoryPerPrefixBlock()
	for i := len(a.pinned); i < len(a.blocks) && (i+1)*engine.BlockTokens <= a.prefilled; i++ {
		if !e.cache.insert(a.blocks[i]) {
			return // another attempt cached this block first; keep the private copy
		}
		a.pinned = append(a.pinned, a.blocks[i])
		a.privateBlocks -= perPrefixBlock
		e.privateBlocks -= perPrefixBlock
		e.recordCacheEvent(a.blocks[i], false)
	}
}

// emit generates one token, or finishes an attempt that has none to generate.
func (e *Engine) emit(a *attempt) {
	if reason := e.finishReason(a); reason != engine.FinishNone {
		e.finish(a, engine.Chunk{Finish: reason, Usage: a.usage()})
		return
	}
	chunk := engine.Chunk{Text: answerToken(a.promptHash, a.answerTokens), Tokens: 1}
	a.answerTokens++
	if reason := e.finishReason(a); reason != engine.FinishNone {
		chunk.Finish = reason
		chunk.Usage = a.usage()
		e.finish(a, chunk)
		return
	}
	a.stream.push(chunk)
}

// finishReason returns why the answer of a ends after the tokens generated so
// far, FinishNone if it does not.
func (e *Engine) finishReason(a *attempt) engine.FinishReason {
	switch {
	case a.work.MaxTokens == 0: // only prefills
		return engine.FinishLength
	case !e.cfg.IgnoreEOS && a.answerTokens >= answerLength(a.promptHash, e.cfg.LengthSeed):
		return engine.FinishStop
	case a.answerTokens >= a.work.MaxTokens:
		return engine.FinishLength
	default:
		return engine.FinishNone
	}
}

func (a *attempt) usage() engine.Usage {
	prompt := a.firstToken + a.prefillTarget - a.work.Offset
	if a.work.Segment != nil {
		prompt = a.work.Segment.Last
	}
	return engine.Usage{
		PromptTokens:    prompt,
		CachedTokens:    a.cachedTokens,
		GeneratedTokens: a.answerTokens - a.work.Offset,
	}
}

// finish ends an attempt with its last chunk. Segments keep their memory until
// Cancel.
func (e *Engine) finish(a *attempt, last engine.Chunk) {
	a.ended = true
	if a.work.Segment == nil {
		e.release(a)
	}
	a.stream.push(last)
}

func (e *Engine) release(a *attempt) {
	delete(e.attempts, a.work.Key)
	e.queue = slices.DeleteFunc(e.queue, func(other *attempt) bool { return other == a })
	for _, b := range slices.Backward(a.pinned) {
		e.cache.unpin(b)
	}
	e.privateBlocks -= a.privateBlocks
	a.pinned, a.privateBlocks = nil, 0
	for _, handle := range a.exports {
		e.exports.remove(handle)
	}
	e.sampleLoad()
	e.signal()
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.TimeScale)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
