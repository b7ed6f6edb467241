package placement

import (
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
)

// defaultPrefillRate is the prefill rate, in tokens per second, that is assumed
// for an endpoint that announced none.
const defaultPrefillRate = 10_000

// PrefillTime returns the time to prefill tokens first to last on an idle
// endpoint. Because of attention, a token at position p costs 1 + p/scale times
// as much as the first token.
func PrefillTime(m *directory.Member, first, last int) time.Duration {
	if last <= first {
		return 0
	}
	rate := m.PrefillPerSec
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	tokens := float64(last - first)
	if m.AttentionScale > 0 {
		midpoint := float64(first+last) / 2
		tokens *= 1 + midpoint/float64(m.AttentionScale)
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// ExpectedWait returns how long a request that arrives at m now waits before its
// prefill starts: the wait that the endpoint reported, less the time since the
// report, plus the prefills that this daemon sent since.
func ExpectedWait(now time.Time, m *directory.Member, long bool) time.Duration {
	report := m.Report()
	wait := report.Wait
	shortTokens, longTokens := m.Sent()
	sent := shortTokens
	if long {
		wait = report.LongWait
		sent += longTokens
	}
	age := max(now.Sub(report.At), 0)
	remaining := max(wait-age, 0)
	return remaining + PrefillTime(m, 0, sent)
}

// Delays of a short prefill by other work that runs on the endpoint.
const (
	chunkInterference  = 12 * time.Millisecond // by one prefill chunk of long work
	decodeInterference = 12 * time.Millisecond // by running decodes
)

// Interference returns how much longer a short prefill takes on m than on an
// idle endpoint, not counting the wait for prefills queued before it.
func Interference(m *directory.Member) time.Duration {
	report := m.Report()
	_, long := m.Sent()
	var delay time.Duration
	if report.LongWait > report.Wait || long > 0 {
		delay += chunkInterference
	}
	if report.Running > 0 {
		delay += decodeInterference
	}
	return delay
}
