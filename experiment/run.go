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

// Options are what one run needs.
type Options struct {
	Deployment Deployment
	Load       float64 // offered work over what the fleet can carry
	Length     time.Duration
	Seed       uint64
	Policy     string
	Faults     []Fault
	LoadLag    time.Duration   // age of the load that endpoints announce
	Endpoint   endpoint.Config // settings of the agents; name and engine are filled in
	Progress   func(done, all int)
}

// lateGrace is how long after its deadline an outcome still counts as in time.
const lateGrace = 100 * time.Millisecond

// Result is what became of one arrival.
type Result struct {
	Arrival
	First    time.Duration // time to the first token; 0 for none
	Total    time.Duration // time to the outcome
	Code     outcome.Code  // empty for a whole answer
	State    outcome.State
	Broken   bool // the answer was not whole, crossed or out of order, yet told as whole
	Attempts uint32
}

// Late reports whether the outcome came after the deadline.
func (r *Result) Late() bool { return r.Total > r.Request.Remaining+lateGrace }

// Run offers the workload to a deployment and returns what became of it. It
// runs in the time of package time, so in virtual time under testing/synctest.
func Run(ctx context.Context, o Options) *Report {
	arrivals := o.Deployment.Generate(o.Seed, o.Load, o.Length)
	b := newBench(o, o.Policy, o.Seed)
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
	wait(ctx, settle)
	report := newReport(o, results)
	report.LeftBlocks = b.leftBlocks()
	return report
}

// warmUp is the time that the agents have to meet their engines and to be
// announced before the first arrival.
const warmUp = 2 * time.Second

// serve passes one arrival to its entry and reads the answer to its end.
func (b *bench) serve(ctx context.Context, a Arrival) Result {
	r := Result{Arrival: a}
	start := time.Now()
	stream, err := b.entries[a.Entry%len(b.entries)].router.Submit(ctx, a.Request)
	if err != nil {
		r.end(start, err)
		return r
	}
	defer stream.Close()
	r.read(ctx, stream, start)
	return r
}

// read follows an answer and checks that it is whole.
func (r *Result) read(ctx context.Context, stream submit.Answer, start time.Time) {
	tokens := 0
	finished := false
	for {
		frame, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			r.Total = time.Since(start)
			r.Broken = r.Broken || !finished || tokens != r.Request.MaxTokens
			return
		}
		if err != nil {
			r.end(start, err)
			return
		}
		if frame.Request != r.Request.ID || frame.Offset != tokens || finished {
			r.Broken = true
		}
		if tokens == 0 && frame.Tokens > 0 {
			r.First = time.Since(start)
		}
		tokens += frame.Tokens
		finished = frame.Finish != ""
		r.Attempts = frame.Attempt
	}
}

func (r *Result) end(start time.Time, err error) {
	failure := outcome.From(err)
	r.Total = time.Since(start)
	r.Code = failure.Code
	r.State = failure.State
	r.Broken = false
}
