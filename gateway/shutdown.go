package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Timing of a graceful shutdown.
const (
	balancerGracePeriod  = 2500 * time.Millisecond // two failed readiness checks 1 s apart, plus latency
	shutdownMargin       = 650 * time.Millisecond  // before the process is killed
	errorResponseTimeout = 150 * time.Millisecond  // to write the error responses at the deadline
	leaveTimeout         = 300 * time.Millisecond
	leaveMargin          = leaveTimeout + 100*time.Millisecond // to leave the fleet, before the process is killed
	peerDrainTimeout     = 200 * time.Millisecond              // for calls of other entries, most of which take a round trip
	newConnGracePeriod   = 500 * time.Millisecond              // for the first request of a connection accepted last
)

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
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

func (s *shutdown) begin(now time.Time, timeout time.Duration) shutdownDeadlines {
	d := shutdownDeadlines{admission: now.Add(balancerGracePeriod + newConnGracePeriod), requests: now.Add(timeout - shutdownMargin)}
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

func refuseForShutdown(step string) *outcome.Error {
	e := outcome.Refuse(outcome.CodeShuttingDown, step, "%s", errShutdown.Error())
	e.RetryAfter = minRetryAfter
	return e
}

// shutDown stops the gateway gracefully: it reports not ready, then closes the listener
// and idle connections, then waits until no connection is left or for the shutdown
// deadline. It waits for connections, as a request that is being read isn't running yet.
func (g *Gateway) shutDown(l *listeners) {
	begun := time.Now()
	deadline := g.shutdown.begin(begun, g.settings.ShutdownTimeout).requests
	g.callerServer.connections.Start()
	g.mesh.SetReady(false)
	g.log.Info("shutting down", "step", "gateway.shutdown", "running", g.running.Load())
	// Another entry takes over as coordinator before this one stops responding.
	go g.mesh.TransferLeadership()
	sleepUntil(time.Now().Add(balancerGracePeriod), deadline)
	g.log.Info("closing idle connections", "step", "gateway.shutdown", "running", g.running.Load())
	if err := l.callers.Close(); err != nil {
		g.log.Warn("failed to close caller listener", "step", "gateway.shutdown", "error", err.Error())
	}
	draining, stopDraining := context.WithDeadline(context.Background(), deadline)
	defer stopDraining()
	if g.callerServer.connections.Drain(draining, newConnGracePeriod) > 0 {
		g.failRemaining()
	}
	g.log.Info("stopping", "step", "gateway.shutdown", "cut", g.running.Load(), "connections", g.callerServer.connections.Count())
	g.leaveFleet(begun.Add(g.settings.ShutdownTimeout - leaveMargin))
	g.logs.Flush()
}

// leaveFleet answers the last requests of operators, endpoints and other entries, and
// tells the other entries that this one leaves.
func (g *Gateway) leaveFleet(limit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if g.controlServer != nil {
		g.controlServer.drain(ctx, controlTimeout)
	}
	leaving, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	g.mesh.Leave(leaving)
	g.peerServer.drain(ctx, peerDrainTimeout)
	g.mesh.Stop()
}

// failRemaining ends the requests that outlast the shutdown, so that each gets an error
// response rather than a closed connection.
func (g *Gateway) failRemaining() {
	g.log.Warn("requests outlast the shutdown", "step", "gateway.shutdown", "running", g.running.Load())
	g.shutdown.end()
	ctx, cancel := context.WithTimeout(context.Background(), errorResponseTimeout)
	defer cancel()
	g.callerServer.connections.Drain(ctx, 0)
}

func sleepUntil(t, limit time.Time) {
	if t.After(limit) {
		t = limit
	}
	time.Sleep(time.Until(t))
}

func metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}
