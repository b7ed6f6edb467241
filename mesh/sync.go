package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
)

// Intervals and limits of calls between entries.
const (
	syncInterval        = 400 * time.Millisecond // a fifth of the time within which a change must take effect everywhere
	maxSyncsPerInterval = 10                     // peers called in one interval, which makes 25 calls a second
	syncTimeout         = 700 * time.Millisecond
	maxSyncBackoff      = 2 * time.Second // between attempts to reach an entry that does not answer
)

var (
	syncsTotal  = metrics.NewCounter("jacinthplank_mesh_syncs_total")
	syncsFailed = metrics.NewCounter("jacinthplank_mesh_syncs_failed_total")
)

// Serve implements supervise.Duty. It syncs updates to every entry.
func (m *Mesh) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	defer time.AfterFunc(maxCatchUp, func() { m.setCaughtUp("no other entry told its endpoints") }).Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.mu.Lock()
			m.registry.Expire(time.Now())
			m.notePause(time.Now())
			m.mu.Unlock()
			m.syncPeers(ctx, round)
			round++
		case <-m.syncTrigger:
			m.syncPeers(ctx, dueOnly)
		}
	}
}

// dueOnly is the round that includes only peers that are due.
const dueOnly = -1

// syncPeers starts a sync with each peer whose turn it is, or that is due, and that has
// none in progress. In a large fleet the peers are spread over several rounds, which
// bounds the call rate of one entry.
func (m *Mesh) syncPeers(ctx context.Context, round int) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := m.sortedPeers(now)
	rounds := syncRounds(len(peers))
	for i, p := range peers {
		hasTurn := round != dueOnly && i%rounds == round%rounds
		if p.syncing || now.Before(p.nextSync) || !(hasTurn || p.due) {
			continue
		}
		p.syncing, p.due = true, false
		go m.syncPeer(ctx, p)
	}
}

// sortedPeers returns the entries to sync with by name. The caller holds the lock.
func (m *Mesh) sortedPeers(now time.Time) []*peer {
	peers := m.activePeers(now)
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.name, b.name) })
	return peers
}

// syncRounds returns the number of rounds after which each peer had its turn.
func syncRounds(peers int) int {
	return max((peers+maxSyncsPerInterval-1)/maxSyncsPerInterval, 1)
}

// SyncTurn returns the time within which this entry syncs with each other one.
func (m *Mesh) SyncTurn() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(syncRounds(len(m.activePeers(time.Now())))) * syncInterval
}

// maxPromptSyncs bounds the peers that are synced at once after a change that they learn
// from others too.
const maxPromptSyncs = maxSyncsPerInterval

// notify makes peers due, at most limit of them. The caller holds the lock.
func (m *Mesh) notify(peers []*peer, limit int) {
	for _, i := range rand.Perm(len(peers))[:min(limit, len(peers))] {
		peers[i].due = true
	}
	select {
	case m.syncTrigger <- struct{}{}:
	default:
	}
}

// notifyShare tells other entries of a new document. Every member of the quorum learns
// it from the log and tells an equal share of the other entries; who is missed asks
// others in its periodic syncs. The caller holds the lock.
func (m *Mesh) notifyShare() {
	members, own := m.quorum.liveMembers()
	if own < 0 {
		return
	}
	var share []*peer
	others := 0
	for _, p := range m.sortedPeers(time.Now()) {
		if slices.Contains(members, p.name) {
			continue
		}
		if others%len(members) == own {
			share = append(share, p)
		}
		others++
	}
	m.notify(share, len(share))
}

func (m *Mesh) syncPeer(ctx context.Context, p *peer) {
	_, err := m.sync(ctx, p)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.syncing = false
	if err == nil {
		return
	}
	backoff := min(syncInterval<<min(p.failures, 4), maxSyncBackoff)
	p.nextSync = time.Now().Add(backoff)
}

// sync sends a peer the updates that it lacks and applies the facts in its response. It returns
// this entry's updateSeq up to which it sent them.
func (m *Mesh) sync(ctx context.Context, p *peer) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	req, seq, address, starts := m.pendingUpdates(p, time.Now()), m.updateSeq, p.address, p.starts
	m.mu.Unlock()
	syncsTotal.Inc()
	resp, err := call[syncRequest, syncResponse](ctx, m.client, address, procedureSync, req)
	if err != nil {
		syncsFailed.Inc()
		m.recordFailure(p, err)
		return seq, err
	}
	m.mu.Lock()
	m.recordResponse(p, resp.From, seq, starts)
	m.mu.Unlock()
	m.handleFacts(resp.From)
	m.pullIfDifferent(resp.From)
	return seq, nil
}

func (m *Mesh) recordFailure(p *peer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.failures++
	if p.failures == 1 && !errors.Is(err, context.Canceled) {
		m.log.Warn("entry does not answer", "step", "mesh.sync", "peer", p.name, "error", err.Error())
	}
}

// recordResponse records that a peer has the updates up to seq, by a response to a call that began
// after so many starts. The caller holds the lock.
func (m *Mesh) recordResponse(p *peer, f facts, seq uint64, starts int) {
	if p.failures > 0 {
		m.log.Info("entry answers again", "step", "mesh.sync", "peer", p.name, "failures", p.failures)
	}
	p.failures = 0
	p.lastResponse = time.Now()
	if p.starts != starts {
		// It may be of the earlier process, and the updates that this one had were left out.
		if f.Incarnation > p.facts.Incarnation {
			p.facts = f
		}
		return
	}
	if p.facts.Incarnation != f.Incarnation && p.facts.Incarnation != 0 {
		// The peer restarted during the call and has no updates yet.
		p.syncedSeq = 0
		p.starts++
	} else {
		p.syncedSeq = max(p.syncedSeq, seq)
	}
	p.facts = f
	p.outbox.confirm(seq)
}

// pendingUpdates returns the request with the updates that a peer lacks of endpoints
// that announced themselves to this entry. The other entries pass on their own, and an
// entry that has just started fetches all from one of them.
func (m *Mesh) pendingUpdates(p *peer, now time.Time) *syncRequest {
	req := &syncRequest{From: m.facts()}
	for _, h := range m.registry.All() {
		if m.endpointSeqs[h.ID] <= p.syncedSeq || !m.receivedDirectly[h.ID] {
			continue
		}
		req.Announcements = append(req.Announcements, newAnnouncement(h, now))
	}
	return req
}

// facts returns this entry's facts. The caller holds the lock.
func (m *Mesh) facts() facts {
	f := m.quorum.facts()
	f.Name, f.Address, f.Incarnation = m.options.Name, m.options.Address, m.incarnation
	f.Document, f.Ready, f.Endpoints = m.document.Number, m.isReady(), m.digest.of(m.registry)
	f.Evacuations = m.evacuated
	if !m.confirmed {
		f.Recovered = m.recoveredDocument
	}
	f.CaughtUp = m.restored || m.IsCaughtUp()
	return f
}

func (m *Mesh) serveSync(_ context.Context, req *syncRequest) (*syncResponse, error) {
	now := time.Now()
	m.mu.Lock()
	changed := m.applyAnnouncements(m.recordsOf(req.Announcements, req.From.Name), req.From.Name)
	if p := m.peers[req.From.Name]; p != nil && req.From.Incarnation >= p.facts.Incarnation {
		p.facts = req.From
		p.lastResponse = now
		p.nextSync = time.Time{}
	}
	resp := &syncResponse{From: m.facts()}
	m.mu.Unlock()
	m.endpointsChanged(changed)
	m.handleFacts(req.From)
	return resp, nil
}

// applyAnnouncement applies an announcement; direct is set if the endpoint made it
// to this entry. The caller holds the lock.
func (m *Mesh) applyAnnouncement(e announce.Endpoint, at time.Time, direct bool) announce.ApplyResult {
	previous, known := m.registry.Get(e.ID)
	result := m.registry.Apply(e, at)
	if result == announce.Stale {
		return result
	}
	if known && (e.State == announce.Left || e.StartedAtMs != previous.StartedAtMs) && m.options.OnEndpointRunEnded != nil {
		m.options.OnEndpointRunEnded(e.ID)
	}
	isCopy := result == announce.Refreshed && !direct && e.Sequence == previous.Sequence
	if !isCopy {
		m.updateSeq++
		m.endpointSeqs[e.ID] = m.updateSeq
		m.receivedDirectly[e.ID] = direct
	}
	return result
}

// maxLinesPerMessage bounds the log lines for one message of another entry, because
// an entry that starts receives every endpoint at once.
const maxLinesPerMessage = 4

// applyAnnouncements applies announcements forwarded by another entry and returns
// how many changed an endpoint. The caller holds the lock.
func (m *Mesh) applyAnnouncements(records []announce.Record, from string) int {
	var changed []announce.Record
	for _, h := range records {
		if m.applyAnnouncement(h.Endpoint, h.At, false) == announce.Changed {
			changed = append(changed, h)
		}
	}
	if len(changed) > maxLinesPerMessage {
		m.log.Info("endpoints announced", "step", "mesh.announce", "endpoints", len(changed), "from", from,
			"version", m.registry.Version())
		return len(changed)
	}
	for _, h := range changed {
		m.logAnnouncement(h.Endpoint, h.At, from)
	}
	return len(changed)
}

// logAnnouncement logs an announcement; from is the entry that forwarded it, empty
// if the endpoint made it to this entry.
func (m *Mesh) logAnnouncement(e announce.Endpoint, at time.Time, from string) {
	m.log.Info("endpoint announced", "step", "mesh.announce", "endpoint", e.ID, "service", e.Service,
		"address", e.Address, "state", e.State.String(), "born", e.StartedAtMs, "sequence", e.Sequence, "from", from,
		"age_ms", time.Since(at).Milliseconds())
}

// Announce applies an announcement made to this entry. After a change to a state in which
// the endpoint takes no requests, or fewer, it returns once the reachable entries know of it,
// so that the endpoint may rely on it. They learn of a new endpoint soon afterwards.
func (m *Mesh) Announce(ctx context.Context, e announce.Endpoint) announce.ApplyResult {
	result, takesFewer := m.applyOwn(e)
	if result != announce.Changed {
		return result
	}
	m.logAnnouncement(e, time.Now(), "")
	if m.options.OnEndpointsChanged != nil {
		m.options.OnEndpointsChanged()
	}
	if !takesFewer {
		m.passOnSoon()
		return result
	}
	select {
	case <-m.deliverToAll().done:
	case <-ctx.Done():
	}
	return result
}

// passOnInterval is the minimum time between two rounds of calls to all peers that pass on
// new endpoints. When a fleet starts, each entry hears of many within a second.
const passOnInterval = time.Second

// passOnSoon makes all peers due, at once or when passOnInterval has passed since it last
// did.
func (m *Mesh) passOnSoon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.passingOn {
		return
	}
	m.passingOn = true
	time.AfterFunc(time.Until(m.nextPassOn), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.passingOn, m.nextPassOn = false, time.Now().Add(passOnInterval)
		peers := m.activePeers(time.Now())
		m.notify(peers, len(peers))
	})
}

// Endpoint returns the latest announcement of an endpoint, and false if it is unknown.
func (m *Mesh) Endpoint(id string) (announce.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Get(id)
}

// RunOf returns the run of an endpoint that is known now.
func (m *Mesh) RunOf(id string) announce.Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, _ := m.registry.Get(id)
	return announce.Run{ID: id, StartedAtMs: h.StartedAtMs}
}

// MarkLeaving records that a run of an endpoint, which announces itself as ready, accepts
// no more requests, and tells the other entries. It reports whether that is new; a
// statement about an earlier run than the one known is not.
func (m *Mesh) MarkLeaving(run announce.Run) bool {
	m.mu.Lock()
	h, known := m.registry.Get(run.ID)
	isNew := known && h.State == announce.Ready && h.StartedAtMs == run.StartedAtMs
	if isNew {
		h.State = announce.Draining
		m.applyAnnouncement(h.Endpoint, time.Now(), true)
	}
	m.mu.Unlock()
	if !isNew {
		return false
	}
	m.log.Info("endpoint states that it leaves", "step", "mesh.leaving", "endpoint", h.ID, "service", h.Service,
		"address", h.Address, "born", h.StartedAtMs)
	m.endpointsChanged(1)
	m.deliverToAll()
	return true
}
