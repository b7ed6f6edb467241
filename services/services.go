// Package services routes calls of plain services. Ordinary calls may be
// repeated on another endpoint; a call that is not idempotent is claimed in the
// quorum log first, dispatched once, and its outcome recorded.
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

// maxAttempts bounds the attempts at an ordinary call.
const maxAttempts = 3

var (
	retries     = metrics.NewCounter("jacinthplank_service_retries_total")
	onceCalls   = metrics.NewCounter("jacinthplank_once_calls_total")
	onceRepeats = metrics.NewCounter("jacinthplank_once_repeats_total")
)

// Options are what a Router works with. All are needed but Claims: without it
// calls that are not idempotent are refused.
type Options struct {
	Directory     *directory.Directory
	Dial          func(directory.Endpoint) submit.Caller
	Claims        Claims
	Recorder      timeline.Recorder
	FailureDomain string
}

// Router implements submit.Caller.
type Router struct {
	options Options
}

// New returns a router.
func New(o Options) *Router { return &Router{options: o} }

// Call implements submit.Caller.
func (r *Router) Call(ctx context.Context, c submit.Call) (submit.Reply, error) {
	if c.Once {
		return r.once(ctx, c)
	}
	return r.repeatable(ctx, c)
}

// repeatable tries endpoints until one answers. A call that may have run is
// repeated only when its method is safe to repeat.
func (r *Router) repeatable(ctx context.Context, c submit.Call) (submit.Reply, error) {
	var tried []string
	for {
		m, err := r.pick(c, tried)
		if err != nil {
			return submit.Reply{}, err
		}
		reply, err := r.dispatch(ctx, m, c)
		if err == nil {
			return reply, nil
		}
		tried = append(tried, m.Name)
		if !r.again(ctx, c, tried, err) {
			return submit.Reply{}, err
		}
		retries.Inc()
		r.record(timeline.KindRetried, c, m.Name, outcome.From(err))
	}
}

func (r *Router) again(ctx context.Context, c submit.Call, tried []string, err error) bool {
	if ctx.Err() != nil || len(tried) >= min(maxAttempts, len(r.options.Directory.Service(c.Service))) {
		return false
	}
	e := outcome.From(err)
	return e.State == outcome.NotRun || idempotentMethod(c.Method)
}

func (r *Router) dispatch(ctx context.Context, m *directory.Member, c submit.Call) (submit.Reply, error) {
	r.record(timeline.KindPlaced, c, m.Name, nil)
	reply, err := r.options.Dial(m.Endpoint).Call(ctx, c)
	if err != nil {
		r.record(timeline.KindFailed, c, m.Name, outcome.From(err))
	}
	return reply, err
}

// pick chooses an endpoint of the service: this failure domain's first, the one
// with less to do among two.
func (r *Router) pick(c submit.Call, tried []string) (*directory.Member, error) {
	var near, far []*directory.Member
	for _, m := range r.options.Directory.Service(c.Service) {
		switch {
		case m.Leaving() || slices.Contains(tried, m.Name):
		case m.FailureDomain == r.options.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return lighter(near), nil
	}
	if len(far) > 0 {
		return lighter(far), nil
	}
	e := outcome.Refuse(outcome.CodeNoEndpoint, "entry.place", "no endpoint of service %s can be reached", c.Service)
	e.RetryAfter = directory.Heartbeat
	return nil, e
}

func lighter(members []*directory.Member) *directory.Member {
	a := members[rand.IntN(len(members))]
	b := members[rand.IntN(len(members))]
	if b.Report().Running < a.Report().Running {
		return b
	}
	return a
}

func idempotentMethod(method string) bool {
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
