// Package services routes calls to plain services. Ordinary calls may be retried
// on another endpoint. A call that is not idempotent is first claimed in the
// quorum log, then dispatched once, and its outcome is recorded.
package services

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// maxAttempts is the maximum number of attempts for an ordinary call.
const maxAttempts = 3

var (
	retries     = metrics.NewCounter("jacinthplank_service_retries_total")
	onceCalls   = metrics.NewCounter("jacinthplank_once_calls_total")
	onceRepeats = metrics.NewCounter("jacinthplank_once_repeats_total")
)

// Options configures a Router. All fields are required except Claims; without
// it, calls that are not idempotent are rejected.
type Options struct {
	Directory     *directory.Directory
	Dial          func(directory.Endpoint) submit.Caller
	Claims        ClaimStore
	Recorder      timeline.Recorder
	FailureDomain string
}

// Router routes calls to service endpoints. It implements submit.Caller.
type Router struct {
	options Options
}

func New(o Options) *Router { return &Router{options: o} }

// Call implements submit.Caller.
func (r *Router) Call(ctx context.Context, c submit.Call) (submit.Reply, error) {
	if c.Once {
		return r.callOnce(ctx, c)
	}
	return r.callWithRetry(ctx, c)
}

// callWithRetry tries endpoints until one replies. A call that may have run is
// retried only if its method is idempotent.
func (r *Router) callWithRetry(ctx context.Context, c submit.Call) (submit.Reply, error) {
	var tried []string
	for {
		m, err := r.pickEndpoint(c, tried)
		if err != nil {
			return submit.Reply{}, err
		}
		reply, err := r.dispatch(ctx, m, c)
		if err == nil {
			return reply, nil
		}
		tried = append(tried, m.Name)
		if !r.shouldRetry(ctx, c, tried, err) {
			return submit.Reply{}, err
		}
		retries.Inc()
		r.record(timeline.KindRetried, c, m.Name, outcome.From(err))
	}
}

func (r *Router) shouldRetry(ctx context.Context, c submit.Call, tried []string, err error) bool {
	if ctx.Err() != nil || len(tried) >= min(maxAttempts, len(r.options.Directory.Service(c.Service))) {
		return false
	}
	e := outcome.From(err)
	return e.State == outcome.NotRun || isIdempotentMethod(c.Method)
}

func (r *Router) dispatch(ctx context.Context, m *directory.Member, c submit.Call) (submit.Reply, error) {
	r.record(timeline.KindPlaced, c, m.Name, nil)
	reply, err := r.options.Dial(m.Endpoint).Call(ctx, c)
	if err != nil {
		r.record(timeline.KindFailed, c, m.Name, outcome.From(err))
	}
	return reply, err
}

// pickEndpoint selects an endpoint of the service, preferring the local failure
// domain. It takes the less loaded of two random candidates.
func (r *Router) pickEndpoint(c submit.Call, tried []string) (*directory.Member, error) {
	var local, remote []*directory.Member
	for _, m := range r.options.Directory.Service(c.Service) {
		switch {
		case m.Leaving() || slices.Contains(tried, m.Name):
		case m.FailureDomain == r.options.FailureDomain:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	if len(local) > 0 {
		return leastLoaded(local), nil
	}
	if len(remote) > 0 {
		return leastLoaded(remote), nil
	}
	e := outcome.Refuse(outcome.CodeNoEndpoint, "entry.place", "no endpoint of service %s can be reached", c.Service)
	e.RetryAfter = directory.Heartbeat
	return nil, e
}

func leastLoaded(members []*directory.Member) *directory.Member {
	a := members[rand.IntN(len(members))]
	b := members[rand.IntN(len(members))]
	if b.Report().Running < a.Report().Running {
		return b
	}
	return a
}

func isIdempotentMethod(method string) bool {
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}, method)
}

func (r *Router) record(kind timeline.Kind, c submit.Call, endpoint string, e *outcome.Error) {
	event := timeline.Event{
		Kind:     kind,
		Request:  c.ID,
		Account:  c.Account,
		Endpoint: endpoint,
		Step:     "entry.service",
	}
	if e != nil {
		event.Outcome = string(e.Code)
		event.Detail = e.Message
		event.Peer = e.Peer
		event.State = e.State
	}
	r.options.Recorder.Record(event)
}
