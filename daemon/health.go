package daemon

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// registerHealth adds the paths that the platform and operators ask.
func (d *Daemon) registerHealth(mux *http.ServeMux) {
	mux.HandleFunc("/healthz", d.healthy)
	mux.HandleFunc("/readyz", d.readiness)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// healthy answers as long as the process does.
func (d *Daemon) healthy(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// readiness tells the balancer whether to send new requests here.
func (d *Daemon) readiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !d.ready.Load():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	case d.entry != nil && d.inForce() == nil:
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
