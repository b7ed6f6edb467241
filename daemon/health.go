package daemon

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// registerHealthHandlers adds the health and metrics paths used by the platform
// and operators.
func (d *Daemon) registerHealthHandlers(mux *http.ServeMux) {
	mux.HandleFunc("/healthz", d.handleHealthz)
	mux.HandleFunc("/readyz", d.handleReadyz)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// handleHealthz is the liveness check; it always succeeds.
func (d *Daemon) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// handleReadyz is the readiness check: it tells the load balancer whether to send
// new requests to this instance.
func (d *Daemon) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !d.ready.Load():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	case d.entry != nil && d.activeConfiguration() == nil:
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
