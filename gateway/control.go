package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Control is the gateway API for operators and endpoints.
type Control interface {
	// Put activates a configuration. A nil error means that it, or a higher
	// version, is persisted on a majority.
	Put(ctx context.Context, body []byte) error
	// Get returns the latest configuration confirmed by a majority.
	Get(ctx context.Context) ([]byte, error)
	// Announce processes an endpoint's announcement.
	Announce(ctx context.Context, id string, body []byte) error
	// Leave processes an endpoint's notice that it is leaving.
	Leave(ctx context.Context, id string, body []byte) error
	// Evacuate orders that the endpoints of a failure domain receive no further requests,
	// and EndEvacuation revokes the order. A nil error means that the order is persisted on
	// a majority. An unknown domain fails with outcome.CodeUnknownDomain.
	Evacuate(ctx context.Context, domain string) error
	EndEvacuation(ctx context.Context, domain string) error
}

// controlTimeout limits a configuration write or read, or an evacuation order. Operators try the next entry
// after 1 s.
const controlTimeout = 900 * time.Millisecond

// announceTimeout limits the propagation of an announcement to the other entries.
// Endpoints treat a response after 1 s as lost.
const announceTimeout = 800 * time.Millisecond

// Put implements Control.
func (g *Gateway) Put(ctx context.Context, body []byte) error {
	started := time.Now()
	table, err := g.dialect.DecodeConfiguration(body)
	if err != nil {
		g.log.Warn("configuration refused", "step", "gateway.put", "error", err.Error())
		e := outcome.Refuse(outcome.CodeInvalidRequest, "gateway.put", "%s", err.Error())
		return e
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := g.mesh.Put(ctx, document.Document{Number: table.Version, Body: body})
	g.log.Info("configuration put", "step", "gateway.put", "version", table.Version, "verdict", string(answer.Verdict),
		"in_force", answer.Number, "took_ms", time.Since(started).Milliseconds(), "error", errorText(err))
	switch {
	case errors.Is(err, mesh.ErrOutcomeUnknown):
		return outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "gateway.put", err)
	case err != nil:
		return outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, "gateway.put", err)
	case answer.Verdict == document.Conflict:
		return outcome.Refuse(outcome.CodeConflict, "gateway.put", "version %d is already active with different content", table.Version)
	default:
		return nil
	}
}

// Get implements Control.
func (g *Gateway) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	d, err := g.mesh.Read(ctx)
	if err != nil {
		return nil, outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, "gateway.get", err)
	}
	if len(d.Body) == 0 {
		return nil, outcome.Fail(outcome.CodeNotFound, outcome.NotRun, "gateway.get", errors.New("no configuration has been stored yet"))
	}
	return d.Body, nil
}

// Announce implements Control.
func (g *Gateway) Announce(ctx context.Context, id string, body []byte) error {
	e, err := g.dialect.DecodeAnnouncement(id, body)
	if err != nil {
		return g.rejectAnnouncement(err)
	}
	return g.announce(ctx, e)
}

// Leave implements Control.
func (g *Gateway) Leave(ctx context.Context, id string, body []byte) error {
	e, err := g.dialect.DecodeLeave(id, body)
	if err != nil {
		return g.rejectAnnouncement(err)
	}
	return g.announce(ctx, e)
}

func (g *Gateway) rejectAnnouncement(err error) error {
	g.log.Warn("announcement refused", "step", "gateway.announce", "error", err.Error())
	return outcome.Refuse(outcome.CodeInvalidRequest, "gateway.announce", "%s", err.Error())
}

func (g *Gateway) announce(ctx context.Context, e announce.Endpoint) error {
	// Propagation continues even if the endpoint disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	verdict := g.mesh.Announce(ctx, e)
	if verdict == announce.Stale {
		g.log.Info("announcement out of date", "step", "gateway.announce", "endpoint", e.ID, "address", e.Address,
			"state", e.State.String(), "born", e.StartedAtMs, "sequence", e.Sequence)
	}
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprint(err)
}
