package load_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/load"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

var mix = load.Mix{Rate: 50, Duration: 100 * time.Second, Shortest: 1000, Longest: 1_000_000, LongShare: 0.02, Prefixes: 10, Seed: 7}

func TestScheduleIsDeterministicPerSeed(t *testing.T) {
	g := NewWithT(t)
	arrivals := load.Schedule(mix)
	g.Expect(load.Schedule(mix)).To(Equal(arrivals))
	g.Expect(len(arrivals)).To(BeNumerically("~", 5000, 300))

	long := 0
	for _, a := range arrivals {
		g.Expect(a.Tokens).To(And(BeNumerically(">=", 999), BeNumerically("<=", 1_000_000)))
		if a.Tokens > submit.LongTokens {
			long++
		}
	}
	g.Expect(long).To(BeNumerically("~", 100, 40))
}

// slowCaller answers after 10 s and refuses prompts over submit.ShortTokens.
type slowCaller struct{}

func (slowCaller) Call(_ context.Context, a load.Arrival) (time.Time, outcome.Code, outcome.State) {
	if a.Tokens > submit.ShortTokens {
		return time.Time{}, outcome.CodeOverloaded, outcome.NotRun
	}
	time.Sleep(10 * time.Second)
	return time.Now(), "", outcome.Ran
}

// A request that takes 10 s does not delay the requests scheduled meanwhile.
func TestSlowResponsesDoNotDelayLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		arrivals := []load.Arrival{{At: 0, Tokens: 1000}, {At: time.Second, Tokens: 1000}, {At: 2 * time.Second, Tokens: 9000}}
		results := load.Run(context.Background(), arrivals, slowCaller{})
		g.Expect(time.Since(start)).To(Equal(11 * time.Second))

		report := load.Summarize(results)
		g.Expect(report.Classes).To(HaveLen(2))
		g.Expect(report.Classes[0].FirstToken(99)).To(BeNumerically("~", 10*time.Second, 10*time.Millisecond))
		g.Expect(report.Classes[1].NotRun).To(Equal(1))

		var text strings.Builder
		g.Expect(report.Write(&text)).To(Succeed())
		g.Expect(text.String()).To(ContainSubstring("overloaded: 1"))
	})
}
