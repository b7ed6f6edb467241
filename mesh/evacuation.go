package mesh

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// maxOrderAge is the time after which an operator's order is not appended to the log any
// more. The operator sends it to another entry by then.
const maxOrderAge = time.Second

// pauseHoldOff is how long an entry accepts no orders after its process was paused. By then
// the connections that operators closed meanwhile have ended their calls.
const pauseHoldOff = syncInterval

// maxLoggedDomains bounds the domains in a log line.
const maxLoggedDomains = 16

var (
	ordersTotal           = metrics.NewCounter("jacinthplank_evacuation_orders_total")
	ordersFailedTotal     = metrics.NewCounter("jacinthplank_evacuation_orders_failed_total")
	ordersStaleTotal      = metrics.NewCounter("jacinthplank_evacuation_orders_stale_total")
	evacuationSetsRefused = metrics.NewCounter("jacinthplank_evacuation_sets_refused_total")
	evacuationChanges     = metrics.NewCounter("jacinthplank_evacuation_changes_total")
	evacuatedDomains      = metrics.NewGauge("jacinthplank_evacuation_domains", nil)
)

// Evacuate orders that the endpoints of a failure domain receive no further requests. It
// returns nil once a majority of the quorum has stored the order.
func (m *Mesh) Evacuate(ctx context.Context, domain string) error {
	return m.order(ctx, evacuation.Begin(domain))
}

// EndEvacuation revokes the evacuation of a failure domain, as Evacuate orders it.
func (m *Mesh) EndEvacuation(ctx context.Context, domain string) error {
	return m.order(ctx, evacuation.Finish(domain))
}

// order proposes a command until it is applied to a set that this entry knows, for at most
// maxOrderAge.
func (m *Mesh) order(ctx context.Context, c evacuation.Command) error {
	ordersTotal.Inc()
	err := m.proposeOrder(ctx, c)
	if err != nil {
		ordersFailedTotal.Inc()
	}
	return err
}

func (m *Mesh) proposeOrder(ctx context.Context, c evacuation.Command) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, maxOrderAge)
	defer cancel()
	if !m.acceptsOrders(started) {
		return outcome.Refuse(outcome.CodeNoQuorum, "mesh.evacuate", "this entry was paused, so the order may be out of date")
	}
	for {
		req := &evacuateRequest{Command: c.At(m.Evacuated().Revision)}
		answer, err := propose(ctx, m.quorum, func(ctx context.Context, address string) (*evacuateResponse, error) {
			return callMember(ctx, m, address, procedureEvacuate, m.quorum.serveEvacuate, req)
		})
		if err != nil {
			return err
		}
		m.applyEvacuations(answer.Set)
		switch answer.Verdict {
		case evacuation.Changed, evacuation.Unchanged:
			return nil
		case evacuation.Stale:
			ordersStaleTotal.Inc()
			if time.Since(started) >= maxOrderAge {
				return outcome.Refuse(outcome.CodeNoQuorum, "mesh.evacuate", "another order was given before this one could be stored")
			}
		default:
			return outcome.Refuse(outcome.CodeInvalidRequest, "mesh.evacuate", "the quorum rejects the order as %s", answer.Verdict)
		}
	}
}

// serveEvacuate proposes a command of another entry, as a member of the quorum. The call
// carries the time that the other entry has left.
func (c *quorumManager) serveEvacuate(ctx context.Context, req *evacuateRequest) (*evacuateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxOrderAge)
	defer cancel()
	command, err := req.Command.Encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return proposeHere(ctx, c, command, evacuation.DecodeAnswer)
}

// notePause records a round of the periodic syncs. One that is late by maxOrderAge shows that
// the process was paused. The caller holds the lock.
func (m *Mesh) notePause(now time.Time) {
	if m.isPaused(now) {
		m.ordersAfter = now.Add(pauseHoldOff)
	}
	m.lastRound = now
}

// isPaused reports whether the process was paused after the last round. The caller holds the
// lock.
func (m *Mesh) isPaused(now time.Time) bool {
	return !m.lastRound.IsZero() && now.Sub(m.lastRound) > maxOrderAge
}

// acceptsOrders reports whether a call that arrives now was sent now. After a pause, calls
// that were sent during it arrive.
func (m *Mesh) acceptsOrders(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isPaused(now) && !now.Before(m.ordersAfter)
}

// Evacuated returns the failure domains that are evacuated as far as this entry knows.
func (m *Mesh) Evacuated() evacuation.Set {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated
}

// applyEvacuations applies a set that is newer than the one in force. The caller doesn't hold
// the lock.
func (m *Mesh) applyEvacuations(set evacuation.Set) {
	if set.Revision <= m.Evacuated().Revision {
		return
	}
	if set.Validate() != nil {
		evacuationSetsRefused.Inc() // and no line in the log: it comes with each sync
		return
	}
	m.evacuationChange.Lock()
	defer m.evacuationChange.Unlock()
	m.mu.Lock()
	before := m.evacuated
	if set.Revision <= before.Revision {
		m.mu.Unlock()
		return
	}
	m.evacuated = set
	m.evacuations++
	m.notifyShare()
	m.mu.Unlock()
	evacuationChanges.Inc()
	evacuatedDomains.Set(float64(len(set.Domains)))
	m.log.Info("evacuated domains changed", "step", "mesh.evacuation", "revision", set.Revision, "before", before.Revision,
		"begun", firstDomains(set.Without(before)), "ended", firstDomains(before.Without(set)), "domains", len(set.Domains))
	if m.options.OnEvacuationsChanged != nil {
		m.options.OnEvacuationsChanged(before, set)
	}
}

func firstDomains(domains []string) []string { return domains[:min(len(domains), maxLoggedDomains)] }

// Domains returns the failure domains of this entry, of the others and of the endpoints,
// and those that are evacuated.
func (m *Mesh) Domains() map[string]bool {
	domains := map[string]bool{m.options.FailureDomain: true}
	for _, r := range m.gossip.Members() {
		domains[r.FailureDomain] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.registry.All() {
		domains[h.FailureDomain] = true
	}
	for _, d := range m.evacuated.Domains {
		domains[d] = true
	}
	delete(domains, "")
	return domains
}

// isEvacuated reports whether an endpoint is in an evacuated domain. The caller holds the
// lock.
func (m *Mesh) isEvacuated(h announce.Record) bool { return m.evacuated.Contains(h.FailureDomain) }

// ReadyEndpoints returns the endpoints of a service that accept requests and are in no
// evacuated domain.
func (m *Mesh) ReadyEndpoints(service string) []announce.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.registry.Ready(service)
	if len(m.evacuated.Domains) == 0 {
		return all
	}
	return slices.DeleteFunc(all, m.isEvacuated)
}

// AnnouncedEndpoints returns the endpoints of a service that announce themselves as ready,
// also those in evacuated domains.
func (m *Mesh) AnnouncedEndpoints(service string) []announce.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Ready(service)
}

// EvacuatedEndpoints returns the endpoints of a service that accept requests and are in an
// evacuated domain.
func (m *Mesh) EvacuatedEndpoints(service string) []announce.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.evacuated.Domains) == 0 {
		return nil
	}
	return slices.DeleteFunc(m.registry.Ready(service), func(h announce.Record) bool { return !m.isEvacuated(h) })
}

// ReadyAddresses returns the id of the endpoint that accepts requests at each address,
// without those in evacuated domains.
func (m *Mesh) ReadyAddresses() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.registry.ReadyAddresses()
	if len(m.evacuated.Domains) == 0 {
		return out
	}
	for address, id := range out {
		if h, known := m.registry.Get(id); known && m.isEvacuated(h) {
			delete(out, address)
		}
	}
	return out
}

// AnnouncedReady returns the ids of the endpoints that announce themselves as ready, also of
// those in evacuated domains.
func (m *Mesh) AnnouncedReady() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := m.registry.ReadyAddresses()
	out := make(map[string]bool, len(addresses))
	for _, id := range addresses {
		out[id] = true
	}
	return out
}

// IsLeaving reports whether an endpoint is known to accept no more requests, or is in an
// evacuated domain.
func (m *Mesh) IsLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.registry.Get(id)
	return known && (h.State != announce.Ready || m.isEvacuated(h))
}

// EndpointsVersion increases with every change of endpoints or evacuated domains.
func (m *Mesh) EndpointsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Version() + m.evacuations
}
