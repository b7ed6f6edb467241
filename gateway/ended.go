package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/outcome"
)

var endpointsEndedTotal = metrics.NewCounter("jacinthplank_gateway_endpoints_ended_under_requests_total")

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// checkEnd finds out whether the process of an endpoint ended under this request, after
// an attempt that broke off.
func (f *inflightRequest) checkEnd(h announce.Record, run announce.Run, e *outcome.Error) {
	if !isConnectionBroken(e) || f.g.mesh.IsLeaving(run.ID) {
		return
	}
	events, parts := f.eventCount, f.request.PromptParts[:min(len(f.request.PromptParts), maxLoggedParts)]
	go func() {
		isListening, err := f.g.client.IsListening(context.Background(), h.Address)
		if isListening {
			return // it only broke off this response
		}
		endpointsEndedTotal.Inc()
		if !f.g.logs.AllowRequestLine(time.Now()) {
			return
		}
		f.g.log.Info("endpoint ended under a request", "step", "gateway.ended", "request", f.request.ID, "endpoint", run.ID,
			"born", run.StartedAtMs, "events", events, "parts", strings.Join(parts, ","), "error", errorText(err))
	}()
}

// isConnectionBroken reports whether the endpoint, or its machine's kernel, closed the
// connection. A connection that only went silent is no sign of an end.
func isConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
