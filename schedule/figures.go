// Package schedule decides where the prompts of an engine service are read and
// answered: which endpoint writes, which others help to read, who waits and who
// is refused. It works on a model of the engines and does no I/O; time is an
// argument.
package schedule

import "time"

// EngineProfile are what is known of one service's engines.
type EngineProfile struct {
	Slots            int           // requests that an engine works on at once
	MemoryTokens     int           // tokens of context that an engine holds
	StepsPerPass     int           // token steps of a pass with writers
	Step             time.Duration // one token step
	StepPerDecode    time.Duration // more for each request that is writing
	StepPerKContext  time.Duration // more for each 1,000 tokens of the writers' context
	PrefillPerSecond float64       // prompt tokens read per second
	TimePerMPairs    time.Duration // more for each million pairs of a token and an earlier one
	ChunkTokens      int           // most prompt tokens read in one step
	MeanPrompt       int           // mean tokens of a prompt
}

// PrefillTime returns how long one of parts even parts of a prompt takes to read:
// tokens and pairs, and a token step for each chunk.
func (f *EngineProfile) PrefillTime(prompt, parts int) time.Duration {
	n := float64(prompt)
	linear := n / max(f.PrefillPerSecond, 1) * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(f.TimePerMPairs)
	steps := n / float64(max(f.ChunkTokens, 1)) * float64(f.Step)
	return time.Duration((linear + pairs + steps) / float64(parts))
}

// PassTime returns how long a pass of writers takes, without reading.
func (f *EngineProfile) PassTime(writers, context int) time.Duration {
	if writers == 0 {
		return 0
	}
	step := f.Step + time.Duration(writers)*f.StepPerDecode + f.contextTime(context)
	return time.Duration(f.StepsPerPass) * step
}

func (f *EngineProfile) contextTime(context int) time.Duration {
	return time.Duration(float64(context) / 1000 * float64(f.StepPerKContext))
}
