// Package schedule decides where the prompts of an engine service are prefilled
// and decoded: which endpoint decodes, which helpers share the prefill, and which
// jobs are queued or refused. It works on a model of the engines, performs no I/O
// and takes the current time as an argument.
package schedule

import (
	"time"

	"github.com/jacinthplank/jacinthplank/spill"
)

// EngineProfile describes the capacity and speed of a service's engines.
type EngineProfile struct {
	Slots            int           // concurrent requests per engine
	MemoryTokens     int           // KV cache capacity of an engine, in tokens
	StepsPerPass     int           // token steps of a pass that includes decoding
	Step             time.Duration // duration of one token step
	StepPerDecode    time.Duration // added to a step for each decoding request
	StepPerKContext  time.Duration // added to a step for each 1,000 tokens of decoding context
	PrefillPerSecond float64       // prompt tokens prefilled per second
	TimePerMPairs    time.Duration // attention time per million pairs of a token and an earlier one
	ChunkTokens      int           // maximum prompt tokens prefilled in one step
	MeanPrompt       int           // mean prompt length in tokens

	BytesPerAnswerToken int          // bytes of a streamed answer for each of its tokens
	Delays              spill.Delays // between failure domains; empty if the deployment states none
}

// PrefillTime returns the time to prefill one of parts equal parts of a prompt:
// the linear cost per token, attention over token pairs, and one step per chunk.
func (f *EngineProfile) PrefillTime(prompt, parts int) time.Duration {
	n := float64(prompt)
	linear := n / max(f.PrefillPerSecond, 1) * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(f.TimePerMPairs)
	steps := n / float64(max(f.ChunkTokens, 1)) * float64(f.Step)
	return time.Duration((linear + pairs + steps) / float64(parts))
}

// PassTime returns the duration of a decode-only pass.
func (f *EngineProfile) PassTime(sequences, context int) time.Duration {
	if sequences == 0 {
		return 0
	}
	step := f.Step + time.Duration(sequences)*f.StepPerDecode + f.kvReadTime(context)
	return time.Duration(f.StepsPerPass) * step
}

func (f *EngineProfile) kvReadTime(context int) time.Duration {
	return time.Duration(float64(context) / 1000 * float64(f.StepPerKContext))
}
