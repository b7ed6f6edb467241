package experiment

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Options are the parameters of one run.
type Options struct {
	Deployment Deployment
	Load       float64 // offered load relative to the capacity of the fleet
	Length     time.Duration
	Seed       uint64
	Policy     string
	Faults     []Fault
	LoadLag    time.Duration   // age of the load reports that endpoints announce
	Endpoint   endpoint.Config // settings of the agents; Run sets the name, engine and log
	Progress   func(done, all int)
}

// deadlineGrace is how long after the deadline an outcome still counts as in time.
const deadlineGrace = 100 * time.Millisecond

// Result is the outcome of one arrival.
type Result struct {
	Arrival
	FirstToken time.Duration // time to the first token; 0 if none arrived
	Total      time.Duration // time to the outcome
	Code       outcome.Code  // empty for a complete answer
	State      outcome.State
	Corrupted  bool // reported as complete, but truncated, out of order or mixed with another answer
	Attempts   uint32
}

// Late reports whether the outcome came after the deadline.
func (r *Result) Late() bool { return r.Total > r.Request.Remaining+deadlineGrace }

// Run sends the workload to a deployment and returns a report of the outcomes. All
// waits use package time, so it runs in virtual time under testing/synctest.
func Run(ctx context.Context, o Options) *Report {
	arrivals := o.Deployment.Generate(o.Seed, o.Load, o.Length)
	b := newTestBench(o, o.Policy, o.Seed)
	defer b.close()
	wait(ctx, warmUp)
	results := make([]Result, len(arrivals))
	var done, faults sync.WaitGroup
	for _, f := range o.Faults {
		faults.Go(func() { b.inject(ctx, f) })
	}
	start := time.Now()
	for i := range arrivals {
		wait(ctx, arrivals[i].At-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		if o.Progress != nil {
			o.Progress(i, len(arrivals))
		}
		done.Go(func() { results[i] = b.serve(ctx, arrivals[i]) })
	}
	done.Wait()
	faults.Wait()
	wait(ctx, settleTime)
	report := newReport(o, results)
	report.LeakedBlocks = b.leakedBlocks()
	return report
}

// warmUp is the time before the first arrival, in which agents connect to their
// engines and are announced.
const warmUp = 2 * time.Second

// serve submits one arrival to its entry and reads the answer to its end.
func (b *testBench) serve(ctx context.Context, a Arrival) Result {
	r := Result{Arrival: a}
	start := time.Now()
	stream, err := b.entries[a.Entry%len(b.entries)].router.Submit(ctx, a.Request)
	if err != nil {
		r.recordFailure(start, err)
		return r
	}
	defer stream.Close()
	r.readAnswer(ctx, stream, start)
	return r
}

// readAnswer reads an answer to its end and checks that it is complete and in
// order.
func (r *Result) readAnswer(ctx context.Context, stream submit.Answer, start time.Time) {
	tokens := 0
	finished := false
	for {
		frame, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			r.Total = time.Since(start)
			r.Corrupted = r.Corrupted || !finished || tokens != r.Request.MaxTokens
			return
		}
		if err != nil {
			r.recordFailure(start, err)
			return
		}
		if frame.Request != r.Request.ID || frame.Offset != tokens || finished {
			r.Corrupted = true
		}
		if tokens == 0 && frame.Tokens > 0 {
			r.FirstToken = time.Since(start)
		}
		tokens += frame.Tokens
		finished = frame.Finish != ""
		r.Attempts = frame.Attempt
	}
}

func (r *Result) recordFailure(start time.Time, err error) {
	failure := outcome.From(err)
	r.Total = time.Since(start)
	r.Code = failure.Code
	r.State = failure.State
	r.Corrupted = false
}
