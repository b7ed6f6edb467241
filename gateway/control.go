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

// Control is what operators and endpoints ask of a gateway.
type Control interface {
	// Put brings a configuration into force. A nil error means that it, or a
	// higher version, is on the disks of a majority.
	Put(ctx context.Context, body []byte) error
	// Get returns the newest configuration, as a majority confirms it.
	Get(ctx context.Context) ([]byte, error)
	// Announce takes what an endpoint says of itself.
	Announce(ctx context.Context, id string, body []byte) error
	// Leave takes an endpoint's good-bye.
	Leave(ctx context.Context, id string, body []byte) error
}

// controlTimeout bounds a change or a read: operators ask the next entry after
// a second.
const controlTimeout = 900 * time.Millisecond

// announceTimeout bounds the time in which the other entries are told: an
// endpoint counts an answer after a second as lost.
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
		"in_force", answer.Number, "took_ms", time.Since(started).Milliseconds(), "error", text(err))
	switch {
	case errors.Is(err, mesh.ErrOutcomeUnknown):
		return outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "gateway.put", err)
	case err != nil:
		return outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, "gateway.put", err)
	case answer.Verdict == document.Conflict:
		return outcome.Refuse(outcome.CodeConflict, "gateway.put", "version %d is in force with another content", table.Version)
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
		return nil, outcome.Fail(outcome.CodeNotFound, outcome.NotRun, "gateway.get", errors.New("there is no configuration yet"))
	}
	return d.Body, nil
}

// Announce implements Control.
func (g *Gateway) Announce(ctx context.Context, id string, body []byte) error {
	e, err := g.dialect.DecodeAnnouncement(id, body)
	if err != nil {
		return g.unreadable(err)
	}
	return g.announce(ctx, e)
}

// Leave implements Control.
func (g *Gateway) Leave(ctx context.Context, id string, body []byte) error {
	e, err := g.dialect.DecodeLeave(id, body)
	if err != nil {
		return g.unreadable(err)
	}
	return g.announce(ctx, e)
}

func (g *Gateway) unreadable(err error) error {
	g.log.Warn("announcement refused", "step", "gateway.announce", "error", err.Error())
	return outcome.Refuse(outcome.CodeInvalidRequest, "gateway.announce", "%s", err.Error())
}

func (g *Gateway) announce(ctx context.Context, e announce.Endpoint) error {
	// The others are told even when the endpoint does not wait for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	verdict := g.mesh.Announce(ctx, e)
	if verdict == announce.Stale {
		g.log.Info("announcement out of date", "step", "gateway.announce", "endpoint", e.ID, "address", e.Address,
			"state", e.State.String(), "born", e.StartedAtMs, "sequence", e.Sequence)
	}
	return nil
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprint(err)
}
