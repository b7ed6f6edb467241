package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Bounds of the time after which callers return whose service is evacuated. An operator has
// to act before it serves again.
const (
	minEvacuatedRetryAfter = time.Second
	evacuatedRetrySpread   = time.Second
)

var (
	evacuatedRefusedTotal    = metrics.NewCounter("jacinthplank_evacuation_refused_total")
	evacuatedPlacementsTotal = metrics.NewCounter("jacinthplank_evacuation_placements_rejected_total")
)

// Evacuate implements Control.
func (g *Gateway) Evacuate(ctx context.Context, domain string) error {
	return g.order(ctx, "gateway.evacuate", domain, g.mesh.Evacuate)
}

// EndEvacuation implements Control.
func (g *Gateway) EndEvacuation(ctx context.Context, domain string) error {
	return g.order(ctx, "gateway.end_evacuation", domain, g.mesh.EndEvacuation)
}

func (g *Gateway) order(ctx context.Context, step, domain string, send func(ctx context.Context, domain string) error) error {
	started := time.Now()
	if !g.knowsDomain(domain) {
		if !g.isReady() {
			// Another entry may know it, and operators give up after some answers of 404.
			return outcome.Refuse(outcome.CodeNoQuorum, step, "this entry does not know all failure domains yet")
		}
		g.log.Info("evacuation order refused", "step", step, "domain", truncate(domain), "reason", "unknown domain")
		return outcome.Refuse(outcome.CodeUnknownDomain, step, "unknown failure domain %q", truncate(domain))
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := send(ctx, domain)
	leader, isSelf := g.mesh.Leader()
	g.log.Info("evacuation order", "step", step, "domain", domain, "revision", g.mesh.Evacuated().Revision, "leader", leader, "self", isSelf,
		"took_ms", time.Since(started).Milliseconds(), "error", errorText(err))
	if err == nil {
		return nil
	}
	e := outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, step, err)
	if errors.Is(err, mesh.ErrOutcomeUnknown) {
		e = outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, step, err)
	}
	e.Peer = leader
	return e
}

// knowsDomain reports whether a failure domain is one of the deployment's.
func (g *Gateway) knowsDomain(domain string) bool {
	_, inSettings := g.settings.Regions[domain]
	return inSettings || g.mesh.Domains()[domain]
}

// maxDomainText bounds what is repeated, in bytes, of a domain that is not known.
const maxDomainText = 64

func truncate(domain string) string { return fmt.Sprintf("%.*s", maxDomainText, domain) }

// evacuationsChanged applies a change of the evacuated failure domains. The endpoints of a
// domain whose evacuation ended may have become cold meanwhile.
func (g *Gateway) evacuationsChanged(before, after evacuation.Set) {
	for _, domain := range before.Without(after) {
		g.markDomainCold(domain)
	}
	g.refreshEndpoints()
}

// isServiceEvacuated reports whether a service has endpoints that accept requests, and all
// of them are in evacuated domains.
func (g *Gateway) isServiceEvacuated(service string) bool {
	return len(g.mesh.EvacuatedEndpoints(service)) > 0 && len(g.mesh.ReadyEndpoints(service)) == 0
}

// errServiceEvacuated is the cancellation cause of placements for an evacuated service.
var errServiceEvacuated = errors.New("all endpoints of the service are in evacuated failure domains")

// evacuatedServices ends the waits of requests whose service becomes evacuated. It is safe
// for concurrent use.
type evacuatedServices struct {
	mu    sync.Mutex
	waits map[string]*serviceWaits // by service
}

type serviceWaits struct {
	served context.Context // canceled while the service is evacuated
	cancel context.CancelCauseFunc
}

func newEvacuatedServices() *evacuatedServices {
	return &evacuatedServices{waits: map[string]*serviceWaits{}}
}

// served returns a context that is canceled with errServiceEvacuated when the service
// becomes evacuated.
func (s *evacuatedServices) served(service string) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waits[service]
	if w == nil {
		ctx, cancel := context.WithCancelCause(context.Background())
		w = &serviceWaits{ctx, cancel}
		s.waits[service] = w
	}
	return w.served
}

// update cancels the contexts of the services that are evacuated and renews those of the
// others.
func (s *evacuatedServices) update(isEvacuated func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, w := range s.waits {
		switch {
		case isEvacuated(service):
			w.cancel(errServiceEvacuated)
		case w.served.Err() != nil:
			delete(s.waits, service)
		}
	}
}

// refuseEvacuated returns the refusal of a request if its service is evacuated.
func (f *inflightRequest) refuseEvacuated() *outcome.Error {
	if !f.g.isServiceEvacuated(f.service) {
		return nil
	}
	return f.newEvacuatedError()
}

func (f *inflightRequest) newEvacuatedError() *outcome.Error {
	evacuatedRefusedTotal.Inc()
	e := outcome.Refuse(outcome.CodeDomainEvacuated, "gateway.choose", "all endpoints of service %s are in evacuated failure domains", f.service)
	e.RetryAfter = minEvacuatedRetryAfter + rand.N(evacuatedRetrySpread)
	return e
}

// placeUnlessEvacuated places the job of this request. It returns errServiceEvacuated if the
// service becomes evacuated while the job is queued.
func (f *inflightRequest) placeUnlessEvacuated() (schedule.Decision, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	defer context.AfterFunc(f.g.evacuated.served(f.service), func() { cancel(errServiceEvacuated) })()
	return f.g.placer.place(ctx, f.job())
}

// excludeEvacuated reports whether an endpoint of the service is in an evacuated domain. It
// excludes all of these from further placements of this request, as a coordinator that does
// not know the set would choose one after another.
func (f *inflightRequest) excludeEvacuated(id string) bool {
	evacuated := f.g.mesh.EvacuatedEndpoints(f.service)
	if !slices.ContainsFunc(evacuated, func(h announce.Record) bool { return h.ID == id }) {
		return false
	}
	evacuatedPlacementsTotal.Inc()
	for _, h := range evacuated {
		f.excluded = append(f.excluded, h.ID)
	}
	return true
}
