package explain_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/explain"
	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/internal/source"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func micros(ms int) int64 { return noon.Add(time.Duration(ms) * time.Millisecond).UnixMicro() }

// at stamps an event of a daemon ms milliseconds after noon.
func at(daemon string, ms int, e timeline.Event) timeline.Event {
	e.WallMicros, e.Daemon, e.Request = micros(ms), daemon, "r-1"
	if daemon == "entry-1" {
		e.Step = "entry"
	} else {
		e.Endpoint = daemon
	}
	return e
}

func received(tokens int, remaining time.Duration) timeline.Event {
	return at("entry-1", 0, timeline.Event{Kind: timeline.KindReceived, Account: "council", Tokens: tokens, Remaining: remaining})
}

// apiEnd returns the end of a request as the HTTP interface of the entry records
// it.
func apiEnd(ms int, e timeline.Event) timeline.Event {
	e = at("entry-1", ms, e)
	e.Step = "entry.api"
	return e
}

func placed(ms int, attempt uint32, endpoint string) timeline.Event {
	return at("entry-1", ms, timeline.Event{Kind: timeline.KindPlaced, Attempt: attempt, Endpoint: endpoint})
}

func line(events ...timeline.Event) timeline.Timeline {
	since := noon.Add(-time.Hour)
	return timeline.Merge([]timeline.Part{
		{Daemon: "entry-1", Events: events, Since: since},
		{Daemon: "draft-03", Since: since},
		{Daemon: "draft-04", Since: since},
	})
}

func longPausedRequest() timeline.Timeline {
	return line(
		received(240_000, 2*time.Hour),
		placed(1, 1, "draft-03"),
		at("draft-03", 2, timeline.Event{Kind: timeline.KindAdmitted, Attempt: 1, Detail: "behind 2 long requests"}),
		at("draft-03", 63_500, timeline.Event{Kind: timeline.KindStarted, Attempt: 1}),
		at("draft-03", 70_000, timeline.Event{Kind: timeline.KindPaused, Attempt: 1}),
		at("draft-03", 70_400, timeline.Event{Kind: timeline.KindStarted, Attempt: 1}),
		at("draft-03", 80_000, timeline.Event{Kind: timeline.KindPaused, Attempt: 1}),
		at("draft-03", 80_600, timeline.Event{Kind: timeline.KindStarted, Attempt: 1}),
		at("draft-03", 102_000, timeline.Event{Kind: timeline.KindFirstToken, Attempt: 1}),
		at("draft-03", 180_000, timeline.Event{Kind: timeline.KindFinished, Attempt: 1, Tokens: 4100, Outcome: "stop"}),
		at("entry-1", 180_001, timeline.Event{Kind: timeline.KindFinished, Attempt: 1, Endpoint: "draft-03"}),
	)
}

func retriedRequest() timeline.Timeline {
	return line(
		received(1200, time.Minute),
		placed(1, 1, "draft-03"),
		at("draft-03", 2, timeline.Event{Kind: timeline.KindRefused, Attempt: 1, Outcome: "endpoint_leaving", State: outcome.NotRun}),
		at("entry-1", 9, timeline.Event{Kind: timeline.KindRetried, Attempt: 1, Outcome: "endpoint_leaving"}),
		placed(10, 2, "draft-04"),
		at("draft-04", 11, timeline.Event{Kind: timeline.KindAdmitted, Attempt: 2}),
		at("draft-04", 12, timeline.Event{Kind: timeline.KindStarted, Attempt: 2}),
		at("draft-04", 400, timeline.Event{Kind: timeline.KindFailed, Attempt: 2, Outcome: "engine_failed", State: outcome.Ran, Detail: "engine answered 500"}),
		at("entry-1", 401, timeline.Event{Kind: timeline.KindFailed, Attempt: 2, Outcome: "engine_failed"}),
		apiEnd(402, timeline.Event{Kind: timeline.KindFailed, Outcome: "engine_failed", State: outcome.Ran}),
		at("draft-04", 403, timeline.Event{Kind: timeline.KindCanceled, Attempt: 2, Outcome: "canceled"}),
	)
}

func nonIdempotentCall() timeline.Timeline {
	return line(
		at("entry-1", 0, timeline.Event{Kind: timeline.KindReceived, Account: "council", Remaining: 30 * time.Second}),
		at("entry-1", 3, timeline.Event{Kind: timeline.KindClaimed}),
		placed(4, 0, "registry-2"),
		at("entry-1", 5_004, timeline.Event{Kind: timeline.KindFailed, Endpoint: "registry-2", Outcome: "transport"}),
		at("entry-1", 5_009, timeline.Event{Kind: timeline.KindRecorded, Outcome: "unknown"}),
		at("entry-1", 5_010, timeline.Event{Kind: timeline.KindFailed, Outcome: "outcome_unknown", Detail: "registry-2 did not answer"}),
	)
}

func refusedRequest() timeline.Timeline {
	return line(
		received(9000, time.Minute),
		at("entry-1", 1, timeline.Event{Kind: timeline.KindRefused, Outcome: "account_limit", State: outcome.NotRun, Detail: "come back in 12s"}),
	)
}

func refusedBeforeAcceptance() timeline.Timeline {
	return line(apiEnd(0, timeline.Event{
		Kind: timeline.KindRefused, Account: "council", Outcome: "model_not_found", State: outcome.NotRun, Detail: "no model is called draftx",
	}))
}

// The entry cancels its stream after the complete answer was sent.
func canceledAfterFinish() timeline.Timeline {
	return line(
		received(7, time.Minute),
		placed(1, 1, "draft-03"),
		at("draft-03", 2, timeline.Event{Kind: timeline.KindFirstToken, Attempt: 1}),
		apiEnd(30, timeline.Event{Kind: timeline.KindFinished, Outcome: "length"}),
		at("entry-1", 31, timeline.Event{Kind: timeline.KindCanceled, Attempt: 1, Outcome: "canceled"}),
	)
}

// A repeated call that already ran gets the recorded answer.
func repeatedCall() timeline.Timeline {
	return line(
		apiEnd(0, timeline.Event{Kind: timeline.KindReceived, Account: "council", Detail: "POST /receipts of registry"}),
		at("entry-1", 3, timeline.Event{Kind: timeline.KindRecorded}),
		apiEnd(4, timeline.Event{Kind: timeline.KindFinished, Outcome: "Created"}),
	)
}

func incompleteEvents() timeline.Timeline {
	return timeline.Merge([]timeline.Part{
		{Daemon: "entry-1", Events: []timeline.Event{received(1200, time.Minute), placed(1, 1, "draft-03")}, Since: noon.Add(-time.Hour)},
		{Daemon: "draft-03", Err: errors.New("connection refused")},
		{Daemon: "draft-04", Lost: 7, Since: noon.Add(time.Minute)},
		{Daemon: "draft-05", Since: noon.Add(time.Second)},
	})
}

func beginningOverwritten() timeline.Timeline {
	return timeline.Merge([]timeline.Part{
		{Daemon: "entry-1", Lost: 90_000, Since: noon.Add(time.Second)},
		{Daemon: "draft-03", Since: noon.Add(-time.Hour), Events: []timeline.Event{
			at("draft-03", 2, timeline.Event{Kind: timeline.KindAdmitted, Attempt: 1}),
			at("draft-03", 12, timeline.Event{Kind: timeline.KindStarted, Attempt: 1}),
		}},
	})
}

func TestSentences(t *testing.T) {
	cases := map[string]timeline.Timeline{
		"long":           longPausedRequest(),
		"retried":        retriedRequest(),
		"once":           nonIdempotentCall(),
		"refused":        refusedRequest(),
		"resend":         repeatedCall(),
		"at-once":        refusedBeforeAcceptance(),
		"given-up-after": canceledAfterFinish(),
		"partly-known":   incompleteEvents(),
		"beginning-gone": beginningOverwritten(),
		"nothing":        line(),
		"no-daemon":      timeline.Merge([]timeline.Part{{Daemon: "entry-1", Err: errors.New("refused")}}),
	}
	for name, line := range cases {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			NewWithT(t).Expect(explain.Write(&text, line, "r-1")).To(Succeed())
			golden.Expect(t, name+".txt", text.String())
		})
	}
}

func TestEventsCutByLimitAreNamed(t *testing.T) {
	g := NewWithT(t)
	cut := timeline.Merge([]timeline.Part{{
		Daemon: "entry-1", Cut: 5, Since: noon.Add(-time.Hour),
		Events: []timeline.Event{received(1200, time.Minute)},
	}})
	sentences := explain.Sentences(cut, "r-1")
	g.Expect(sentences).To(ContainElement(HavePrefix("Daemon entry-1 left out 5 events from before")))
	g.Expect(sentences).NotTo(ContainElement(ContainSubstring("keeps no events")))
}

// Every code of package outcome has a plain-language meaning.
func TestEveryOutcomeCodeHasMeaning(t *testing.T) {
	g := NewWithT(t)
	for _, code := range source.OutcomeCodes(t) {
		g.Expect(explain.Meaning(code)).NotTo(Equal(code))
	}
}

// A request that was passed to an engine must never be reported as not run.
func TestStartedRequestIsNeverReportedNotRun(t *testing.T) {
	g := NewWithT(t)
	events := []timeline.Event{
		received(1200, time.Minute),
		placed(1, 1, "draft-03"),
		at("draft-03", 2, timeline.Event{Kind: timeline.KindStarted, Attempt: 1}),
		at("entry-1", 9, timeline.Event{Kind: timeline.KindRetried, Attempt: 1, Outcome: "transport"}),
		at("entry-1", 10, timeline.Event{Kind: timeline.KindRefused, Outcome: "no_endpoint", State: outcome.NotRun}),
	}
	sentences := explain.Sentences(line(events...), "r-1")
	g.Expect(sentences).To(ContainElement("Its work was begun; how far it got is not known."))
	g.Expect(sentences).NotTo(ContainElement(ContainSubstring("not run, and")))
}
