package mesh

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// Timeouts and intervals of document distribution.
const (
	documentTimeout      = 1500 * time.Millisecond // enough for a document of several megabytes over a slow link
	confirmRetryInterval = 50 * time.Millisecond   // between two reads from the quorum
	// confirmWait is how long an entry that can't reach a quorum waits before it
	// applies the newest document of any entry: the time a quorum takes to re-form
	// after all its members were killed, plus a margin.
	confirmWait = 3 * time.Second
)

// handleFacts starts a fetch of the document if the sender has a newer one.
func (m *Mesh) handleFacts(f facts) {
	m.quorum.mergeFacts(f)
	m.mu.Lock()
	fetch := f.Document > m.document.Number && !m.fetchingDocument && m.mayApplyUnconfirmed()
	if fetch {
		m.fetchingDocument = true
	}
	m.mu.Unlock()
	if fetch {
		go m.fetchDocument(f.Address)
	}
}

// mayApplyUnconfirmed reports whether a document may be applied without
// confirmation by a quorum. After a start, a quorum must first say which document
// is the newest, or confirmWait must have passed. The caller holds the lock.
func (m *Mesh) mayApplyUnconfirmed() bool {
	return m.confirmed || time.Since(m.startedAt) > confirmWait
}

func (m *Mesh) fetchDocument(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	m.mu.Lock()
	have := m.document.Number
	m.mu.Unlock()
	resp, err := call[documentRequest, documentResponse](ctx, m.client, address, procedureDocument, &documentRequest{Have: have})
	m.mu.Lock()
	m.fetchingDocument = false
	m.mu.Unlock()
	if err != nil {
		m.log.Warn("fetching a newer configuration document from an entry failed", "step", "mesh.pull", "peer", address, "have", have, "error", err.Error())
		return
	}
	m.applyDocument(resp.Document, false)
}

func (m *Mesh) serveDocument(_ context.Context, req *documentRequest) (*documentResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.Have >= m.document.Number {
		return &documentResponse{Document: document.Document{Number: m.document.Number}}, nil
	}
	return &documentResponse{Document: m.document}, nil
}

// applyDocument applies a document that is newer than the current one.
func (m *Mesh) applyDocument(d document.Document, confirmed bool) {
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
	m.triggerSync()
}

// Document returns the document in force on this entry; its number is 0 if there is none.
func (m *Mesh) Document() document.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// confirmDocument reads the newest document from the quorum, with retries until one
// read succeeds.
func (m *Mesh) confirmDocument(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		done := m.confirmed
		m.mu.Unlock()
		if done {
			return
		}
		attemptCtx, cancel := context.WithTimeout(ctx, documentTimeout)
		d, err := m.Read(attemptCtx)
		cancel()
		if err == nil {
			m.applyDocument(d, true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryInterval):
		}
	}
}
