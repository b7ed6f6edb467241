package work

import (
	"math"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Rates is how fast one engine works.
type Rates struct {
	PrefillPerSec  float64 // tokens per second at position 0
	DecodePerSec   float64 // tokens per second of one answer
	AttentionScale int     // position at which a prefill token costs twice; 0 for none
	MemoryTokens   int     // tokens per memory block
}

// RatesOf returns the rates that an engine describes.
func RatesOf(d engine.Description) Rates {
	return Rates{
		PrefillPerSec:  d.PrefillPerSec,
		DecodePerSec:   d.DecodePerSec,
		AttentionScale: d.AttentionScale,
		MemoryTokens:   d.MemoryTokens,
	}
}

// Equivalents returns the cost of prefilling the tokens from position first up
// to last, in tokens at position 0.
func (r Rates) Equivalents(first, last int) float64 {
	count := float64(last - first)
	if count <= 0 {
		return 0
	}
	if r.AttentionScale <= 0 {
		return count
	}
	middle := float64(first+last) / 2
	return count * (1 + middle/float64(r.AttentionScale))
}

// Prefill returns the time of prefilling the tokens from position first up to
// last on an otherwise idle engine.
func (r Rates) Prefill(first, last int) time.Duration {
	return perSecond(r.Equivalents(first, last), r.PrefillPerSec)
}

// Decode returns the time of generating tokens on an otherwise idle engine.
func (r Rates) Decode(tokens int) time.Duration {
	return perSecond(float64(max(tokens, 0)), r.DecodePerSec)
}

// Advance returns how many tokens can be prefilled from position first within
// budget.
func (r Rates) Advance(first int, budget time.Duration) int {
	equivalents := budget.Seconds() * r.PrefillPerSec
	if r.AttentionScale <= 0 {
		return int(equivalents)
	}
	// Solves n*(1 + (first + n/2)/scale) = equivalents for n.
	scale := float64(r.AttentionScale)
	slope := 1 + float64(first)/scale
	return int(scale * (math.Sqrt(slope*slope+2*equivalents/scale) - slope))
}

// Blocks returns the memory blocks that tokens take.
func (r Rates) Blocks(tokens int) int {
	if r.MemoryTokens <= 0 {
		return 0
	}
	return (tokens + r.MemoryTokens - 1) / r.MemoryTokens
}

// Estimate is what one attempt costs an engine.
type Estimate struct {
	Equivalents float64       // prefill that is not cached, in tokens at position 0
	Prefill     time.Duration // time of it on an idle engine
	Decode      time.Duration // time of the longest answer on an idle engine
	Blocks      int           // memory blocks held at the end
}

// Service returns the time from start to end on an idle engine.
func (e Estimate) Service() time.Duration { return e.Prefill + e.Decode }

// Estimate returns the cost of a prompt of tokens, of which the first cached are
// in the prefix cache, with an answer of up to maxTokens of which offset are
// there already.
func (r Rates) Estimate(tokens, cached, maxTokens, offset int) Estimate {
	last := tokens + offset
	first := min(cached, last)
	return Estimate{
		Equivalents: r.Equivalents(first, last),
		Prefill:     r.Prefill(first, last),
		Decode:      r.Decode(maxTokens - offset),
		Blocks:      r.Blocks(tokens + max(maxTokens, offset)),
	}
}

func perSecond(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(amount / rate * float64(time.Second))
}
