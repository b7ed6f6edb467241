package endpoint

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

// prefillChunks prefills a long prompt as a series of growing prefixes, each of
// which extends the cached one. Between two chunks shorter prefills may run. The
// last part is left to the call that also decodes.
func (a *Agent) prefillChunks(t *attempt, w engine.Work) error {
	first, last := prefillRange(w)
	position := max(t.cached, first)
	if a.rates.Prefill(position, last) <= a.cfg.MaxUnchunkedPrefill {
		return nil
	}
	for {
		next := a.chunkEnd(position)
		t.cached = position
		if a.chunkEnd(next) >= last {
			return nil
		}
		if err := a.prefillChunk(t, prefixWork(w, next), position, last); err != nil {
			return err
		}
		position = next
		a.reportProgress(t, position, last)
	}
}

// prefillChunk prefills w, whose prefix up to position is already cached in the
// engine. last is the end of all prefill of the attempt.
func (a *Agent) prefillChunk(t *attempt, w engine.Work, position, last int) error {
	_, end := prefillRange(w)
	estimate := a.rates.Prefill(position, end)
	release, err := a.acquirePrefillSlot(t, estimate, a.rates.Prefill(position, last))
	if err != nil {
		return err
	}
	defer release()
	return a.generate(t, w, func(_ context.Context, c engine.Chunk) error {
		if w.Segment == nil && c.Finish != engine.FinishNone && c.Usage.CachedTokens+engine.BlockTokens <= position {
			a.handleCacheMiss(w.Prompt.Blocks, c.Usage.CachedTokens)
		}
		return nil
	}, estimate)
}

// handleCacheMiss corrects the cache view after the engine found fewer cached
// tokens than expected.
func (a *Agent) handleCacheMiss(blocks []engine.Block, cached int) {
	cacheMissesTotal.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cache.removeUncached(blocks, cached)
}

// chunkEnd returns the end of the prefill chunk that starts at position. It is a
// multiple of engine.BlockTokens.
func (a *Agent) chunkEnd(position int) int {
	next := position + a.rates.PrefillableTokens(position, a.cfg.ChunkTime)
	next -= next % engine.BlockTokens
	return max(next, position-position%engine.BlockTokens+engine.BlockTokens)
}

// prefillRange returns the range of tokens that the receiver of w prefills.
func prefillRange(w engine.Work) (first, last int) {
	if w.Segment != nil {
		return w.Segment.First, w.Segment.Last
	}
	return 0, w.Prompt.Tokens
}

// prefixWork returns work that only prefills w up to position.
func prefixWork(w engine.Work, position int) engine.Work {
	w.MaxTokens, w.Offset, w.Generated = 0, 0, ""
	if w.Segment != nil {
		segment := *w.Segment
		segment.Last = position
		w.Segment = &segment
		return w
	}
	if w.Prompt.Text != "" {
		w.Prompt.Text = prefixText(w.Prompt, position)
	}
	w.Prompt.Blocks = w.Prompt.Blocks[:min(len(w.Prompt.Blocks), position/engine.BlockTokens)]
	w.Prompt.Tokens = position
	return w
}

// prefixText returns the text up to about position, cut at a multiple of
// work.BlockBytes, the bytes that one block hash covers, and moved forward to the
// next UTF-8 character boundary.
func prefixText(p engine.Prompt, position int) string {
	end := int(float64(len(p.Text)) * float64(position) / float64(p.Tokens))
	end = max(end-end%work.BlockBytes, min(work.BlockBytes, len(p.Text)))
	for end < len(p.Text) && !utf8.RuneStart(p.Text[end]) {
		end++
	}
	return p.Text[:min(end, len(p.Text))]
}

func (a *Agent) reportProgress(t *attempt, position, last int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.cached = position
	a.queue.Progress(t.entry.Key, a.rates.Prefill(position, last), time.Now())
}

// recordPause records once per attempt that it waits for other prefills.
func (a *Agent) recordPause(t *attempt) {
	if t.pauseRecorded {
		return
	}
	t.pauseRecorded = true
	a.record(timeline.KindPaused, t, "", "waiting for a prefill slot")
}
