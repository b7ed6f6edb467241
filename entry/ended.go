package entry

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

var blamedRequests = metrics.NewCounter("jacinthplank_entry_blamed_requests_refused_total")

// blameKeys returns what a request has in common with others that may end engines: itself,
// and the starts of its prompt of 1, 2, 4 and so on blocks.
func blameKeys(r *submit.Request) []blame.Key {
	if r.Prompt.Text == "" {
		return nil
	}
	keys := []blame.Key{blame.RequestKey(r.Account, r.Adapter, r.Model, []byte(r.Prompt.Text))}
	for n := 1; n < len(r.Prompt.Blocks); n *= 2 {
		keys = append(keys, blame.PartKey(r.Model+"/"+strconv.FormatUint(uint64(r.Prompt.Blocks[n-1]), 16)))
	}
	return keys
}

// checkBlame returns an error if endpoints have failed under requests that have something
// in common with this one.
func (f *inflightRequest) checkBlame() error {
	now := time.Now()
	v, isBlamed := f.router.blame.Blamed(f.keys, now)
	if !isBlamed {
		return nil
	}
	blamedRequests.Inc()
	err := outcome.Refuse(outcome.CodeEndsEndpoints, stepPlace, "%d endpoints failed under requests with %s; none is sent for the next %d s",
		v.Ends, v.Key, int(v.Until.Sub(now).Seconds())+1)
	err.RetryAfter = v.Until.Sub(now)
	return &permanentError{err}
}

// recordEnd records that an attempt failed in a way in which the end of the engine, or of
// the process beside it, shows.
func (f *inflightRequest) recordEnd(a *attempt, err *outcome.Error, now time.Time) {
	switch err.Code {
	case outcome.CodeEngineFailed, outcome.CodeTransport, outcome.CodeTruncated:
		f.router.blame.RecordEnd(engineRun(a.member.Name, now), f.keys, a.sent, now, now)
	}
}

// engineRestart is the shortest time between two ends of an engine.
const engineRestart = time.Second

// engineRun names the run of an engine that ends now. Engines start again without word to
// entries, so that requests which fail within engineRestart are taken for cut by one end.
func engineRun(endpoint string, now time.Time) announce.Run {
	return announce.Run{ID: endpoint, StartedAtMs: now.Truncate(engineRestart).UnixMilli()}
}

// recordVerdict adds a change of what is believed of a key to the time line.
func (r *Router) recordVerdict(v blame.Verdict, isBlamed bool) {
	result := "cleared"
	if isBlamed {
		result = "blamed"
	}
	r.recorder.Record(timeline.Event{
		Kind: timeline.KindBreaker, Step: "entry.blame", Outcome: result,
		Detail: strconv.Itoa(v.Ends) + " endpoints failed under requests with " + string(v.Key),
	})
}
