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

// experiment is one engine with an attention term, at rates known to the test.
var experiment = struct {
	engine emulator.Config
	rates  work.Rates
}{
	engine: emulator.Config{AttentionScale: 131_072, PrefillPerSec: 20_000, DecodePerSec: 60},
	rates:  work.Rates{AttentionScale: 131_072, PrefillPerSec: 20_000, DecodePerSec: 60},
}

// result is what one run of one variant gave.
type result struct {
	short, long []float64                // time to first token over the bare prefill time
	first       map[string]time.Duration // time to first token of short requests
	between     []float64                // seconds between tokens of short requests, mean of each
	refused     int                      // not run
	failed      int                      // admitted without an answer in time
}

// arrivals returns requests with lengths from shortest to longest tokens, evenly
// spread over the logarithm, that ask for a share of the engine's time.
func arrivals(random *rand.Rand, name string, shortest, longest int, share float64) map[time.Duration]submit.Request {
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
		all[at] = request(fmt.Sprint(name, i), tokens, 30, deadlineOf(tokens))
	}
}

// deadlineOf returns the time that a prompt of tokens is given.
func deadlineOf(tokens int) time.Duration {
	if tokens > submit.MediumTokens {
		return *longDeadline
	}
	return time.Minute
}

// meanPrefill returns the mean prefill time of lengths evenly spread over the
// logarithm.
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

// runVariant plays one workload to one agent.
func runVariant(t *testing.T, seed uint64, longs bool, config endpoint.Config) result {
	r := result{first: make(map[string]time.Duration)}
	synctest.Test(t, func(t *testing.T) {
		engineConfig := experiment.engine
		engineConfig.StepTokens = *stepTokens
		b := newBench(t, engineConfig, config)
		random := rand.New(rand.NewPCG(seed, 7))
		all := arrivals(random, "short", 1000, 8000, *shortLoad)
		if longs {
			for at, q := range arrivals(random, "long", 64_000, 350_000, *longLoad) {
				all[at] = q
			}
		}
		var mu sync.Mutex
		var done sync.WaitGroup
		for at, q := range all {
			done.Go(func() {
				time.Sleep(at)
				first, between, err := times(t, b.agent, q)
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
					r.first[q.ID] = first
					r.between = append(r.between, between.Seconds())
				}
			})
		}
		done.Wait()
		b.close()
	})
	return r
}

// times returns the time to the first token of an answer and the mean time between
// its tokens.
func times(t *testing.T, agent *endpoint.Agent, q submit.Request) (first, between time.Duration, err error) {
	began := time.Now()
	answer, err := agent.Submit(t.Context(), q)
	if err != nil {
		return 0, 0, err
	}
	if _, err = answer.Next(t.Context()); err != nil {
		return 0, 0, err
	}
	first = time.Since(began)
	_, _, err = read(answer)
	return first, (time.Since(began) - first) / time.Duration(q.MaxTokens-1), err
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// quantiles returns p50, p95 and p99 as text.
func quantiles(values []float64) string {
	return fmt.Sprintf("%7.3g %7.3g %7.3g", quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99))
}

// TestLongPrefillPolicies prints the experiment of docs/design/long-prefill.md
// and checks its conclusion: chunks with gaps keep short requests quicker than
// the engine's priorities alone.
func TestLongPrefillPolicies(t *testing.T) {
	g := NewWithT(t)
	variants := []struct {
		name   string
		longs  bool
		config endpoint.Config
	}{
		{"short requests alone", false, endpoint.Config{}},
		{"whole, priority only", true, endpoint.Config{ChunkTime: time.Hour, Long: 16}},
		{"whole, one long at a time", true, endpoint.Config{ChunkTime: time.Hour, Long: 1}},
		{"chunks of 200 ms", true, endpoint.Config{ChunkTime: 200 * time.Millisecond}},
		{"chunks of 100 ms", true, endpoint.Config{ChunkTime: 100 * time.Millisecond}},
		{"chunks of 50 ms", true, endpoint.Config{}},
		{"chunks of 50 ms, 1 long", true, endpoint.Config{Long: 1}},
		{"chunks of 25 ms", true, endpoint.Config{ChunkTime: 25 * time.Millisecond}},
	}
	p95, failed := make(map[string]float64), make(map[string]int)
	alone := make([]result, *seeds)
	t.Logf("%-34s %s   %s   %s   %s", "", "short over bare prefill", "over short ones alone  ", "long over bare prefill ", "s between tokens, short")
	for _, v := range variants {
		var all result
		var paired []float64
		for seed := range *seeds {
			r := runVariant(t, uint64(seed+1), v.longs, v.config)
			all.short = append(all.short, r.short...)
			all.long = append(all.long, r.long...)
			all.between = append(all.between, r.between...)
			all.failed += r.failed
			all.refused += r.refused
			if !v.longs {
				alone[seed] = r
			}
			for id, first := range r.first {
				paired = append(paired, first.Seconds()/alone[seed].first[id].Seconds())
			}
		}
		p95[v.name] = quantile(all.short, 0.95)
		failed[v.name] = all.failed
		t.Logf("%-34s %s   %s   %s   %s  (%d short, %d long, %d refused, %d failed)", v.name,
			quantiles(all.short), quantiles(paired), quantiles(all.long), quantiles(all.between), len(all.short), len(all.long), all.refused, all.failed)
	}
	g.Expect(p95["chunks of 50 ms"]).To(BeNumerically("<", p95["whole, priority only"]/1.5))
	g.Expect(failed["chunks of 50 ms"]).To(BeZero(), "admitted without an answer in time")
}
