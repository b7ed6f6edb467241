package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/spill"
)

// fakeCoordinator is a coordinator with configurable failures.
type fakeCoordinator struct {
	mu           sync.Mutex
	failing      bool
	redirect     string // address named as the coordinator
	unresponsive bool   // placement calls block until canceled
	frozen       bool   // all calls block until canceled
	queueing     time.Duration
	placeCalls   int
	adopted      [][]schedule.PlacedJob
	reports      []jobReport

	limits         []limitReport // known to the coordinator
	reportedLimits []limitReport
	charges        map[string]int
	permitCalls    int
	granted        int // requests granted for each permit
	permitWait     time.Duration

	links map[string]spill.Sample // reported, by domain of the endpoints

	judge *blame.Store // nil if the ends of endpoints are of no interest
	told  []blame.Report
}

func (f *fakeCoordinator) place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	f.mu.Lock()
	if f.redirect != "" && f.redirect != address {
		defer f.mu.Unlock()
		return schedule.Decision{}, &redirectError{Denial: mesh.Denial{Leader: f.redirect}}
	}
	f.placeCalls++
	failing, unresponsive, queueing := f.failing, f.unresponsive || f.frozen, f.queueing
	f.mu.Unlock()
	time.Sleep(queueing)
	if unresponsive {
		<-ctx.Done()
		return schedule.Decision{}, ctx.Err()
	}
	if failing {
		return schedule.Decision{}, errors.New("gone")
	}
	return schedule.Decision{Job: j.ID, Endpoint: "e-far", Address: "9:9"}, nil
}

func (f *fakeCoordinator) adopt(_ context.Context, _ string, r *adoptRequest) (*adoptResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return nil, errors.New("gone")
	}
	f.adopted = append(f.adopted, r.Running)
	return &adoptResponse{Limits: f.limits, Verdicts: f.judgeEnds(&r.blameRequest)}, nil
}

func (f *fakeCoordinator) permit(context.Context, string, *permitRequest) (*permitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permitCalls++
	if f.failing {
		return nil, errors.New("gone")
	}
	return &permitResponse{Granted: f.granted, Wait: f.permitWait}, nil
}

func (f *fakeCoordinator) report(ctx context.Context, _ string, r *reportRequest) (*reportResponse, error) {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r.Reports...)
	f.reportedLimits = append(f.reportedLimits, r.Limits...)
	for endpoint, calls := range r.Charges {
		f.charges[endpoint] += calls
	}
	f.mergeLinks(&r.linkReport)
	return &reportResponse{Verdicts: f.judgeEnds(&r.blameRequest)}, nil
}

func (f *fakeCoordinator) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeCoordinator) endedJobs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.reports {
		if !r.Started {
			out = append(out, r.Job)
		}
	}
	return out
}

func newTestPlacer(f coordinatorClient) *placer {
	p := newPlacer("me", breaker.NewSet(), ratelimit.NewTable(), blame.NewStore(), f, slog.New(slog.DiscardHandler))
	p.configure(&route.Table{Services: []route.Service{{Name: "s", Engine: &schedule.EngineProfile{
		Slots: 4, MemoryTokens: 100_000, StepsPerPass: 10, Step: time.Millisecond, PrefillPerSecond: 100_000, ChunkTokens: 1000,
	}}}})
	p.setEndpoints(func(string) []announce.Record {
		return []announce.Record{{Endpoint: announce.Endpoint{ID: "e-near", Address: "1:1"}}}
	}, time.Now())
	return p
}

func testJob(id string) schedule.Job {
	return schedule.Job{ID: id, Service: "s", Prompt: 1000, Answer: 10, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 5 * time.Second}
}
