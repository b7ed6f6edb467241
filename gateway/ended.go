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
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/outcome"
)

var (
	endpointsEndedTotal = metrics.NewCounter("jacinthplank_gateway_endpoints_ended_under_requests_total")
	blamedTotal         = metrics.NewCounter("jacinthplank_gateway_keys_blamed_total")
	clearedTotal        = metrics.NewCounter("jacinthplank_gateway_keys_cleared_total")
	blameRefusedTotal   = metrics.NewCounter("jacinthplank_gateway_blamed_requests_refused_total")
)

// maxBlamedParts bounds the parts of a prompt that are kept.
const maxBlamedParts = 64

// blameKeys returns what the request has in common with others that may end endpoints.
func (f *inflightRequest) blameKeys() []blame.Key {
	caller := f.request.Key
	if f.account != nil {
		caller = f.account.Name
	}
	parts := f.request.PromptParts[:min(len(f.request.PromptParts), maxBlamedParts)]
	keys := make([]blame.Key, 0, 1+len(parts))
	keys = append(keys, blame.RequestKey(caller, f.r.Method, f.r.Host+f.r.URL.RequestURI(), f.body))
	for _, id := range parts {
		keys = append(keys, blame.PartKey(id))
	}
	return keys
}

// checkBlame returns an error if endpoints have ended under requests that have something
// in common with this one, as it would end another.
func (f *inflightRequest) checkBlame() *outcome.Error {
	now := time.Now()
	v, isBlamed := f.g.blame.Blamed(f.keys, now)
	if !isBlamed {
		return nil
	}
	blameRefusedTotal.Inc()
	e := outcome.Refuse(outcome.CodeEndsEndpoints, "gateway.blame", "%d endpoints ended under requests with %s; none is sent for the next %d s",
		v.Ends, v.Key, int(v.Until.Sub(now).Seconds())+1)
	e.RetryAfter = v.Until.Sub(now)
	return e
}

// writingTime is how long an endpoint has to write an answer to show that the request
// doesn't end it. One that it ends does so as it begins.
const writingTime = 500 * time.Millisecond

// recordWriting records an event of a stream. Many answers last for longer than the time
// in which endpoint after endpoint may end, so they clear before they are complete.
func (f *inflightRequest) recordWriting() {
	if f.writingSince.IsZero() {
		f.writingSince, f.hasSurvived = f.lastEventAt, false
	}
	if !f.hasSurvived && f.lastEventAt.Sub(f.writingSince) > writingTime {
		f.hasSurvived = true
		f.recordSurvival()
	}
}

// checkEnd finds out whether the process of an endpoint ended under this request, after
// an attempt that was sent at sentAt and broke off.
func (f *inflightRequest) checkEnd(h announce.Record, run announce.Run, sentAt time.Time, e *outcome.Error) {
	now := time.Now()
	if len(f.keys) == 0 || !isConnectionBroken(e) || f.g.mesh.IsLeaving(run.ID) {
		return
	}
	if !f.writingSince.IsZero() && now.Sub(f.writingSince) > writingTime {
		return
	}
	events, keys, request := f.eventCount, f.keys, f.request.ID
	go func() {
		isListening, err := f.g.client.IsListening(context.Background(), h.Address)
		if isListening {
			return // it only broke off this response
		}
		endpointsEndedTotal.Inc()
		f.g.placer.reportEnd(f.g.blame.RecordEnd(run, keys, sentAt, now, time.Now()))
		if f.g.logs.AllowRequestLine(time.Now()) {
			f.g.log.Info("endpoint ended under a request", "step", "gateway.ended", "request", request, "endpoint", run.ID,
				"born", run.StartedAtMs, "events", events, "keys", formatKeys(keys), "error", errorText(err))
		}
	}()
}

// isConnectionBroken reports whether the endpoint, or its machine's kernel, closed the
// connection. A connection that only went silent is no sign of an end.
func isConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordSurvival records that this request was answered, which clears what it has in
// common with others.
func (f *inflightRequest) recordSurvival() {
	if cleared := f.g.blame.RecordSurvival(f.keys, time.Now()); len(cleared) > 0 {
		f.g.placer.reportSurvival(cleared)
	}
}

// maxLoggedKeys bounds the keys in a log line.
const maxLoggedKeys = 8

func formatKeys(keys []blame.Key) string {
	var b strings.Builder
	for i, k := range keys[:min(len(keys), maxLoggedKeys)] {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(string(k))
	}
	return b.String()
}

// logVerdict logs a change of what is believed of a key.
func (g *Gateway) logVerdict(v blame.Verdict, isBlamed bool) {
	if isBlamed {
		blamedTotal.Inc()
		g.log.Warn("requests are blamed for the ends of endpoints", "step", "gateway.blame", "key", string(v.Key), "ends", v.Ends,
			"last_end_ms", time.Since(v.LastEnd).Milliseconds(), "left_ms", time.Until(v.Until).Milliseconds())
		return
	}
	clearedTotal.Inc()
	g.log.Info("requests are no longer blamed", "step", "gateway.blame", "key", string(v.Key), "ends", v.Ends)
}

// blameRequest is what an entry tells the coordinator of the ends of endpoints.
type blameRequest struct {
	Blame    blame.Report `json:"blame,omitzero"`
	Verdicts uint64       `json:"verdicts,omitempty"` // digest of those that the entry has
}

// reportEnd tells the coordinator of an end.
func (p *placer) reportEnd(r blame.Report) {
	p.queue(func(pending *reportRequest) {
		pending.Blame.Append(r)
	})
}

// reportSurvival tells the coordinator of an answer to a request with keys under which
// endpoints had ended.
func (p *placer) reportSurvival(keys []blame.Key) {
	report := blame.NewSurvivalReport(keys, time.Now())
	p.queue(func(pending *reportRequest) { pending.Blame.Append(report) })
}
