package endpoint_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/work"
)

var (
	horizon      = flag.Duration("horizon", 2*time.Minute, "virtual time of each run of the long prefill experiment")
	seeds        = flag.Int("seeds", 1, "runs of each variant of the long prefill experiment")
	shortLoad    = flag.Float64("short-load", 0.3, "prefill of short requests, share of the engine's time")
	longLoad     = flag.Float64("long-load", 0.5, "prefill of long requests, share of the engine's time")
	longDeadline = flag.Duration("long-deadline", 20*time.Minute, "deadline of long requests")
	stepTokens   = flag.Int("step-tokens", 8192, "token budget of one step of the engine")
)

// experiment configures an engine whose prefill cost grows with the position, and
// the matching rates.
var experiment = struct {
	engine emulator.Config
	rates  work.Rates
}{
	engine: emulator.Config{AttentionScale: 131_072, PrefillPerSec: 20_000, DecodePerSec: 60},
	rates:  work.Rates{AttentionScale: 131_072, PrefillPerSec: 20_000, DecodePerSec: 60},
}

// result holds the measurements of one run of one variant.
type result struct {
	short, long   []float64                // time to first token divided by the prefill time on an idle engine
	firstToken    map[string]time.Duration // time to first token of short requests
	tokenInterval []float64                // mean seconds between tokens of each short request
	refused       int                      // not run
	failed        int                      // admitted, but no complete answer in time
}

// generateArrivals returns requests by arrival time. Prompt lengths are
// log-uniformly distributed from shortest to longest tokens, and their prefill
// takes the given share of the engine's time.
func generateArrivals(random *rand.Rand, name string, shortest, longest int, share float64) map[time.Duration]submit.Request {
	all := make(map[time.Duration]submit.Request)
	if share == 0 {
		return all
	}
	ratio := math.Log(float64(longest) / float64(shortest))
	var at time.Duration
	for i := 0; ; i++ {
		tokens := int(float64(shortest) * math.Exp(random.Float64()*ratio))
		at += time.Duration(random.ExpFloat64() * float64(meanPrefill(shortest, longest)) / share)
		if at > *horizon {
			return all
		}
		all[at] = request(fmt.Sprint(name, i), tokens, 30, deadlineFor(tokens))
	}
}

// deadlineFor returns the time from arrival to deadline of a prompt of tokens.
func deadlineFor(tokens int) time.Duration {
	if tokens > submit.MediumTokens {
		return *longDeadline
	}
	return time.Minute
}

// meanPrefill returns the mean prefill time of log-uniformly distributed lengths.
func meanPrefill(shortest, longest int) time.Duration {
	const points = 1000
	var sum time.Duration
	for i := range points {
		at := (float64(i) + 0.5) / points
		tokens := int(float64(shortest) * math.Pow(float64(longest)/float64(shortest), at))
		sum += experiment.rates.Prefill(0, tokens)
	}
	return sum / points
}

// runVariant runs one workload against one agent.
func runVariant(t *testing.T, seed uint64, withLong bool, config endpoint.Config) result {
	r := result{firstToken: make(map[string]time.Duration)}
	synctest.Test(t, func(t *testing.T) {
		engineConfig := experiment.engine
		engineConfig.StepTokens = *stepTokens
		b := newTestbed(t, engineConfig, config)
		random := rand.New(rand.NewPCG(seed, 7))
		all := generateArrivals(random, "short", 1000, 8000, *shortLoad)
		if withLong {
			for at, q := range generateArrivals(random, "long", 64_000, 350_000, *longLoad) {
				all[at] = q
			}
		}
		var mu sync.Mutex
		var done sync.WaitGroup
		for at, q := range all {
			done.Go(func() {
				time.Sleep(at)
				first, between, err := measureAnswer(t, b.agent, q)
				ratio := first.Seconds() / experiment.rates.Prefill(0, q.Prompt.Tokens).Seconds()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil && outcome.StateOf(err) == outcome.NotRun:
					r.refused++
				case err != nil:
					r.failed++
				case q.Prompt.Tokens > submit.MediumTokens:
					r.long = append(r.long, ratio)
				default:
					r.short = append(r.short, ratio)
					r.firstToken[q.ID] = first
					r.tokenInterval = append(r.tokenInterval, between.Seconds())
				}
			})
		}
		done.Wait()
		b.close()
	})
	return r
}

// measureAnswer returns the time to the first token of an answer and the mean time
// between its tokens.
func measureAnswer(t *testing.T, agent *endpoint.Agent, q submit.Request) (first, between time.Duration, err error) {
	began := time.Now()
	answer, err := agent.Submit(t.Context(), q)
	if err != nil {
		return 0, 0, err
	}
	if _, err = answer.Next(t.Context()); err != nil {
		return 0, 0, err
	}
	first = time.Since(began)
	_, _, err = readAnswer(answer)
	return first, (time.Since(began) - first) / time.Duration(q.MaxTokens-1), err
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// quantiles formats p50, p95 and p99.
func quantiles(values []float64) string {
	return fmt.Sprintf("%7.3g %7.3g %7.3g", quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99))
}

// TestLongPrefillPolicies prints the experiment of docs/design/long-prefill.md
// and checks its conclusion: with chunks that let shorter prefills run in between,
// short requests have a lower latency than with engine priorities alone.
func TestLongPrefillPolicies(t *testing.T) {
	g := NewWithT(t)
	variants := []struct {
		name     string
		withLong bool
		config   endpoint.Config
	}{
		{"short requests alone", false, endpoint.Config{}},
		{"whole, priority only", true, endpoint.Config{ChunkTime: time.Hour, MaxLong: 16}},
		{"whole, one long at a time", true, endpoint.Config{ChunkTime: time.Hour, MaxLong: 1}},
		{"chunks of 200 ms", true, endpoint.Config{ChunkTime: 200 * time.Millisecond}},
		{"chunks of 100 ms", true, endpoint.Config{ChunkTime: 100 * time.Millisecond}},
		{"chunks of 50 ms", true, endpoint.Config{}},
		{"chunks of 50 ms, 1 long", true, endpoint.Config{MaxLong: 1}},
		{"chunks of 25 ms", true, endpoint.Config{ChunkTime: 25 * time.Millisecond}},
	}
	p95, failed := make(map[string]float64), make(map[string]int)
	alone := make([]result, *seeds)
	t.Logf("%-34s %s   %s   %s   %s", "", "short / idle prefill   ", "short / short alone    ", "long / idle prefill    ", "s between tokens, short")
	for _, v := range variants {
		var all result
		var paired []float64
		for seed := range *seeds {
			r := runVariant(t, uint64(seed+1), v.withLong, v.config)
			all.short = append(all.short, r.short...)
			all.long = append(all.long, r.long...)
			all.tokenInterval = append(all.tokenInterval, r.tokenInterval...)
			all.failed += r.failed
			all.refused += r.refused
			if !v.withLong {
				alone[seed] = r
			}
			for id, first := range r.firstToken {
				paired = append(paired, first.Seconds()/alone[seed].firstToken[id].Seconds())
			}
		}
		p95[v.name] = quantile(all.short, 0.95)
		failed[v.name] = all.failed
		t.Logf("%-34s %s   %s   %s   %s  (%d short, %d long, %d refused, %d failed)", v.name,
			quantiles(all.short), quantiles(paired), quantiles(all.long), quantiles(all.tokenInterval), len(all.short), len(all.long), all.refused, all.failed)
	}
	g.Expect(p95["chunks of 50 ms"]).To(BeNumerically("<", p95["whole, priority only"]/1.5))
	g.Expect(failed["chunks of 50 ms"]).To(BeZero(), "requests admitted, but without a complete answer in time")
}
