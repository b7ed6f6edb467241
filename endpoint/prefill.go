package endpoint

import (
	"context"
	"errors"
	"time"
	"unicode/utf8"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

var errGaveWay = errors.New("short work came")

// prefill brings the long prompt of t into the engine, by the agent's policy,
// but for a last part that the generating call itself prefills.
func (a *Agent) prefill(t *attempt, w engine.Work) error {
	switch a.cfg.Prefill {
	case PrefillWhole:
		return nil
	case PrefillResume:
		return a.prefillResume(t, w)
	default:
		return a.prefillChunks(t, w)
	}
}

// prefillChunks sends growing prefixes, each of which extends the cached one.
// Between two of them short work gets in.
func (a *Agent) prefillChunks(t *attempt, w engine.Work) error {
	first, last := bounds(w)
	position := max(t.cached, first)
	for {
		next := a.nextPosition(position)
		if next >= last {
			t.cached = position
			return a.gap(t)
		}
		if err := a.gap(t); err != nil {
			return err
		}
		if err := a.generate(t, prefix(w, next), ignore, a.rates.Prefill(position, next)); err != nil {
			return err
		}
		position = next
		a.progress(t, position, last)
	}
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

func ignore(context.Context, engine.Chunk) error { return nil }

func (a *Agent) progress(t *attempt, position, last int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.cached = position
	a.queue.Progress(t.entry.Key, a.rates.Prefill(position, last), time.Now())
}

// gap waits while short work waits or prefills, at most MaxPause, so that long
// work goes on under any load.
func (a *Agent) gap(t *attempt) error {
	var limit *time.Timer
	for {
		a.mu.Lock()
		busy, changed := a.queue.ShortPrefill(), a.changed
		a.mu.Unlock()
		if !busy {
			return context.Cause(t.ctx)
		}
		if limit == nil {
			a.record(timeline.KindPaused, t, "", "")
			limit = time.NewTimer(a.cfg.MaxPause)
			defer limit.Stop()
		}
		select {
		case <-changed:
		case <-limit.C:
			return context.Cause(t.ctx)
		case <-t.ctx.Done():
			return context.Cause(t.ctx)
		}
	}
}

// prefillResume prefills the whole prompt in one call that is cancelled when
// short work comes; what was prefilled stays in the engine's cache.
func (a *Agent) prefillResume(t *attempt, w engine.Work) error {
	whole := prefix(w, w.Prompt.Tokens)
	for {
		if err := a.gap(t); err != nil {
			return err
		}
		err := a.prefillUntilShort(t, whole)
		if !errors.Is(err, errGaveWay) {
			return err
		}
	}
}

func (a *Agent) prefillUntilShort(t *attempt, w engine.Work) error {
	outer := t.ctx
	ctx, cancel := context.WithCancelCause(outer)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go a.watchShort(cancel, stop)
	t.ctx = ctx
	defer func() { t.ctx = outer }()
	err := a.generate(t, w, ignore, a.rates.Prefill(t.cached, w.Prompt.Tokens))
	if errors.Is(err, errGaveWay) {
		call, done := context.WithTimeout(outer, a.cfg.CallTimeout)
		defer done()
		if cancelled := a.cfg.Engine.Cancel(call, w.Key); cancelled != nil {
			return cancelled
		}
	}
	return err
}

func (a *Agent) watchShort(cancel context.CancelCauseFunc, stop <-chan struct{}) {
	for {
		a.mu.Lock()
		busy, changed := a.queue.ShortPrefill(), a.changed
		a.mu.Unlock()
		if busy {
			cancel(errGaveWay)
			return
		}
		select {
		case <-changed:
		case <-stop:
			return
		}
	}
}
