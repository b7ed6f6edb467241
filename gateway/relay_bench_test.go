package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/decision"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/memory"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// plainDialect is a dialect whose responses belong to the request "r".
type plainDialect struct{ Dialect }

func (plainDialect) RequestIDs(http.Header) []string              { return []string{"r"} }
func (plainDialect) PromisesNotRun(int, http.Header) bool         { return false }
func (plainDialect) ResponseHeaders(from http.Header) http.Header { return from.Clone() }

// discardWriter is a caller that reads everything at once.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// newRelayRequest returns a request whose response can be relayed to w.
func newRelayRequest(g *Gateway, w http.ResponseWriter) *inflightRequest {
	return &inflightRequest{
		g: g, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), ctx: context.Background(), arrived: time.Now(),
		deadline: time.Now().Add(time.Minute), route: &route.Route{Kind: route.Stream}, table: &route.Table{},
	}
}

// newRelayGateway returns a gateway that can relay responses of the endpoints of dialect.
func newRelayGateway(d Dialect) *Gateway {
	logs := decision.New(io.Discard)
	budget := memory.NewBudget(0)
	return &Gateway{
		memory: budget, slow: newSlowCallers(budget, slog.New(slog.DiscardHandler)),
		dialect: d, logs: logs, log: logs.Logger(slog.LevelInfo), events: timeline.NewLog("entry", 16, time.Now),
		client: forward.NewClient(d), blame: blame.NewStore(), callerServer: newCallerServer(http.NotFoundHandler()),
	}
}

// BenchmarkRelayStream measures the cost of one event to a caller that reads promptly: without
// a connection to the caller, and over loopback.
func BenchmarkRelayStream(b *testing.B) {
	b.Run("discard", func(b *testing.B) {
		benchmarkRelay(b, func(relay func(w http.ResponseWriter)) { relay(discardWriter{http.Header{}}) })
	})
	b.Run("loopback", func(b *testing.B) {
		benchmarkRelay(b, func(relay func(w http.ResponseWriter)) {
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { relay(w) }))
			defer entry.Close()
			response, err := http.Get(entry.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				b.Error(err)
			}
		})
	})
}

func benchmarkRelay(b *testing.B, serve func(relay func(w http.ResponseWriter))) {
	event := []byte("data: " + string(bytes.Repeat([]byte("x"), 100)) + "\n\n")
	block := bytes.Repeat(event, 100)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for left := b.N; left > 0; left -= 100 {
			if _, err := w.Write(block[:min(left, 100)*len(event)]); err != nil {
				return
			}
		}
	}))
	defer endpoint.Close()
	g := newRelayGateway(plainDialect{})
	target := forward.Target{ID: "e", Address: endpoint.Listener.Addr().String()}
	serve(func(w http.ResponseWriter) {
		f := newRelayRequest(g, w)
		reply, err := g.client.Send(b.Context(), target, &forward.Call{RequestID: "r", Method: http.MethodGet, URI: "/", Host: "e"})
		if err != nil {
			b.Error(err)
			return
		}
		defer reply.Close()
		b.ReportAllocs()
		b.ResetTimer()
		if e := f.relay(reply); e != nil || f.eventCount != b.N {
			b.Errorf("%d events of %d were relayed, error %v", f.eventCount, b.N, e)
		}
		b.StopTimer()
	})
}
