package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Times of a graceful shutdown.
const (
	balancerNotice = 2500 * time.Millisecond // two questions a second apart without a 200, and the way
	endReserve     = 500 * time.Millisecond  // before the process is ended by force
	leaveTimeout   = 300 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
)

// shutDown ends the gateway without cutting a request: not ready first, then no
// new connections and none kept, then what runs to its end.
func (g *Gateway) shutDown(l *listeners) {
	deadline := time.Now().Add(g.settings.ShutdownTimeout - endReserve)
	g.stopping.Store(true)
	g.mesh.SetReady(false)
	g.log.Info("shutting down", "step", "gateway.shutdown", "running", g.running.Load())
	// Another entry places for all before this one stops to answer.
	go g.mesh.TransferLeadership()
	sleepUntil(time.Now().Add(balancerNotice), deadline)
	g.callers.endKeepAlives()
	if err := l.callers.Close(); err != nil {
		g.log.Warn("listener not closed", "step", "gateway.shutdown", "error", err.Error())
	}
	for g.running.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	g.log.Info("stopping", "step", "gateway.shutdown", "cut", g.running.Load())
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	g.mesh.Leave(ctx)
	g.mesh.Stop()
	g.lines.Flush()
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
