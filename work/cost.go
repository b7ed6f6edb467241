package work

import (
	"math"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Rates describes the speed and memory granularity of one engine.
type Rates struct {
	PrefillPerSec  float64 // tokens per second at position 0
	DecodePerSec   float64 // tokens per second of one sequence
	AttentionScale int     // position at which a prefill token costs twice as much; 0 for constant cost
	MemoryTokens   int     // tokens per memory block
}

// RatesOf returns the rates in an engine's description.
func RatesOf(d engine.Description) Rates {
	return Rates{
		PrefillPerSec:  d.PrefillPerSec,
		DecodePerSec:   d.DecodePerSec,
		AttentionScale: d.AttentionScale,
		MemoryTokens:   d.MemoryTokens,
	}
}

// EquivalentTokens returns the cost of prefilling the tokens from position first up
// to last, in units of one token at position 0. Cost grows linearly with position.
func (r Rates) EquivalentTokens(first, last int) float64 {
	tokens := float64(last - first)
	if tokens <= 0 {
		return 0
	}
	if r.AttentionScale <= 0 {
		return tokens
	}
	meanPosition := float64(first+last) / 2
	return tokens * (1 + meanPosition/float64(r.AttentionScale))
}

// Prefill returns the time of prefilling the tokens from position first up to
// last on an otherwise idle engine.
func (r Rates) Prefill(first, last int) time.Duration {
	return perSecond(r.EquivalentTokens(first, last), r.PrefillPerSec)
}

// Decode returns the time of generating tokens on an otherwise idle engine.
func (r Rates) Decode(tokens int) time.Duration {
	return perSecond(float64(max(tokens, 0)), r.DecodePerSec)
}

// PrefillableTokens returns how many tokens can be prefilled from position first
// within budget.
func (r Rates) PrefillableTokens(first int, budget time.Duration) int {
	capacity := budget.Seconds() * r.PrefillPerSec
	if r.AttentionScale <= 0 {
		return int(capacity)
	}
	// Solves n*(1 + (first + n/2)/scale) = capacity for n.
	scale := float64(r.AttentionScale)
	slope := 1 + float64(first)/scale
	return int(scale * (math.Sqrt(slope*slope+2*capacity/scale) - slope))
}

// Blocks returns the number of memory blocks that tokens occupy.
func (r Rates) Blocks(tokens int) int {
	if r.MemoryTokens <= 0 {
		return 0
	}
	return (tokens + r.MemoryTokens - 1) / r.MemoryTokens
}

// Estimate is the cost of one attempt for an engine.
type Estimate struct {
	EquivalentTokens float64       // uncached prefill, in units of one token at position 0
	Prefill          time.Duration // time of the uncached prefill on an idle engine
	Decode           time.Duration // time of the longest answer on an idle engine
	Blocks           int           // memory blocks held at the end
}

// ServiceTime returns the total time of the attempt on an idle engine.
func (e Estimate) ServiceTime() time.Duration { return e.Prefill + e.Decode }

// Estimate returns the cost of an attempt on a prompt of the given length, of which
// the first cached tokens are in the prefix cache, with an answer of up to maxTokens
// tokens, of which offset are already generated.
func (r Rates) Estimate(tokens, cached, maxTokens, offset int) Estimate {
	last := tokens + offset
	first := min(cached, last)
	return Estimate{
		EquivalentTokens: r.EquivalentTokens(first, last),
		Prefill:          r.Prefill(first, last),
		Decode:           r.Decode(maxTokens - offset),
		Blocks:           r.Blocks(tokens + max(maxTokens, offset)),
	}
}

func perSecond(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(amount / rate * float64(time.Second))
}
