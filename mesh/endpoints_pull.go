package mesh

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/announce"
)

// Fetches of all endpoints from another entry.
const (
	pullTimeout = time.Second
	// minPullInterval and pullTimePerEndpoint bound the rate of fetches while endpoints
	// change everywhere, and the bytes of those from a large fleet.
	minPullInterval     = time.Second
	pullTimePerEndpoint = 2 * time.Millisecond
)

var pullsTotal = metrics.NewCounter("jacinthplank_mesh_endpoint_pulls_total")

// endpointsDigest is a digest of the endpoints that have not left. Two entries with the
// same digest know the same endpoints in the same states.
type endpointsDigest struct {
	version uint64
	value   uint64
}

// of returns the digest of a registry.
func (d *endpointsDigest) of(r *announce.Registry) uint64 {
	if d.version == r.Version() {
		return d.value
	}
	d.version, d.value = r.Version(), 0
	for _, h := range r.All() {
		if h.State == announce.Left {
			continue
		}
		text := h.ID + " " + h.Address + " " + h.Service + " " + h.State.String() + " " + strconv.FormatInt(h.StartedAtMs, 10)
		d.value ^= xxhash.Sum64String(text) // independent of the order
	}
	return d.value
}

// pullIfDifferent fetches all endpoints from an entry that knows others than this one.
// An entry that has just started learns them in this way, from one that has caught up itself:
// two that start together know the same too, that is nothing.
func (m *Mesh) pullIfDifferent(f facts) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !f.CaughtUp && !m.IsCaughtUp() {
		return
	}
	if f.Endpoints == m.digest.of(m.registry) {
		m.setCaughtUp("the endpoints of " + f.Name + " are known")
		return
	}
	if m.pulling || now.Before(m.nextPull) {
		return
	}
	m.pulling = true
	go m.pullEndpoints(f.Name, f.Address)
}

func (m *Mesh) pullEndpoints(name, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	pullsTotal.Inc()
	resp, err := call[endpointsRequest, endpointsResponse](ctx, m.client, address, procedureEndpoints, &endpointsRequest{})
	m.mu.Lock()
	m.pulling = false
	changed := 0
	if err == nil {
		m.nextPull = time.Now().Add(max(minPullInterval, time.Duration(len(resp.Announcements))*pullTimePerEndpoint))
		changed = m.applyAnnouncements(m.recordsOf(resp.Announcements, name), name)
	}
	m.mu.Unlock()
	if err == nil {
		m.setCaughtUp("the endpoints of " + name + " were fetched")
	}
	if err != nil {
		m.log.Warn("fetching the endpoints of an entry failed", "step", "mesh.pull", "peer", name, "error", err.Error())
		return
	}
	m.endpointsChanged(changed)
}

func (m *Mesh) serveEndpoints(context.Context, *endpointsRequest) (*endpointsResponse, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	resp := &endpointsResponse{}
	for _, h := range m.registry.All() {
		resp.Announcements = append(resp.Announcements, newAnnouncement(h, now))
	}
	return resp, nil
}

func newAnnouncement(h announce.Record, now time.Time) announcement {
	return announcement{h.Endpoint, now.Sub(h.At).Milliseconds()}
}

// endpointsChanged reports a change of endpoints. The caller doesn't hold the lock.
func (m *Mesh) endpointsChanged(changed int) {
	if changed > 0 && m.options.OnEndpointsChanged != nil {
		m.options.OnEndpointsChanged()
	}
}

// maxCatchUp limits how long an entry that finds no other one waits for their endpoints. It
// covers the first rounds of calls to the seeds.
const maxCatchUp = 2 * time.Second

// CaughtUp returns a channel that is closed once this entry knows the endpoints that
// another one knew, or has found none to ask for maxCatchUp.
func (m *Mesh) CaughtUp() <-chan struct{} { return m.caughtUp }

// IsCaughtUp reports whether the channel of CaughtUp is closed. It doesn't take the lock.
func (m *Mesh) IsCaughtUp() bool {
	select {
	case <-m.caughtUp:
		return true
	default:
		return false
	}
}

func (m *Mesh) setCaughtUp(reason string) {
	m.caughtUpOnce.Do(func() {
		m.log.Info("endpoints are known", "step", "mesh.catch_up", "reason", reason, "took_ms", time.Since(m.startedAt).Milliseconds())
		close(m.caughtUp)
	})
}
