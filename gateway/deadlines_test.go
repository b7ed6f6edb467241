package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSpentEarlier(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		seen  []time.Duration // deadlines of earlier callers
		after time.Duration   // since the last of them
		left  time.Duration
		spent time.Duration
	}{
		"first caller":                 {nil, 0, 3 * time.Second, 0},
		"no deadline":                  {[]time.Duration{10 * time.Second}, 0, 0, 0},
		"full deadline":                {[]time.Duration{10 * time.Second}, 0, 10 * time.Second, 0},
		"impatient caller":             {[]time.Duration{10 * time.Second}, 0, 8300 * time.Millisecond, 0},
		"returning caller":             {[]time.Duration{10 * time.Second, 9 * time.Second}, 0, 6 * time.Second, 2 * time.Second},
		"longest deadline last period": {[]time.Duration{10 * time.Second}, 40 * time.Second, 6 * time.Second, 2 * time.Second},
		"callers became less patient":  {[]time.Duration{10 * time.Second}, 80 * time.Second, 6 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeadlineHistory()
			for _, left := range c.seen {
				h.spentEarlier("r", left, start)
			}
			h.spentEarlier("other", time.Minute, start)
			NewWithT(t).Expect(h.spentEarlier("r", c.left, start.Add(c.after))).To(BeNumerically("~", c.spent, time.Microsecond))
		})
	}
}
