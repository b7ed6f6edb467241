package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Times of asking engines for their load. The platform charges for each question,
// and an answer is some hundred milliseconds old.
const (
	probePeriod  = time.Second
	probeTimeout = 500 * time.Millisecond
)

var (
	probesTotal  = metrics.NewCounter("jacinthplank_gateway_probes_total")
	probesFailed = metrics.NewCounter("jacinthplank_gateway_probes_failed_total")
)

// probing is the duty that asks the engines for their load, while this entry is
// the coordinator: engines may still work for entries that are gone, and may be
// slow.
type probing struct{ g *Gateway }

// Name implements supervise.Duty.
func (p *probing) Name() string { return "probing" }

// Serve implements supervise.Duty.
func (p *probing) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		table := p.g.table.Load()
		if table == nil || !p.g.mesh.IsLeader() {
			continue
		}
		for i := range table.Services {
			if s := &table.Services[i]; s.Engine != nil {
				p.askAll(ctx, s.Name)
			}
		}
	}
}

// askAll asks every engine of a service, spread over the period.
func (p *probing) askAll(ctx context.Context, service string) {
	for _, h := range p.g.heard(service) {
		time.AfterFunc(rand.N(probePeriod), func() { p.ask(ctx, service, h) })
	}
}

func (p *probing) ask(ctx context.Context, service string, h announce.Record) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probesTotal.Inc()
	load, err := p.report(ctx, h)
	if err != nil {
		probesFailed.Inc()
		p.g.log.Debug("engine does not tell its load", "step", "gateway.probe", "endpoint", h.ID, "error", err.Error())
		return
	}
	p.g.placer.observe(service, h.ID, load)
}

func (p *probing) report(ctx context.Context, h announce.Record) (schedule.Load, error) {
	reply, err := p.g.client.Send(ctx, forward.Target{ID: h.ID, Address: h.Address}, p.g.dialect.LoadCall(h.ID))
	if err != nil {
		return schedule.Load{}, err
	}
	defer reply.Close()
	body, err := reply.ReadAll()
	if err != nil {
		return schedule.Load{}, err
	}
	if reply.Status != http.StatusOK {
		return schedule.Load{}, outcome.Refuse(outcome.CodeEngineFailed, "gateway.probe", "status %d", reply.Status)
	}
	return p.g.dialect.DecodeLoad(body)
}

// observe takes an engine's own word on its load.
func (p *placer) observe(service, endpoint string, l schedule.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[service]; s != nil {
		s.ObserveLoad(endpoint, l, time.Now())
	}
}
