package mesh

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// Times of bringing the document to an entry.
const (
	documentTimeout = 1500 * time.Millisecond // a document of some megabytes over a slow link
	confirmPause    = 200 * time.Millisecond  // between two questions to the quorum
	// unconfirmedAfter is when an entry that can't reach a quorum makes do with
	// the newest document that any entry has: the time in which a quorum forms
	// anew after all its members were killed, with some reserve.
	unconfirmedAfter = 3 * time.Second
)

// heard looks whether another entry has a newer document.
func (m *Mesh) heard(f facts) {
	m.core.learn(f)
	m.mu.Lock()
	want := f.Document > m.document.Number && !m.pulling && m.mayTakeUnconfirmed()
	if want {
		m.pulling = true
	}
	m.mu.Unlock()
	if want {
		go m.pull(f.Address)
	}
}

// mayTakeUnconfirmed reports whether a document of another entry may come into
// force: before the first one, a quorum has to say which is the newest. The
// caller holds the lock.
func (m *Mesh) mayTakeUnconfirmed() bool {
	return m.confirmed || time.Since(m.started) > unconfirmedAfter
}

func (m *Mesh) pull(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	m.mu.Lock()
	have := m.document.Number
	m.mu.Unlock()
	a, err := call[documentRequest, documentResponse](ctx, m.client, address, procedureDocument, &documentRequest{Have: have})
	m.mu.Lock()
	m.pulling = false
	m.mu.Unlock()
	if err != nil {
		m.log.Warn("no document from an entry that has a newer one", "step", "mesh.pull", "peer", address, "have", have, "error", err.Error())
		return
	}
	m.offer(a.Document, false)
}

func (m *Mesh) serveDocument(_ context.Context, q *documentRequest) (*documentResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.Have >= m.document.Number {
		return &documentResponse{Document: document.Document{Number: m.document.Number}}, nil
	}
	return &documentResponse{Document: m.document}, nil
}

// offer puts a document in force when it is newer than the one here.
func (m *Mesh) offer(d document.Document, confirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if confirmed && !m.confirmed {
		m.confirmed = true
		m.log.Info("configuration confirmed by a quorum", "step", "mesh.configuration", "number", d.Number)
	}
	if d.Number <= m.document.Number || len(d.Body) == 0 {
		return
	}
	before := m.document.Number
	m.document = d
	m.log.Info("configuration in force", "step", "mesh.configuration", "number", d.Number, "before", before, "confirmed", m.confirmed)
	if m.options.OnDocument != nil {
		m.options.OnDocument(d)
	}
	m.wake()
}

// Document returns the document in force here; number 0 for none.
func (m *Mesh) Document() document.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// confirm asks the quorum for the newest document until it has answered once.
func (m *Mesh) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		done := m.confirmed
		m.mu.Unlock()
		if done {
			return
		}
		try, cancel := context.WithTimeout(ctx, documentTimeout)
		d, err := m.Read(try)
		cancel()
		if err == nil {
			m.offer(d, true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmPause):
		}
	}
}
