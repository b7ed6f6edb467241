package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// fail ends the request without a whole answer.
func (f *flight) fail(e *outcome.Error) {
	if f.r.Context().Err() != nil {
		f.note("caller_left", e)
		panic(http.ErrAbortHandler)
	}
	if f.headSent {
		brokenTotal.Inc()
		f.note("broken", e)
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	}
	if f.ran && e.State == outcome.NotRun {
		e = &outcome.Error{Code: e.Code, State: outcome.Unknown, Message: e.Message, Step: e.Step, Peer: e.Peer, Cause: e.Cause}
	}
	f.answerFailure(e)
	if e.State == outcome.NotRun {
		refusedTotal.Inc()
		f.note("refused", e)
		return
	}
	failedTotal.Inc()
	f.note("failed", e)
}

// answerFailure writes an answer of the gateway's own.
func (f *flight) answerFailure(e *outcome.Error) {
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Code, "message": e.Message, "not_run": e.State == outcome.NotRun,
	}})
	if err != nil {
		body = nil // strings and a bool always encode
	}
	status := statusOf(e)
	comeBack := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		comeBack = max(e.RetryAfter, comeBackLeast)
	}
	h := f.w.Header()
	f.g.dialect.SetErrorHeaders(h, f.request.ID, comeBack)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.w.WriteHeader(status)
	if _, err := f.w.Write(body); err != nil {
		f.g.log.Debug("caller left before its answer", "request", f.request.ID, "error", err.Error())
	}
}

// log writes one failed attempt.
func (f *flight) log(endpoint string, e *outcome.Error) {
	f.record(timeline.KindRetried, endpoint, e)
	if !f.g.lines.AllowRequestLine(time.Now()) {
		return
	}
	f.g.log.Info("attempt", "request", f.request.ID, "step", e.Step, "endpoint", endpoint, "code", string(e.Code),
		"state", e.State.String(), "cause", text(e.Cause), "sends", f.sends, "events", f.events,
		"elapsed_ms", time.Since(f.arrived).Milliseconds())
}

// endKinds are the kinds of events by the end of a request.
var endKinds = map[string]timeline.Kind{
	"answered": timeline.KindFinished, "refused": timeline.KindRefused, "failed": timeline.KindFailed,
	"broken": timeline.KindFailed, "caller_left": timeline.KindCanceled,
}

// record keeps the end of a request, or of an attempt, for operators.
func (f *flight) record(kind timeline.Kind, endpoint string, e *outcome.Error) {
	event := timeline.Event{
		Kind: kind, Request: f.request.ID, Attempt: uint32(f.sends), Endpoint: endpoint, Step: "gateway.end",
		Tokens: f.request.PromptTokens,
	}
	if f.account != nil {
		event.Account = f.account.Name
	}
	if e != nil {
		event.Step, event.Peer, event.Outcome, event.Detail, event.State = e.Step, e.Peer, string(e.Code), e.Message, e.State
	}
	f.g.events.Record(event)
}

// note writes the end of a request.
func (f *flight) note(end string, e *outcome.Error) {
	f.record(endKinds[end], f.endpoint, e)
	if !f.g.lines.AllowRequestLine(time.Now()) {
		return
	}
	attributes := []any{
		"request", f.request.ID, "step", "gateway.end", "outcome", end, "service", f.service, "endpoint", f.endpoint,
		"prompt", f.request.PromptTokens, "answer", f.request.MaxAnswerTokens, "hint", f.request.ExpectedAnswerTokens, "helpers", helperIDs(f.placed.Helpers), "expected_ms", f.placed.Expected.Milliseconds(),
		"first_ms", f.first.Milliseconds(), "total_ms", time.Since(f.arrived).Milliseconds(), "sends", f.sends, "events", f.events,
		"pause_ms", f.pause.Milliseconds(), "waited_ms", f.waited.Milliseconds(),
	}
	if f.attempts > 0 {
		// What the placement saw.
		attributes = append(attributes, "engines", f.placed.Endpoints, "engines_with_room", f.placed.EnginesWithCapacity,
			"busy", f.placed.Utilization, "score", f.placed.Score, "waiting", f.placed.QueueLength, "come_back_ms", f.placed.RetryAfter.Milliseconds())
	}
	if f.table != nil {
		attributes = append(attributes, "configuration", f.table.Version)
	}
	if f.route != nil {
		attributes = append(attributes, "route", f.route.Name)
	}
	if e != nil {
		attributes = append(attributes, "code", string(e.Code), "state", e.State.String(), "at", e.Step, "reason", e.Message, "cause", text(e.Cause))
	}
	f.g.log.Info("request", attributes...)
}

func helperIDs(helpers []schedule.Helper) []string {
	out := make([]string, 0, len(helpers))
	for _, h := range helpers {
		out = append(out, h.ID)
	}
	return out
}
