package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/share"
)

var (
	shareQueuedTotal         = metrics.NewCounter("jacinthplank_share_queued_total")
	shareReturnedTotal       = metrics.NewCounter("jacinthplank_share_returned_total")
	shareReturnedServedTotal = metrics.NewCounter("jacinthplank_share_returned_served_total")
)

// countDecision counts a placement or refusal of a request of this entry.
func countDecision(d *schedule.Decision) {
	if d.Waited > 0 {
		shareQueuedTotal.Inc()
	}
	if d.Returned {
		shareReturnedTotal.Inc()
	}
	if d.Returned && !d.Refused() {
		shareReturnedServedTotal.Inc()
	}
	if d.Cause != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf("jacinthplank_share_refused_total{cause=%q}", string(d.Cause))).Inc()
	}
}

// accountName returns the name of the caller's account; empty for none.
func (f *inflightRequest) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}

// requestKey returns what is the same in all attempts of a caller at one request: account,
// method, target and body. It is empty before the body was read.
func (f *inflightRequest) requestKey() string {
	if len(f.keys) == 0 {
		return ""
	}
	return string(f.keys[0])
}

// refusedCallers keeps the retry times that this entry gave to callers. The coordinator
// keeps those of all entries; this memory outlasts a change of the coordinator. It is safe for
// concurrent use.
type refusedCallers struct {
	mu       sync.Mutex
	promises share.Promises
}

// promise records that the caller of a request was told to return after some time.
func (c *refusedCallers) promise(request string, after time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promises.Add(request, share.Promise{RefusedAt: now, Due: now.Add(after), IsTold: true})
}

// claim reports whether a request comes at the time that its caller was given here.
func (c *refusedCallers) claim(request string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.promises.Claim(request, now)
	return ok
}
