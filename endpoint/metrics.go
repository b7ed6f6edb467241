package endpoint

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

var (
	canceledTotal    = metrics.NewCounter("jacinthplank_endpoint_cancels_total")
	cancelRetryTotal = metrics.NewCounter("jacinthplank_endpoint_cancel_retries_total")
	orphansTotal     = metrics.NewCounter("jacinthplank_endpoint_orphans_freed_total")
	cacheMissesTotal = metrics.NewCounter("jacinthplank_endpoint_cache_misses_total")
	staleOrdersTotal = metrics.NewCounter("jacinthplank_endpoint_stale_orders_total")
)

func countRefusal(e *outcome.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jacinthplank_endpoint_refusals_total{code=%q}", e.Code)).Inc()
}

func countFailure(e *outcome.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jacinthplank_endpoint_failures_total{code=%q}", e.Code)).Inc()
}

func countFirstToken(c submit.Class, d time.Duration) {
	name := fmt.Sprintf("jacinthplank_endpoint_first_token_seconds{class=%q}", c)
	metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}
