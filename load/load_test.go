package load_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
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

// sentPrefixes returns the number of distinct beginnings, of 512 tokens, of the
// prompts that a caller sends for the arrivals of m.
func sentPrefixes(g *WithT, m load.Mix) (distinct, sent int) {
	prefixes := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Prompt string }
		g.Expect(json.NewDecoder(r.Body).Decode(&body)).To(Succeed())
		prefixes[body.Prompt[:512*4]] = true
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	caller := load.NewHTTP([]string{server.URL}, "key", "m", 1, 0)
	for _, a := range load.Schedule(m) {
		caller.Call(context.Background(), a)
		sent++
	}
	return len(prefixes), sent
}

func TestPrefixesAreSharedByTheGivenNumber(t *testing.T) {
	g := NewWithT(t)
	m := load.Mix{Rate: 100, Duration: 10 * time.Second, Shortest: 600, Longest: 1000, Seed: 7}
	for _, m.Prefixes = range []int{1, 5, 120} {
		distinct, _ := sentPrefixes(g, m)
		g.Expect(distinct).To(Equal(m.Prefixes))
	}
	m.Prefixes = 0
	distinct, sent := sentPrefixes(g, m)
	g.Expect(sent).To(BeNumerically(">", 100))
	g.Expect(distinct).To(Equal(sent), "no prompts share a prefix")
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
