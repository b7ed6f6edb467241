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

// instant is an engine that answers at once with one token.
type instant struct{}

func (instant) Describe(context.Context) (engine.Description, error) {
	return engine.Description{
		Models: []string{"drafts-v2"}, MemoryBlocks: 1 << 20, MemoryTokens: 128,
		MaxPrompt: 1 << 20, PrefillPerSec: 1e6, DecodePerSec: 1e6,
	}, nil
}

func (instant) Generate(context.Context, engine.Work) (engine.Stream, error) {
	return &instantStream{}, nil
}
func (instant) Cancel(context.Context, engine.Key) error           { return nil }
func (instant) Load(context.Context) (engine.Load, error)          { return engine.Load{}, nil }
func (instant) Holdings(context.Context) ([]engine.Holding, error) { return nil, nil }
func (instant) Export(context.Context, engine.Key) (string, error) { return "", nil }
func (instant) Import(context.Context, engine.Key, string) error   { return nil }
func (instant) Order(context.Context, engine.Order) error          { return nil }
func (instant) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
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
	s.engine = instant{}
	connections := &http.Transport{MaxIdleConnsPerHost: 256}
	return newTestFleet(b, s), &http.Client{Transport: connections}
}

// BenchmarkAddedLatency measures the whole path with an engine that answers at
// once: caller over loopback, entry, endpoint process and back.
func BenchmarkAddedLatency(b *testing.B) {
	f, client := newInstantFleet(b)
	var took []time.Duration
	for b.Loop() {
		start := time.Now()
		ask(f, client)
		took = append(took, time.Since(start))
	}
	if len(took) < 2 {
		return
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkThroughput measures requests a second over all cores, callers
// included.
func BenchmarkThroughput(b *testing.B) {
	f, client := newInstantFleet(b)
	b.SetParallelism(8)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			ask(f, client)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func ask(f *testFleet, client *http.Client) {
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
