package emulator

import (
	"context"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/work"
)

// attempt is one attempt inside the engine.
type attempt struct {
	work    engine.Work
	order   uint64 // arrival
	hash    uint64 // of the prompt, decides the words of the answer
	blocks  []engine.Block
	first   int // position of the first token held here
	target  int // tokens to prefill here
	done    int // tokens prefilled or found cached
	cached  int
	tokens  int // tokens of the answer, those of earlier attempts included
	pins    []engine.Block
	own     int // memory blocks held outside the cache
	running bool
	ended   bool // the answer ended; memory is kept until Cancel
	stream  *stream
}

func newAttempt(w engine.Work, order uint64) *attempt {
	blocks := w.Prompt.Blocks
	tokens := w.Prompt.Tokens
	if w.Prompt.Text != "" {
		tokens = Tokens(w.Prompt.Text)
	}
	if len(blocks) == 0 {
		blocks = work.PrefixBlocks(w.Prompt.Text)
	}
	blocks = blocks[:min(len(blocks), tokens/engine.BlockTokens)]
	a := &attempt{work: w, order: order, hash: promptHash(w.Prompt), target: tokens, tokens: w.Offset, stream: newStream()}
	if w.Segment != nil {
		a.first = w.Segment.First
		a.target = w.Segment.Tokens()
		return a
	}
	a.blocks = blocks
	a.target += w.Offset
	return a
}

// extendedBy reports whether w goes on with the ended segment of a.
func (a *attempt) extendedBy(w engine.Work) bool {
	if !a.ended || a.work.Segment == nil || w.Segment == nil {
		return false
	}
	return a.work.Segment.First == w.Segment.First && a.work.Segment.Last <= w.Segment.Last
}

// memoryTokens returns the tokens that the attempt may come to hold.
func (a *attempt) memoryTokens() int {
	return a.target + max(a.work.MaxTokens-a.work.Offset, 0)
}

func (a *attempt) decoding() bool {
	return a.running && !a.ended && a.done >= a.target
}

func (a *attempt) prefilling() bool {
	return a.running && !a.ended && a.done < a.target
}

// Tokens returns the number of tokens that the emulator counts in text.
func Tokens(text string) int { return (len(text) + 3) / 4 }

func promptHash(p engine.Prompt) uint64 {
	if p.Text != "" {
		return xxhash.Sum64String(p.Text)
	}
	hash := uint64(p.Tokens)
	for _, b := range p.Blocks {
		hash = mix(hash ^ uint64(b))
	}
	return hash
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

var words = [...]string{
	"north ", "harbour ", "ledger ", "stone ", "notice ", "window ", "letter ", "court ",
	"river ", "survey ", "roof ", "clause ", "field ", "record ", "bridge ", "union ",
	"street ", "beam ", "permit ", "hearing ", "gate ", "appeal ", "tile ", "summary ",
	"plan ", "worker ", "floor ", "statute ", "site ", "witness ", "brick ", "term ",
}

// Word returns token i of the answer to the prompt, so that tests can tell
// truncated, repeated and crossed answers.
func Word(p engine.Prompt, i int) string { return word(promptHash(p), i) }

func word(hash uint64, i int) string {
	return words[mix(hash+uint64(i))%uint64(len(words))]
}

// stream is the reader's side of an attempt.
type stream struct {
	mu     sync.Mutex
	chunks []engine.Chunk
	err    error
	more   chan struct{}
}

func newStream() *stream { return &stream{more: make(chan struct{}, 1)} }

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
	case s.more <- struct{}{}:
	default:
	}
}

func (s *stream) take() (engine.Chunk, bool, error) {
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
		c, ok, err := s.take()
		if ok || err != nil {
			return c, err
		}
		select {
		case <-s.more:
		case <-ctx.Done():
			return engine.Chunk{}, context.Cause(ctx)
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error { return nil }
