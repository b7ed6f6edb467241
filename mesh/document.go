package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
)

// Timeouts and intervals of document distribution.
const (
	documentTimeout      = 1500 * time.Millisecond // enough for a document of several megabytes over a slow link
	confirmRetryInterval = 50 * time.Millisecond   // between two reads from the quorum
	referralDelay        = 30 * time.Millisecond   // before an entry that has yet to receive a document is asked again
	referralTimeout      = 500 * time.Millisecond  // of a call to an entry named by another one, which may be frozen
	maxPolls             = 4                       // of entries that have yet to receive a document
	maxReferrals         = 6                       // a tree of maxCopies branches of this depth reaches thousands of entries
	// confirmWait is how long an entry that can't reach a quorum waits before it
	// applies the newest document of any entry: the time a quorum takes to re-form
	// after all its members were killed, plus a margin.
	confirmWait = 3 * time.Second
	// recoveredConfirmWait is the same while a log of this entry holds orders, or a log of any
	// entry holds a newer document, which can't be applied without a quorum: an acknowledged one
	// may be among them. After it, the fleet has to serve again even if the majority is lost for
	// good; requests are due 12 s after the machines are back.
	recoveredConfirmWait = 10 * time.Second
)

var (
	documentsFetchedTotal = metrics.NewCounter("jacinthplank_mesh_documents_fetched_total")
	documentBytesTotal    = metrics.NewCounter("jacinthplank_mesh_document_bytes_total")
	documentReferrals     = metrics.NewCounter("jacinthplank_mesh_document_referrals_total")
)

// handleFacts applies the sender's evacuated domains and starts a fetch of the document if
// the sender has newer ones.
func (m *Mesh) handleFacts(f facts) {
	m.quorum.addresses.note(f)
	m.quorum.mergeFacts(f)
	m.applyEvacuations(f.Evacuations)
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.Document > m.newest.Document {
		m.newest = f
	}
	m.startFetch()
}

// startFetch fetches the newest document known unless a fetch is in progress. The caller
// holds the lock.
func (m *Mesh) startFetch() {
	if m.newest.Document <= m.document.Number || m.fetchingDocument || !m.mayApply(m.newest.Document) {
		return
	}
	m.fetchingDocument = true
	go m.fetchNewest(m.newest.Address)
}

// mayApply reports whether the document of a number may come into force on this entry. After a
// start, a quorum must first say which document is the newest, or confirmWait must have passed,
// or recoveredConfirmWait. The caller holds the lock.
func (m *Mesh) mayApply(number uint64) bool {
	wait := confirmWait
	if m.recoveredOrders || number < m.newestRecovered() {
		wait = recoveredConfirmWait
	}
	return m.confirmed || time.Since(m.startedAt) > wait
}

// newestRecovered returns the highest number of a document that this entry or another one found
// in its log, where it may be committed. The caller holds the lock.
func (m *Mesh) newestRecovered() uint64 {
	newest := m.recoveredDocument
	for _, p := range m.peers {
		newest = max(newest, p.facts.Recovered)
	}
	return newest
}

// noteRecovered records a command that the log on this disk held at the start, and which may
// not be committed.
func (m *Mesh) noteRecovered(command []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if evacuation.IsCommand(command) {
		m.recoveredOrders = true
		return
	}
	if number, isPut := document.PutNumber(command); isPut {
		m.recoveredDocument = max(m.recoveredDocument, number)
	}
}

// fetchNewest fetches and applies a newer document from an entry, and a newer one that
// was made known meanwhile.
func (m *Mesh) fetchNewest(address string) {
	have := m.Document()
	d, err := m.fetchDocument(context.Background(), address, have, have.Number+1)
	if err == nil && !m.applyUnconfirmed(d) {
		err = errAwaitsConfirmation
	}
	if err != nil {
		m.log.Warn("fetching a newer configuration document from an entry failed", "step", "mesh.pull", "peer", address, "have", have.Number, "error", err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetchingDocument = false
	if err != nil {
		m.newest = facts{} // the next sync names an entry that answers
		return
	}
	m.startFetch()
}

// fetchDocument fetches a document of at least a number, which is higher than that of have,
// from an entry or from those to which it refers.
func (m *Mesh) fetchDocument(ctx context.Context, origin string, have document.Document, atLeast uint64) (document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	address, insist, polls := origin, false, 0
	for try := 0; ; try++ {
		req := &documentRequest{Have: have.Number, Address: m.options.Address, Insist: insist}
		resp, err := m.requestDocument(ctx, address, address != origin, req)
		insist = try >= maxReferrals
		switch {
		case err != nil && address == origin:
			return document.Document{}, err
		case err != nil:
			// The entry to which the origin referred doesn't answer.
			address, insist = origin, true
		case len(resp.Elsewhere) > 0:
			documentReferrals.Inc()
			address = resp.Elsewhere[0]
		case resp.Number >= atLeast:
			documentsFetchedTotal.Inc()
			documentBytesTotal.Add(len(resp.Encoded))
			return resp.decode(have)
		case address == origin:
			return document.Document{}, fmt.Errorf("entry has only version %d, need %d", resp.Number, atLeast)
		default:
			// The entry itself is still receiving the document.
			if polls++; polls >= maxPolls {
				address, insist = origin, true
			}
			select {
			case <-ctx.Done():
				return document.Document{}, context.Cause(ctx)
			case <-time.After(referralDelay):
			}
		}
	}
}

// requestDocument asks an entry for a document.
func (m *Mesh) requestDocument(ctx context.Context, address string, isReferral bool, req *documentRequest) (*documentResponse, error) {
	if isReferral {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, referralTimeout)
		defer cancel()
	}
	return call[documentRequest, documentResponse](ctx, m.client, address, procedureDocument, req)
}

// serveDocument sends the newest document stored here. It is committed, but may not be in
// force on this entry while no quorum has confirmed that it is the newest.
func (m *Mesh) serveDocument(_ context.Context, req *documentRequest) (*documentResponse, error) {
	m.source.add(m.localDocument())
	return m.source.response(req)
}

// applyDocument applies a document that is newer than the current one.
func (m *Mesh) applyDocument(d document.Document, confirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if confirmed && !m.confirmed {
		m.confirmed = true
		configurationUnconfirmed.Set(0)
		m.log.Info("configuration confirmed by a quorum", "step", "mesh.configuration", "number", d.Number)
	}
	if d.Number <= m.document.Number || len(d.Body) == 0 {
		return
	}
	before := m.document.Number
	m.document = d
	m.source.add(d)
	m.reportInForce(d, before)
	if m.options.OnDocument != nil {
		m.options.OnDocument(d)
	}
	m.notifyShare()
}

// errAwaitsConfirmation means that a document waits until a quorum says which one is the newest.
var errAwaitsConfirmation = errors.New("the document awaits the confirmation of a quorum")

// applyUnconfirmed applies a document that no read from the quorum confirmed since the start.
// It reports whether this entry needn't wait for that.
func (m *Mesh) applyUnconfirmed(d document.Document) bool {
	m.mu.Lock()
	allowed := m.mayApply(d.Number)
	m.mu.Unlock()
	if allowed {
		m.applyDocument(d, false)
	}
	return allowed
}

// Document returns the document in force on this entry; its number is 0 if there is none.
func (m *Mesh) Document() document.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// confirmDocument reads from the quorum which document is the newest and fetches it,
// with retries until that succeeds.
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
