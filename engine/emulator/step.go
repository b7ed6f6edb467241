package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// step is what one pass of the engine does.
type step struct {
	prefill []prefillPart
	decode  []*attempt
	time    time.Duration
}

type prefillPart struct {
	attempt *attempt
	tokens  int
}

func (e *Engine) run() {
	defer e.done.Done()
	for {
		e.mu.Lock()
		s := e.plan()
		slow := e.faults.slow
		e.mu.Unlock()
		if len(s.prefill)+len(s.decode) == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		if !e.pause(e.scaled(time.Duration(float64(s.time) * slow))) {
			return
		}
		e.mu.Lock()
		e.apply(s)
		e.mu.Unlock()
	}
}

// pause waits for d and then for the engine to be thawed.
func (e *Engine) pause(d time.Duration) bool {
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

// plan starts waiting attempts that memory allows, then fills one step: a token
// for each decoding attempt, the rest of the budget for prefill by priority. The
// step reads the weights once, so decoding beside prefill costs little more than
// the slower of the two.
func (e *Engine) plan() step {
	var s step
	budget := e.cfg.StepTokens
	for _, a := range e.queue {
		if !a.running {
			e.start(a)
		}
		if a.decoding() && budget > 0 {
			s.decode = append(s.decode, a)
			budget--
			s.time += e.cfg.DecodeSlot + e.contextTime(a)
		}
	}
	var prefill time.Duration
	for _, a := range e.queue {
		if !a.prefilling() || budget == 0 {
			continue
		}
		part := prefillPart{a, min(budget, a.target-a.done)}
		s.prefill = append(s.prefill, part)
		budget -= part.tokens
		prefill += e.prefillTime(a, part.tokens) + e.contextTime(a)
	}
	if len(s.decode) > 0 {
		prefill = max(prefill, seconds(1/e.cfg.DecodePerSec))
	}
	s.time += prefill
	return s
}

// prefillTime returns the time of prefilling tokens after those already done.
func (e *Engine) prefillTime(a *attempt, tokens int) time.Duration {
	cost := float64(tokens)
	if e.cfg.AttentionScale > 0 {
		middle := float64(a.first+a.done) + float64(tokens)/2
		cost *= 1 + middle/float64(e.cfg.AttentionScale)
	}
	return seconds(cost / e.cfg.PrefillPerSec)
}

// contextTime returns the time of reading the exported memory of the segments
// before this one, once per step.
func (e *Engine) contextTime(a *attempt) time.Duration {
	if len(a.work.Context) == 0 {
		return 0
	}
	return seconds(float64(a.first) / e.cfg.TransferPerSec / contextOverlap)
}

// contextOverlap is how many times faster remote memory is read inside a step
// than it is imported, as reading overlaps with computing.
const contextOverlap = 20

// start gives a waiting attempt its memory, if there is enough.
func (e *Engine) start(a *attempt) {
	hits := e.cache.match(a.blocks)
	for _, b := range a.blocks[:hits] {
		e.cache.pin(b)
	}
	need := max(e.cfg.blocksFor(a.memoryTokens())-hits*e.cfg.prefixCost()-a.own, 0)
	if !e.allocate(need) {
		for _, b := range a.blocks[:hits] {
			e.cache.unpin(b)
		}
		return
	}
	a.running = true
	a.own += need
	a.pins = slices.Clone(a.blocks[:hits])
	a.cached = hits * engine.BlockTokens
	a.done = max(a.cached, a.done)
	if a.done == a.target && a.work.MaxTokens > 0 {
		a.done-- // the last token is computed again for the first token of the answer
	}
}

// allocate takes memory blocks, dropping idle cached blocks when it must.
func (e *Engine) allocate(blocks int) bool {
	cost := e.cfg.prefixCost()
	if e.own+e.cache.pinned()*cost+blocks > e.cfg.MemoryBlocks {
		return false
	}
	for e.own+len(e.cache.entries)*cost+blocks > e.cfg.MemoryBlocks {
		dropped, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.event(dropped, true)
	}
	e.own += blocks
	return true
}

func (e *Engine) apply(s step) {
	for _, part := range s.prefill {
		a := part.attempt
		if e.attempts[a.work.Key] != a {
			continue
		}
		a.done += part.tokens
		e.keep(a)
		if a.done >= a.target {
			e.emit(a)
		}
	}
	for _, a := range s.decode {
		if e.attempts[a.work.Key] == a {
			e.emit(a)
		}
	}
	e.sample()
}

// keep moves finished blocks of the prompt from the attempt into the cache.
func (e *Engine) keep(a *attempt) {
	cost := e.cfg.prefixCost()
	for i := len(a.pins); i < len(a.blocks) && (i+1)*engine.BlockTokens <= a.done; i++ {
		if !e.cache.insert(a.blocks[i]) {
			return // another attempt was faster: this one keeps its own copy
		}
		a.pins = append(a.pins, a.blocks[i])
		a.own -= cost
		e.own -= cost
		e.event(a.blocks[i], false)
	}
}

// emit produces one token, or the end of a prefill without an answer.
func (e *Engine) emit(a *attempt) {
	if a.work.MaxTokens <= a.tokens {
		e.finish(a, engine.Chunk{Finish: engine.FinishLength, Usage: a.usage()})
		return
	}
	chunk := engine.Chunk{Text: word(a.hash, a.tokens), Tokens: 1}
	a.tokens++
	if a.tokens >= a.work.MaxTokens {
		chunk.Finish = engine.FinishLength
		chunk.Usage = a.usage()
		e.finish(a, chunk)
		return
	}
	a.stream.push(chunk)
}

func (a *attempt) usage() engine.Usage {
	prompt := a.first + a.target - a.work.Offset
	if a.work.Segment != nil {
		prompt = a.work.Segment.Last
	}
	return engine.Usage{
		PromptTokens:    prompt,
		CachedTokens:    a.cached,
		GeneratedTokens: a.tokens - a.work.Offset,
	}
}

// finish ends an answer. Segments of a group keep their memory until Cancel.
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
	for _, b := range slices.Backward(a.pins) {
		e.cache.unpin(b)
	}
	e.own -= a.own
	a.pins, a.own = nil, 0
	e.sample()
	e.signal()
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.Scale)
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
