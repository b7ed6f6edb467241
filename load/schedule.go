// Package load puts open-loop load on the entries of a running fleet: requests
// are sent at their times, whether or not earlier ones were answered, so that a
// fleet that slows down is not spared.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthplank/jacinthplank/submit"
)

// Mix says which requests come.
type Mix struct {
	Rate      float64       // requests per second, on average
	Duration  time.Duration // how long new requests come
	Shortest  int           // tokens of the shortest prompt
	Longest   int           // tokens of the longest prompt
	LongShare float64       // share of prompts over submit.LongTokens, when Longest allows
	MaxTokens int           // tokens of an answer
	Prefixes  int           // number of different beginnings of prompts; 0 for none in common
	Seed      uint64
}

// Arrival is one request to be sent.
type Arrival struct {
	At     time.Duration // since the start
	Tokens int           // of the prompt
	Prefix int           // which beginning it shares with others
	Unique uint64        // makes the rest of the prompt its own
}

// Schedule returns the arrivals of a mix: a Poisson process with lengths spread
// evenly over their logarithm. It depends on the mix alone.
func Schedule(m Mix) []Arrival {
	random := rand.New(rand.NewPCG(m.Seed, m.Seed+1))
	var arrivals []Arrival
	if m.Rate <= 0 {
		return nil
	}
	for at := next(random, m.Rate); at < m.Duration; at += next(random, m.Rate) {
		arrivals = append(arrivals, Arrival{
			At:     at,
			Tokens: m.length(random),
			Prefix: random.IntN(max(m.Prefixes, 1)),
			Unique: random.Uint64(),
		})
	}
	return arrivals
}

func next(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (m Mix) length(random *rand.Rand) int {
	low, high := m.Shortest, min(m.Longest, submit.LongTokens)
	if m.Longest > submit.LongTokens && random.Float64() < m.LongShare {
		low, high = submit.LongTokens+1, m.Longest
	}
	low = max(min(low, high), 1)
	span := math.Log(float64(high) / float64(low))
	return int(float64(low) * math.Exp(random.Float64()*span))
}
