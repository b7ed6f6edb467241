package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Timing of engine load probes. The platform charges for each probe, and the reported
// load is a few hundred milliseconds old.
const (
	probeInterval = time.Second
	// leaderCheckInterval is how often an entry checks whether it became the coordinator,
	// which probes soon because it does not know the requests of entries that are gone.
	leaderCheckInterval = 100 * time.Millisecond
	probeTimeout        = 500 * time.Millisecond
	// suspectProbeInterval bounds the probes of an engine that fails again and again.
	suspectProbeInterval = 250 * time.Millisecond
)

var (
	probesTotal       = metrics.NewCounter("jacinthplank_gateway_probes_total")
	probesFailedTotal = metrics.NewCounter("jacinthplank_gateway_probes_failed_total")
)

// probeDuty queries the load of the engines while this entry is the coordinator.
// Engines may be slow, or still run requests of entries that have left.
type probeDuty struct {
	g *Gateway

	mu               sync.Mutex
	nextSuspectProbe map[string]time.Time // by endpoint
}

func newProbeDuty(g *Gateway) *probeDuty {
	return &probeDuty{g: g, nextSuspectProbe: map[string]time.Time{}}
}

// Name implements supervise.Duty.
func (p *probeDuty) Name() string { return "probing" }

// Serve implements supervise.Duty.
func (p *probeDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	var next time.Time
	spread, wasLeader := probeInterval, false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now, isLeader := time.Now(), p.g.mesh.IsLeader()
		if isLeader && !wasLeader {
			next = now.Add(leaderCheckInterval) // the entries send their job lists first
			spread = leaderCheckInterval
		}
		wasLeader = isLeader
		table := p.g.table.Load()
		if table == nil || !isLeader || now.Before(next) {
			continue
		}
		next = now.Add(probeInterval)
		for i := range table.Services {
			if s := &table.Services[i]; s.Engine != nil {
				p.probeAll(ctx, s.Name, spread)
			}
		}
		spread = probeInterval
	}
}

// minProbedRate is the rate limit, in requests a second, from which an engine is probed.
// Below it, probes would take too many of its requests.
const minProbedRate = 10

// probeAll probes every engine of a service at random times within spread.
func (p *probeDuty) probeAll(ctx context.Context, service string, spread time.Duration) {
	for _, h := range p.g.readyEndpoints(service) {
		if !p.mayProbe(h) {
			continue
		}
		time.AfterFunc(rand.N(spread), func() {
			if !p.g.mesh.IsLeaving(h.ID) {
				p.probe(ctx, service, h)
			}
		})
	}
}

// mayProbe reports whether an engine takes probes.
func (p *probeDuty) mayProbe(h announce.Record) bool {
	perSecond, limited := p.g.limits.Limit(h.ID)
	return !(limited && perSecond < minProbedRate) && p.g.limits.StatedWait(h.ID, time.Now()) == 0
}

func (p *probeDuty) probe(ctx context.Context, service string, h announce.Record) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probesTotal.Inc()
	p.g.placer.chargeCall(h.ID)
	sentAt := time.Now()
	load, err := p.fetchLoad(ctx, h)
	if err != nil {
		probesFailedTotal.Inc()
		p.g.placer.suspect(h.ID, sentAt, "it did not answer a probe")
		p.g.log.Debug("engine load probe failed", "step", "gateway.probe", "endpoint", h.ID, "error", err.Error())
		return
	}
	p.g.placer.respond(h.ID, sentAt)
	p.g.placer.observe(service, h.ID, load)
}

// probeSuspect probes an engine that failed, so that one that is well is used again soon.
func (p *probeDuty) probeSuspect(endpoint string) {
	now := time.Now()
	p.mu.Lock()
	tooSoon := now.Before(p.nextSuspectProbe[endpoint])
	if !tooSoon {
		p.nextSuspectProbe[endpoint] = now.Add(suspectProbeInterval)
	}
	p.mu.Unlock()
	table := p.g.table.Load()
	if tooSoon || table == nil {
		return
	}
	for i := range table.Services {
		if table.Services[i].Engine == nil {
			continue
		}
		for _, h := range p.g.readyEndpoints(table.Services[i].Name) {
			if h.ID == endpoint && p.mayProbe(h) {
				p.probe(context.Background(), table.Services[i].Name, h)
			}
		}
	}
}

func (p *probeDuty) fetchLoad(ctx context.Context, h announce.Record) (schedule.Load, error) {
	reply, err := p.g.client.Send(ctx, forward.Target{ID: h.ID, Address: h.Address}, p.g.dialect.LoadCall(h.ID))
	if err != nil {
		return schedule.Load{}, err
	}
	defer reply.Close()
	p.g.observe(announce.Run{ID: h.ID, StartedAtMs: h.StartedAtMs}, answeredProbe, reply)
	body, err := reply.ReadAll(maxControlBytes)
	if err != nil {
		return schedule.Load{}, err
	}
	if reply.Status != http.StatusOK {
		return schedule.Load{}, outcome.Refuse(outcome.CodeEngineFailed, "gateway.probe", "status %d", reply.Status)
	}
	return p.g.dialect.DecodeLoad(body)
}

// observe passes an engine's reported load to the scheduler.
func (p *placer) observe(service, endpoint string, l schedule.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[service]; s != nil {
		s.ObserveLoad(endpoint, l, time.Now())
	}
}
