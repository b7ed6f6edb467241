// Package load generates open-loop load on the entries of a running fleet: requests
// are sent at their scheduled times whether or not earlier ones were answered, so
// that a slow fleet does not reduce the offered load.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthplank/jacinthplank/submit"
)

// Mix describes the requests of a run.
type Mix struct {
	Rate      float64       // mean requests per second
	Duration  time.Duration // how long new requests are sent
	Shortest  int           // tokens of the shortest prompt
	Longest   int           // tokens of the longest prompt
	LongShare float64       // share of prompts over submit.LongTokens, if Longest exceeds it
	MaxTokens int           // maximum tokens of an answer
	Prefixes  int           // number of distinct shared prompt prefixes; 0 for prompts that share none
	Seed      uint64
}

// Arrival is one scheduled request.
type Arrival struct {
	At         time.Duration // since the start of the run
	Tokens     int           // length of the prompt
	Prefix     int           // index of the shared prefix, or NoPrefix
	PromptSeed uint64        // seed of the rest of the prompt; also selects the entry
}

// NoPrefix is the Prefix of a prompt that shares no prefix with others.
const NoPrefix = -1

// Schedule returns the arrivals of a mix: a Poisson process with log-uniform prompt
// lengths. Equal mixes give equal arrivals.
func Schedule(m Mix) []Arrival {
	random := rand.New(rand.NewPCG(m.Seed, m.Seed+1))
	var arrivals []Arrival
	if m.Rate <= 0 {
		return nil
	}
	for at := nextInterval(random, m.Rate); at < m.Duration; at += nextInterval(random, m.Rate) {
		arrivals = append(arrivals, Arrival{
			At:         at,
			Tokens:     m.promptTokens(random),
			Prefix:     m.prefix(random),
			PromptSeed: random.Uint64(),
		})
	}
	return arrivals
}

func nextInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (m Mix) prefix(random *rand.Rand) int {
	if m.Prefixes <= 0 {
		return NoPrefix
	}
	return random.IntN(m.Prefixes)
}

func (m Mix) promptTokens(random *rand.Rand) int {
	minTokens, maxTokens := m.Shortest, min(m.Longest, submit.LongTokens)
	if m.Longest > submit.LongTokens && random.Float64() < m.LongShare {
		minTokens, maxTokens = submit.LongTokens+1, m.Longest
	}
	minTokens = max(min(minTokens, maxTokens), 1)
	logRange := math.Log(float64(maxTokens) / float64(minTokens))
	return int(float64(minTokens) * math.Exp(random.Float64()*logRange))
}
