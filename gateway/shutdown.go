package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Timing of a graceful shutdown.
const (
	balancerGracePeriod  = 2500 * time.Millisecond // two failed readiness checks 1 s apart, plus latency
	acceptPeriod         = 500 * time.Millisecond  // after it, for callers that the balancer still sends
	errorResponseTimeout = 150 * time.Millisecond  // to write the error responses at the deadline
	leaveTimeout         = 300 * time.Millisecond  // for the last control requests, and to tell the other entries
	peerDrainTimeout     = 100 * time.Millisecond  // for calls of other entries, most of which take a round trip
	// shutdownMargin is the time for all of these before the process is killed.
	shutdownMargin = errorResponseTimeout + 2*leaveTimeout + peerDrainTimeout
)

// callerGrace is how long connections without a request are kept.
var callerGrace = drain.Grace{New: 500 * time.Millisecond, Kept: 200 * time.Millisecond}

// errShutdown is the cancellation cause of a request that outlasts the shutdown.
var errShutdown = errors.New("this entry is stopping")

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	deadlines atomic.Pointer[shutdownDeadlines] // nil before it begins
	ended     context.Context                   // canceled at the deadline
	end       context.CancelFunc
}

type shutdownDeadlines struct {
	admission time.Time // later requests have to fit
	requests  time.Time // requests in progress are ended
	killed    time.Time // the platform kills the process
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

func (s *shutdown) begin(now time.Time, timeout time.Duration) shutdownDeadlines {
	d := shutdownDeadlines{
		admission: now.Add(balancerGracePeriod + acceptPeriod),
		requests:  now.Add(timeout - shutdownMargin),
		killed:    now.Add(timeout),
	}
	s.deadlines.Store(&d)
	return d
}

func (s *shutdown) begun() bool { return s.deadlines.Load() != nil }

// isTooLate reports whether a request came when most callers had left, and may take
// longer than this process lives.
func (s *shutdown) isTooLate(arrived, deadline time.Time) bool {
	d := s.deadlines.Load()
	return d != nil && arrived.After(d.admission) && deadline.After(d.requests)
}

// limit returns t, or the deadline of requests in progress if that is earlier.
func (s *shutdown) limit(t time.Time) time.Time {
	if d := s.deadlines.Load(); d != nil {
		return earlier(t, d.requests)
	}
	return t
}

// isOver reports whether the deadline of requests in progress has passed.
func (s *shutdown) isOver(now time.Time) bool {
	d := s.deadlines.Load()
	return d != nil && !now.Before(d.requests)
}

func refuseForShutdown(step string) *outcome.Error {
	e := outcome.Refuse(outcome.CodeShuttingDown, step, "%s", errShutdown.Error())
	e.RetryAfter = minRetryAfter
	return e
}

// shutDown stops the gateway gracefully: it reports not ready and tells callers that their
// connections end, then closes idle connections and the listener, then waits until no
// connection is left or for the shutdown deadline. It waits for connections, as a request
// that is being read isn't running yet.
func (g *Gateway) shutDown() {
	limits := g.shutdown.begin(time.Now(), g.settings.ShutdownTimeout)
	g.callerServer.connections.Start()
	g.log.Info("shutting down", "step", "gateway.shutdown", "running", g.running.Load())
	// Another entry takes over as coordinator before this one stops responding.
	go g.mesh.TransferLeadership()
	time.Sleep(time.Until(earlier(time.Now().Add(balancerGracePeriod), limits.requests)))
	g.log.Info("closing idle connections", "step", "gateway.shutdown", "running", g.running.Load())
	draining, stopDraining := context.WithDeadline(context.Background(), limits.requests)
	defer stopDraining()
	if g.callerServer.connections.Drain(draining, limits.admission, callerGrace) > 0 {
		g.failRemaining()
	}
	g.log.Info("stopping", "step", "gateway.shutdown", "cut", g.running.Load(), "connections", g.callerServer.connections.Count())
	g.logs.Flush()
	g.leaveFleet(limits.killed)
	g.logs.Flush()
}

// leaveFleet answers the last requests of operators, endpoints and other entries, and
// tells the other entries that this one leaves.
func (g *Gateway) leaveFleet(killed time.Time) {
	if g.controlServer != nil {
		limit := killed.Add(-leaveTimeout - peerDrainTimeout)
		g.controlServer.drain(earlier(time.Now().Add(controlTimeout), limit))
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	g.mesh.Leave(ctx)
	g.mesh.Stop()
	g.peerServer.drain(time.Now().Add(peerDrainTimeout))
}

// failRemaining ends the requests that outlast the shutdown, so that each gets an error
// response rather than a closed connection.
func (g *Gateway) failRemaining() {
	g.log.Warn("requests outlast the shutdown", "step", "gateway.shutdown", "running", g.running.Load())
	g.shutdown.end()
	ctx, cancel := context.WithTimeout(context.Background(), errorResponseTimeout)
	defer cancel()
	g.callerServer.connections.Drain(ctx, time.Time{}, drain.Grace{})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
