package mesh

import (
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
)

// applyOwn applies an announcement made to this entry. takesFewer reports whether the endpoint
// may take fewer requests than the other entries know: it takes none any more, or is ready as
// before but cold.
func (m *Mesh) applyOwn(e announce.Endpoint) (result announce.ApplyResult, takesFewer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, known := m.registry.Get(e.ID)
	wasReady := known && previous.State == announce.Ready && previous.StartedAtMs == e.StartedAtMs
	return m.applyAnnouncement(e, time.Now(), true), wasReady || e.State != announce.Ready
}

// KnownEndpoints returns the endpoints of a service that have not left.
func (m *Mesh) KnownEndpoints(service string) []announce.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.registry.All(), func(h announce.Record) bool {
		return h.Service != service || h.State == announce.Left
	})
}

// EndpointOfRun returns what is known of a run of an endpoint, and false if another run or none is.
func (m *Mesh) EndpointOfRun(run announce.Run) (announce.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.registry.Get(run.ID)
	return h, known && h.StartedAtMs == run.StartedAtMs
}
