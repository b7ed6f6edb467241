package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/decision"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// brokenWriter is a caller that can't be written to, while its request's context is still open.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against callers that leave and so open the circuit breaker of an endpoint that did nothing wrong.
func TestCallerThatLeavesIsNoFailureOfTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	logs := decision.New(io.Discard)
	gateway := &Gateway{breakers: breaker.NewSet(), logs: logs, log: logs.Logger(slog.LevelInfo), events: timeline.NewLog("entry", 16, time.Now)}
	h := announce.Record{Endpoint: announce.Endpoint{ID: "e"}}
	for range 10 {
		f := &inflightRequest{
			g: gateway, w: brokenWriter{httptest.NewRecorder()}, r: httptest.NewRequest(http.MethodPost, "/", nil), ctx: context.Background(),
		}
		_, err := f.w.Write(nil)
		f.recordFailure(h, f.callerError(err))
		g.Expect(f.canRetry(nil)).To(BeFalse())
	}
	g.Expect(gateway.breakers.State("e")).To(Equal(breaker.Closed))
}
