package endpoint

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

// prefillChunks sends growing prefixes, each of which extends the cached one, but
// for a last part that the generating call itself prefills. Between two of them
// shorter work gets its turn.
func (a *Agent) prefillChunks(t *attempt, w engine.Work) error {
	first, last := bounds(w)
	position := max(t.cached, first)
	if a.rates.Prefill(position, last) <= a.cfg.WholeTime {
		return nil
	}
	for {
		next := a.nextPosition(position)
		t.cached = position
		if a.nextPosition(next) >= last {
			return nil
		}
		if err := a.prefillChunk(t, prefix(w, next), position, last); err != nil {
			return err
		}
		position = next
		a.progress(t, position, last)
	}
}

// prefillChunk prefills w, whose prefix up to position is in the engine. The
// whole prompt ends at last.
func (a *Agent) prefillChunk(t *attempt, w engine.Work, position, last int) error {
	_, end := bounds(w)
	piece := a.rates.Prefill(position, end)
	giveBack, err := a.takeTurn(t, piece, a.rates.Prefill(position, last))
	if err != nil {
		return err
	}
	defer giveBack()
	return a.generate(t, w, func(_ context.Context, c engine.Chunk) error {
		if w.Segment == nil && c.Finish != engine.FinishNone && c.Usage.CachedTokens+engine.BlockTokens <= position {
			a.cacheMissed(w.Prompt.Blocks, c.Usage.CachedTokens)
		}
		return nil
	}, piece)
}

// cacheMissed notes that a prefix was not cached as believed.
func (a *Agent) cacheMissed(blocks []engine.Block, cached int) {
	cacheMissesTotal.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cache.correct(blocks, cached)
}

// nextPosition returns the end of the chunk that begins at position.
func (a *Agent) nextPosition(position int) int {
	next := position + a.rates.Advance(position, a.cfg.ChunkTime)
	next -= next % engine.BlockTokens
	return max(next, position-position%engine.BlockTokens+engine.BlockTokens)
}

// bounds returns the tokens that the receiver of w prefills.
func bounds(w engine.Work) (first, last int) {
	if w.Segment != nil {
		return w.Segment.First, w.Segment.Last
	}
	return 0, w.Prompt.Tokens
}

// prefix returns the work of prefilling w up to position and no more.
func prefix(w engine.Work, position int) engine.Work {
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

// prefixText cuts a text at a multiple of the bytes that one block hash covers,
// and after a whole letter.
func prefixText(p engine.Prompt, position int) string {
	end := int(float64(len(p.Text)) * float64(position) / float64(p.Tokens))
	end = max(end-end%work.BlockBytes, min(work.BlockBytes, len(p.Text)))
	for end < len(p.Text) && !utf8.RuneStart(p.Text[end]) {
		end++
	}
	return p.Text[:min(end, len(p.Text))]
}

func (a *Agent) progress(t *attempt, position, last int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.cached = position
	a.queue.Progress(t.entry.Key, a.rates.Prefill(position, last), time.Now())
}

// notePause records that an attempt gave way, once for each.
func (a *Agent) notePause(t *attempt) {
	if t.paused {
		return
	}
	t.paused = true
	a.record(timeline.KindPaused, t, "", "waits for its turn to prefill")
}
