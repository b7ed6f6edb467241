package sessions_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/engine"
)

const oneToken = `{"model":"drafts","max_tokens":1,"prompt":"Dear committee,"}`

// instantEngine is an engine that responds immediately with one token.
type instantEngine struct{}

func (instantEngine) Describe(context.Context) (engine.Description, error) {
	return engine.Description{
		Models: []string{"drafts-v2"}, MemoryBlocks: 1 << 20, MemoryTokens: 128,
		MaxPrompt: 1 << 20, PrefillPerSec: 1e6, DecodePerSec: 1e6,
	}, nil
}

func (instantEngine) Generate(context.Context, engine.Work) (engine.Stream, error) {
	return &instantStream{}, nil
}
func (instantEngine) Cancel(context.Context, engine.Key) error           { return nil }
func (instantEngine) Load(context.Context) (engine.Load, error)          { return engine.Load{}, nil }
func (instantEngine) Holdings(context.Context) ([]engine.Holding, error) { return nil, nil }
func (instantEngine) Export(context.Context, engine.Key) (string, error) { return "", nil }
func (instantEngine) Import(context.Context, engine.Key, string) error   { return nil }
func (instantEngine) Order(context.Context, engine.Order) error          { return nil }
func (instantEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

type instantStream struct{ done bool }

func (s *instantStream) Next(context.Context) (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	s.done = true
	return engine.Chunk{Text: "word ", Tokens: 1, Finish: engine.FinishLength}, nil
}
func (s *instantStream) Close() error { return nil }

func newInstantFleet(b *testing.B) (*testFleet, *http.Client) {
	s := baseSession(NewWithT(b))
	s.engine = instantEngine{}
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return newTestFleet(b, s), &http.Client{Transport: transport}
}

// BenchmarkAddedLatency measures the round trip with an engine that responds
// immediately: caller over loopback, entry, endpoint process and back.
func BenchmarkAddedLatency(b *testing.B) {
	f, client := newInstantFleet(b)
	var latencies []time.Duration
	for b.Loop() {
		start := time.Now()
		sendCompletion(f, client)
		latencies = append(latencies, time.Since(start))
	}
	if len(latencies) < 2 {
		return
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

// BenchmarkThroughput measures requests per second on all cores, including the
// callers' share of the CPU.
func BenchmarkThroughput(b *testing.B) {
	f, client := newInstantFleet(b)
	b.SetParallelism(8)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			sendCompletion(f, client)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func sendCompletion(f *testFleet, client *http.Client) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entry+"/v1/completions", bytes.NewReader([]byte(oneToken)))
	f.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer key-council")
	response, err := client.Do(request)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(body))
}
