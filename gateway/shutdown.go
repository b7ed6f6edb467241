package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of a graceful shutdown.
const (
	balancerGracePeriod = 2500 * time.Millisecond // two failed readiness checks 1 s apart, plus latency
	shutdownMargin      = 500 * time.Millisecond  // before the process is killed
	leaveTimeout        = 300 * time.Millisecond
	newConnGracePeriod  = 500 * time.Millisecond // for the first request of a connection accepted last
)

// shutDown stops the gateway gracefully: it reports not ready, then closes the listener
// and idle connections, then waits until no connection is left or for the shutdown
// deadline. It waits for connections, as a request that is being read isn't running yet.
func (g *Gateway) shutDown(l *listeners) {
	deadline := time.Now().Add(g.settings.ShutdownTimeout - shutdownMargin)
	g.stopping.Store(true)
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
	left := g.callerServer.connections.Drain(draining, newConnGracePeriod)
	g.log.Info("stopping", "step", "gateway.shutdown", "cut", g.running.Load(), "connections", left)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	g.mesh.Leave(ctx)
	g.mesh.Stop()
	g.logs.Flush()
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
