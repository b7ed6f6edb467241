package gateway

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/spill"
)

// FuzzReport guards against what another entry tells of its requests that ends the entry that coordinates,
// or that this one can't pass on.
func FuzzReport(f *testing.F) {
	reports := reportRequest{
		Reports: []jobReport{{Job: "j", Started: true}, {Job: "j", End: schedule.Done}},
		Limits: []limitReport{
			{Endpoint: "e-near", Limited: true, PerSecond: 4, Age: time.Second, Cold: &coldReport{PerSecond: 2, Left: time.Second, Age: time.Second}},
			{Endpoint: "e-far", Wait: time.Second},
		},
		Charges:    map[string]int{"e-near": 2},
		linkReport: linkReport{Domain: "a", Links: map[string]spill.Sample{"b": {}}},
		callReport: callReport{Caller: "other", Calls: map[string]spill.CallReport{"e-near": {Running: 1, Calls: 2, TookMs: 9.5}, "e-far": {Failed: 1}}},
	}
	lists := adoptRequest{Owner: "other", Running: []schedule.PlacedJob{{Job: testJob("j")}}, Limits: reports.Limits, linkReport: reports.linkReport, callReport: reports.callReport}
	for _, message := range []any{reports, lists} {
		data, err := json.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"limits":[{"endpoint":"e-near","limited":true,"per_second":1e308,"age":-9223372036854775808,"wait":9223372036854775807,"cold":{"per_second":-1,"left":9223372036854775807,"age":-9223372036854775808}}],"charges":{"e-near":-9223372036854775808}}`))
	f.Add([]byte(`{"caller":"other","calls":{"e":{"running":9223372036854775807,"calls":-1,"failed":-1},"slow":{"calls":1,"took_ms":1e308}},"domain":"a","links":{"b":{"late":-1}}}`))
	f.Add([]byte(`{"domain":"a","links":{"a":{"n":9,"e":1000,"l":1000},"b":{"n":9,"e":-10000,"l":5}}}`))
	for _, job := range []string{`"prompt":9223372036854775807,"answer":9223372036854775807`, `"prompt":-1000000,"answer":1`} {
		f.Add([]byte(`{"owner":"other","running":[{"job":{"id":"odd","owner":"other","service":"s",` + job + `},"decision":{"endpoint":"e-near"}},{}]}`))
	}
	f.Add([]byte(`{"owner":"other","running":[{"job":{"id":"odd","owner":"other","service":"s"},"decision":{"endpoint":"e-near","helpers":[{"id":"e-far","tokens":1000000}]}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report reportRequest
		var lists adoptRequest
		if json.Unmarshal(data, &report) != nil || json.Unmarshal(data, &lists) != nil || len(report.Failing) > 0 {
			return // endpoints that are told to fail are called
		}
		p := newTestPlacer(&fakeCoordinator{})
		for range 2 {
			now := time.Now()
			p.limits.Merge(limitRecords(report.Limits, now), now)
			p.mergeLinks(&report.linkReport)
			p.mergeCalls(&report.callReport)
			for endpoint, calls := range report.Charges {
				p.limits.Charge(endpoint, calls, now)
			}
			for _, r := range report.Reports {
				if r.Started {
					p.markStarted(r.Job)
				} else {
					p.recordRemoteOutcome(r)
					p.markEnded(r.Job)
				}
			}
			p.reconcile(lists.Owner, lists.Running)
		}
		now := time.Now()
		answer, err := json.Marshal(adoptResponse{Limits: p.limitReports(), States: p.callStatesFor("")})
		if err != nil {
			t.Fatalf("what is known can't be told: %v", err)
		}
		var told adoptResponse
		if err := json.Unmarshal(answer, &told); err != nil {
			t.Fatal(err)
		}
		for endpoint, s := range p.callStatesFor("") {
			if s.Running < 0 || !(s.Calls >= 0) || !(s.MeanMs >= 0) || math.IsInf(s.MeanMs, 0) {
				t.Errorf("calls to %q: %+v", endpoint, s)
			}
		}
		for _, c := range p.links.Estimates(now) {
			if !(c.Late >= 0 && c.Late <= 1) {
				t.Errorf("links %+v", c)
			}
		}
		for _, r := range p.limits.Records() {
			longest := ratelimit.WaitFor(math.MaxFloat64)
			if !(r.PerSecond >= 0) || r.WaitUntil.Sub(now) > longest+time.Second || r.At.After(now) {
				t.Errorf("limit %+v", r)
			}
		}
		// What others tell takes memory of an engine, and adds none.
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range lists.Running {
			for _, placed := range p.schedulers["s"].PlacedJobs(r.Job.Owner, now) {
				tokens := placed.Job.Prompt + placed.Job.Answer
				for _, h := range placed.Decision.Helpers {
					tokens -= h.Tokens
				}
				if tokens < 0 || tokens > 2*math.MaxInt32 {
					t.Errorf("%q takes %d tokens", placed.Job.ID, tokens)
				}
			}
		}
		j := testJob("mine")
		j.Prompt = 200_000
		if d := p.schedulers["s"].Submit(j, now); len(d) != 1 || !d[0].Refused() {
			t.Errorf("%d tokens on an engine for 100000: %+v", j.Prompt, d)
		}
	})
}
