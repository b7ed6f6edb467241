package mesh

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
)

// Times of the calls between entries.
const (
	syncInterval  = 400 * time.Millisecond // a fifth of the time within which a change has to be in force everywhere
	syncsPerRound = 10                     // entries told in one interval: 25 calls a second
	syncTimeout   = 700 * time.Millisecond
	longestPause  = 2 * time.Second // between tries of an entry that does not answer
	urgentTries   = 2
)

var (
	synced     = metrics.NewCounter("jacinthplank_mesh_syncs_total")
	syncFailed = metrics.NewCounter("jacinthplank_mesh_syncs_failed_total")
)

// Serve implements supervise.Duty: it tells every entry the news.
func (m *Mesh) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.mu.Lock()
			m.registry.Expire(time.Now())
			m.mu.Unlock()
			m.syncSome(ctx, round)
			round++
		case <-m.poke:
			m.syncSome(ctx, everyone)
		}
	}
}

// everyone is the round in which no entry is left out.
const everyone = -1

// syncSome starts a call to the entries whose turn it is, but for those that one
// is under way to. In a large fleet each has its turn in one of several rounds,
// so that the calls of one entry stay bounded; changes go to everyone at once.
func (m *Mesh) syncSome(ctx context.Context, round int) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	partners := m.partners(now)
	slices.SortFunc(partners, func(a, b *peer) int { return strings.Compare(a.name, b.name) })
	rounds := (len(partners) + syncsPerRound - 1) / syncsPerRound
	for i, p := range partners {
		if p.busy || now.Before(p.next) || (round != everyone && i%rounds != round%rounds) {
			continue
		}
		p.busy = true
		go m.syncOne(ctx, p)
	}
}

func (m *Mesh) syncOne(ctx context.Context, p *peer) {
	err := m.sync(ctx, p)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.busy = false
	if err == nil {
		return
	}
	pause := min(syncInterval<<min(p.failures, 4), longestPause)
	p.next = time.Now().Add(pause)
}

// sync tells one entry what it lacks and takes what it answers.
func (m *Mesh) sync(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	q, reached, address := m.news(p, time.Now()), m.position, p.address
	m.mu.Unlock()
	synced.Inc()
	a, err := call[syncRequest, syncResponse](ctx, m.client, address, procedureSync, q)
	if err != nil {
		syncFailed.Inc()
		m.lost(p, err)
		return err
	}
	m.mu.Lock()
	m.answeredBy(p, a.From, reached)
	m.mu.Unlock()
	m.heard(a.From)
	return nil
}

func (m *Mesh) lost(p *peer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.failures++
	if p.failures == 1 && !errors.Is(err, context.Canceled) {
		m.log.Warn("entry does not answer", "step", "mesh.sync", "peer", p.name, "error", err.Error())
	}
}

// answeredBy notes that a peer has the news. The caller holds the lock.
func (m *Mesh) answeredBy(p *peer, f facts, reached uint64) {
	if p.failures > 0 {
		m.log.Info("entry answers again", "step", "mesh.sync", "peer", p.name, "failures", p.failures)
	}
	p.failures = 0
	p.answered = time.Now()
	if p.facts.Incarnation != f.Incarnation && p.facts.Incarnation != 0 {
		// It started anew while the call was under way and knows nothing yet.
		p.told = 0
	} else {
		p.told = max(p.told, reached)
	}
	p.facts = f
}

// news is what a peer has not been told: everything at first, later only what
// this entry heard itself, since the others tell what they heard.
func (m *Mesh) news(p *peer, now time.Time) *syncRequest {
	q := &syncRequest{From: m.facts()}
	for _, h := range m.registry.All() {
		if m.marks[h.ID] <= p.told || (p.told > 0 && !m.heardHere[h.ID]) {
			continue
		}
		q.Announcements = append(q.Announcements, announcement{h.Endpoint, now.Sub(h.At).Milliseconds()})
	}
	return q
}

// facts of this entry. The caller holds the lock.
func (m *Mesh) facts() facts {
	f := m.core.facts()
	f.Name, f.Address, f.Incarnation = m.options.Name, m.options.Address, m.incarnation
	f.Document, f.Ready = m.document.Number, m.ready
	return f
}

func (m *Mesh) serveSync(_ context.Context, q *syncRequest) (*syncResponse, error) {
	now := time.Now()
	m.mu.Lock()
	news := make([]announce.Record, 0, len(q.Announcements))
	for _, a := range q.Announcements {
		news = append(news, announce.Record{Endpoint: a.Endpoint, At: now.Add(-time.Duration(a.AgeMs) * time.Millisecond)})
	}
	changed := m.takeAll(news, q.From.Name) > 0
	if p := m.peers[q.From.Name]; p != nil && q.From.Incarnation >= p.facts.Incarnation {
		p.facts = q.From
		p.answered = now
		p.next = time.Time{}
	}
	answer := &syncResponse{From: m.facts()}
	m.mu.Unlock()
	if changed && m.options.OnEndpointsChanged != nil {
		m.options.OnEndpointsChanged()
	}
	m.heard(q.From)
	return answer, nil
}

// take applies an announcement. The caller holds the lock.
func (m *Mesh) take(e announce.Endpoint, at time.Time, here bool) announce.ApplyResult {
	verdict := m.registry.Apply(e, at)
	if verdict == announce.Stale {
		return verdict
	}
	m.position++
	m.marks[e.ID] = m.position
	m.heardHere[e.ID] = here
	return verdict
}

// linesPerMessage bounds the log lines for one message of another entry: an entry
// that starts is told of every endpoint at once.
const linesPerMessage = 4

// takeAll applies the announcements that another entry passes on, and returns how
// many changed what is known. The caller holds the lock.
func (m *Mesh) takeAll(news []announce.Record, from string) int {
	var changed []announce.Record
	for _, h := range news {
		if m.take(h.Endpoint, h.At, false) == announce.Changed {
			changed = append(changed, h)
		}
	}
	if len(changed) > linesPerMessage {
		m.log.Info("endpoints announced", "step", "mesh.announce", "endpoints", len(changed), "from", from,
			"version", m.registry.Version())
		return len(changed)
	}
	for _, h := range changed {
		m.logAnnounced(h.Endpoint, h.At, from)
	}
	return len(changed)
}

// logAnnounced writes what an endpoint said; from is the entry that passed it on,
// empty when the endpoint said it here.
func (m *Mesh) logAnnounced(e announce.Endpoint, at time.Time, from string) {
	m.log.Info("endpoint announced", "step", "mesh.announce", "endpoint", e.ID, "service", e.Service,
		"address", e.Address, "state", e.State.String(), "born", e.StartedAtMs, "sequence", e.Sequence, "from", from,
		"age_ms", time.Since(at).Milliseconds())
}

// Announce takes what an endpoint says of itself. It returns once the entries
// that can be reached know of a change, so that the endpoint may rely on it.
func (m *Mesh) Announce(ctx context.Context, e announce.Endpoint) announce.ApplyResult {
	m.mu.Lock()
	verdict := m.take(e, time.Now(), true)
	m.mu.Unlock()
	if verdict != announce.Changed {
		return verdict
	}
	m.logAnnounced(e, time.Now(), "")
	if m.options.OnEndpointsChanged != nil {
		m.options.OnEndpointsChanged()
	}
	m.tellAll(ctx)
	return verdict
}

// tellAll tells the news to every entry and waits for their answers. One that
// does not answer is told by the regular calls later.
func (m *Mesh) tellAll(ctx context.Context) {
	m.mu.Lock()
	partners := m.partners(time.Now())
	m.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range partners {
		wait.Go(func() {
			for range urgentTries {
				if m.sync(ctx, p) == nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	wait.Wait()
}

// ReadyEndpoints returns the endpoints of a service that take work.
func (m *Mesh) ReadyEndpoints(service string) []announce.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Ready(service)
}

// IsLeaving reports whether an endpoint is known to take no more work.
func (m *Mesh) IsLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.registry.Get(id)
	return known && h.State != announce.Ready
}

// EndpointsVersion grows with every change of the endpoints.
func (m *Mesh) EndpointsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Version()
}
