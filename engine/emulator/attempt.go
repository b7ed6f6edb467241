package emulator

import (
	"context"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/work"
)

// attempt is the state of one attempt while the engine holds it.
type attempt struct {
	work          engine.Work
	arrival       uint64 // sequence number of arrival
	promptHash    uint64 // selects the text and the length of the answer
	blocks        []engine.Block
	firstToken    int // position in the prompt of the first token held by this engine
	prefillTarget int // number of tokens to prefill on this engine
	prefilled     int // tokens prefilled so far, including those found in the cache
	cachedTokens  int
	answerTokens  int // tokens generated so far, including those of earlier attempts
	pinned        []engine.Block
	privateBlocks int      // memory blocks held outside the cache
	exports       []string // handles under which peers can read the memory
	running       bool
	ended         bool // generation has finished; a segment keeps its memory until Cancel
	stream        *stream
}

func newAttempt(w engine.Work, arrival uint64) *attempt {
	blocks := w.Prompt.Blocks
	tokens := w.Prompt.Tokens
	if w.Prompt.Text != "" {
		tokens = CountTokens(w.Prompt.Text)
	}
	if len(blocks) == 0 {
		blocks = work.PrefixBlocks(w.Prompt.Text)
	}
	blocks = blocks[:min(len(blocks), tokens/engine.BlockTokens)]
	a := &attempt{work: w, arrival: arrival, promptHash: promptHash(w.Prompt), prefillTarget: tokens, answerTokens: w.Offset, stream: newStream()}
	if w.Segment != nil {
		a.firstToken = w.Segment.First
		a.prefillTarget = w.Segment.Tokens()
		return a
	}
	a.blocks = blocks
	a.prefillTarget += w.Offset
	return a
}

// extendedBy reports whether w extends the segment that a has finished
// prefilling.
func (a *attempt) extendedBy(w engine.Work) bool {
	if !a.ended || a.work.Segment == nil || w.Segment == nil {
		return false
	}
	return a.work.Segment.First == w.Segment.First && a.work.Segment.Last <= w.Segment.Last
}

// memoryTokens returns the maximum number of tokens for which the attempt needs
// memory.
func (a *attempt) memoryTokens() int {
	return a.prefillTarget + max(a.work.MaxTokens-a.work.Offset, 0)
}

func (a *attempt) decoding() bool {
	return a.running && !a.ended && a.prefilled >= a.prefillTarget
}

func (a *attempt) prefilling() bool {
	return a.running && !a.ended && a.prefilled < a.prefillTarget
}

// CountTokens returns the length of text in emulated tokens: four bytes per
// token, rounded up.
func CountTokens(text string) int { return (len(text) + 3) / 4 }

func promptHash(p engine.Prompt) uint64 {
	if p.Text != "" {
		return xxhash.Sum64String(p.Text)
	}
	hash := uint64(p.Tokens)
	for _, b := range p.Blocks {
		hash = splitMix64(hash ^ uint64(b))
	}
	return hash
}

// splitMix64 advances x by the SplitMix64 increment and applies its finalizer.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

var vocabulary = [...]string{
	"north ", "harbour ", "ledger ", "stone ", "notice ", "window ", "letter ", "court ",
	"river ", "survey ", "roof ", "clause ", "field ", "record ", "bridge ", "union ",
	"street ", "beam ", "permit ", "hearing ", "gate ", "appeal ", "tile ", "summary ",
	"plan ", "worker ", "floor ", "statute ", "site ", "witness ", "brick ", "term ",
}

// AnswerToken returns the text of token i of the answer to p. It depends only on
// the prompt and i, so tests can detect answers that are truncated, repeated or
// sent to the wrong request.
func AnswerToken(p engine.Prompt, i int) string { return answerToken(promptHash(p), i) }

func answerToken(hash uint64, i int) string {
	return vocabulary[splitMix64(hash+uint64(i))%uint64(len(vocabulary))]
}

// stream buffers the chunks of an attempt until its reader takes them.
type stream struct {
	mu        sync.Mutex
	chunks    []engine.Chunk
	err       error
	available chan struct{}
}

func newStream() *stream { return &stream{available: make(chan struct{}, 1)} }

func (s *stream) push(c engine.Chunk) {
	s.mu.Lock()
	if s.err == nil {
		s.chunks = append(s.chunks, c)
		if c.Finish != engine.FinishNone {
			s.err = io.EOF
		}
	}
	s.mu.Unlock()
	s.notify()
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.notify()
}

func (s *stream) notify() {
	select {
	case s.available <- struct{}{}:
	default:
	}
}

func (s *stream) pop() (engine.Chunk, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) > 0 {
		c := s.chunks[0]
		s.chunks = s.chunks[1:]
		return c, true, nil
	}
	return engine.Chunk{}, false, s.err
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Chunk, error) {
	for {
		c, ok, err := s.pop()
		if ok || err != nil {
			return c, err
		}
		select {
		case <-s.available:
		case <-ctx.Done():
			return engine.Chunk{}, context.Cause(ctx)
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error { return nil }
