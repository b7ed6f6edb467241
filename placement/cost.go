package placement

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
)

// defaultPrefill is the speed of prefill, in tokens per second, of an endpoint
// that announced none.
const defaultPrefill = 10_000

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

// Delays of a short prefill by what an endpoint does already.
const (
	chunkDelay  = 12 * time.Millisecond // by a chunk of long work, as endpoints send it
	decodeDelay = 12 * time.Millisecond // by answers that are generated
)

// Interference returns how much longer a short prefill takes on m than on an
// idle endpoint, beside the wait for prefills before it.
func Interference(m *directory.Member) time.Duration {
	report := m.Report()
	_, long := m.Sent()
	var delay time.Duration
	if report.LongWait > report.Wait || long > 0 {
		delay += chunkDelay
	}
	if report.Running > 0 {
		delay += decodeDelay
	}
	return delay
}
