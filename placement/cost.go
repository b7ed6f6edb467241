package placement

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
)

// defaultPrefill is the speed of prefill, in tokens per second, of an endpoint
// that announced none.
const defaultPrefill = 10_000

// LongTime is the time of prefill from which on endpoints treat an attempt as
// long work: one at a time, in chunks, behind short work.
const LongTime = time.Second

// PrefillTime returns the time to prefill the tokens from first to last on an
// idle endpoint. Attention makes a token at position p cost 1 + p/scale times
// as much as the first.
func PrefillTime(m *directory.Member, first, last int) time.Duration {
	if last <= first {
		return 0
	}
	speed := m.PrefillPerSec
	if speed <= 0 {
		speed = defaultPrefill
	}
	tokens := float64(last - first)
	if m.AttentionScale > 0 {
		middle := float64(first+last) / 2
		tokens *= 1 + middle/float64(m.AttentionScale)
	}
	return time.Duration(tokens / speed * float64(time.Second))
}

// ExpectedWait returns the time that a request that arrives at m now waits
// before its prefill starts: the endpoint's own estimate, less what it worked
// off since, plus what this daemon sent since.
func ExpectedWait(now time.Time, m *directory.Member, long bool) time.Duration {
	report := m.Report()
	wait := report.Wait
	short, huge := m.Sent()
	sent := short
	if long {
		wait = report.LongWait
		sent += huge
	}
	age := max(now.Sub(report.At), 0)
	left := max(wait-age, 0)
	return left + PrefillTime(m, 0, sent)
}
