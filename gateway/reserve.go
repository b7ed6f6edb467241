package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Times of memory that is set aside for a prompt that no engine holds alone. A
// short lease that is renewed frees itself soon after its entry died, and before
// endpoints count it as lost.
const (
	reserveHold    = 3500 * time.Millisecond
	reserveRenew   = time.Second
	reserveTimeout = 400 * time.Millisecond
	releaseTries   = 3
)

var (
	reservedTotal = metrics.NewCounter("jacinthplank_gateway_reservations_total")
	reserveFailed = metrics.NewCounter("jacinthplank_gateway_reservations_failed_total")
	releaseFailed = metrics.NewCounter("jacinthplank_gateway_releases_failed_total")
)

// reservation is the memory that one attempt has set aside: all of it or none.
type reservation struct {
	g       *Gateway
	request string
	held    []schedule.Helper
	stop    context.CancelFunc
	done    chan struct{}
}

// reserve sets aside what the helpers are to hold, in the order of their ids, so
// that two prompts never wait for each other. It names the reservations in
// helpers. A nil reservation means that nothing was to be set aside.
func (g *Gateway) reserve(ctx context.Context, request string, helpers []schedule.Helper) (*reservation, *outcome.Error) {
	r := &reservation{g: g, request: request}
	for i := range helpers {
		h := &helpers[i]
		if h.Tokens == 0 {
			continue
		}
		h.Reservation = request + "-" + strconv.Itoa(i)
		r.held = append(r.held, *h)
		if err := r.order(ctx, *h, g.dialect.Reserve(h.ID, h.Reservation, h.Tokens, reserveHold)); err != nil {
			reserveFailed.Inc()
			// The order that failed may be carried out later: it is released too.
			r.release()
			return nil, err
		}
		reservedTotal.Inc()
	}
	if len(r.held) == 0 {
		return nil, nil
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop, r.done = stop, make(chan struct{})
	go r.renew(renewing)
	return r, nil
}

func (r *reservation) order(ctx context.Context, h schedule.Helper, call *forward.Call) *outcome.Error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := r.g.client.Send(ctx, forward.Target{ID: h.ID, Address: h.Address}, call)
	if err != nil {
		return r.refusal(h, outcome.From(err))
	}
	defer reply.Close()
	if _, err := reply.ReadAll(); err != nil {
		return r.refusal(h, outcome.From(err))
	}
	if reply.Status != http.StatusOK {
		return r.refusal(h, outcome.Refuse(outcome.CodeMemoryReserved, "gateway.reserve", "status %d", reply.Status))
	}
	return nil
}

// refusal types a failure of an order: the request itself has not run.
func (r *reservation) refusal(h schedule.Helper, cause *outcome.Error) *outcome.Error {
	e := outcome.Fail(outcome.CodeMemoryReserved, outcome.NotRun, "gateway.reserve", cause)
	e.Peer = h.ID
	e.Message = "memory for the prompt could not be set aside"
	r.g.log.Info("reservation failed", "request", r.request, "step", e.Step, "endpoint", h.ID, "tokens", h.Tokens, "cause", cause.Error())
	return e
}

// renew keeps the leases until the attempt is over.
func (r *reservation) renew(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(reserveRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range r.held {
			// A failure is logged; the next renewal comes before the lease ends. It is
			// not cut off: an engine might carry it out after the release.
			_ = r.order(context.WithoutCancel(ctx), h, r.g.dialect.Reserve(h.ID, h.Reservation, h.Tokens, reserveHold))
		}
	}
}

// end frees the memory, after a renewal that is on its way. It may be called on nil
// and does not wait.
func (r *reservation) end() {
	if r == nil {
		return
	}
	r.stop()
	go func() {
		<-r.done
		r.release()
	}()
}

// release frees what is held without holding up the caller.
func (r *reservation) release() {
	for _, h := range r.held {
		go func() {
			for range releaseTries {
				if r.order(context.Background(), h, r.g.dialect.Release(h.ID, h.Reservation)) == nil {
					return
				}
			}
			releaseFailed.Inc()
		}()
	}
}
