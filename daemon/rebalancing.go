package daemon

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/rebalance"
	"github.com/jacinthplank/jacinthplank/ring"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Times of rebalancing.
const (
	rebalanceInterval = time.Second
	orderTimeout      = 90 * time.Second // below the lease of a load from the weight store
	doneCapacity      = 256              // outcomes that wait for the duty
)

// rebalancing is the duty of a control instance that, while it leads the quorum,
// orders endpoints to load and unload models. What it orders is fenced: a leader
// that was replaced unawares gets no number, and its old numbers are refused.
type rebalancing struct {
	daemon  *Daemon
	planner *rebalance.Planner
	done    *ring.Ring[string] // endpoints whose order has an outcome
}

func newRebalancing(d *Daemon) *rebalancing {
	return &rebalancing{
		daemon:  d,
		planner: rebalance.New(),
		done:    ring.New[string](doneCapacity, ring.DropOldest),
	}
}

// Name implements supervise.Duty.
func (r *rebalancing) Name() string { return "rebalancing" }

// Serve implements supervise.Duty.
func (r *rebalancing) Serve(ctx context.Context) error {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case endpoint := <-r.done.Items():
			r.planner.Done(time.Now(), endpoint)
		case now := <-ticker.C:
			r.decide(ctx, now)
		}
	}
}

func (r *rebalancing) decide(ctx context.Context, now time.Time) {
	d := r.daemon
	status := d.control.Status()
	if !status.GetHasQuorum() || status.GetLeader() != d.settings.Instance.Name {
		r.planner = rebalance.New()
		return
	}
	c := d.store.Current()
	room := max(c.Limits.WeightStoreLoad, 1)
	for _, order := range r.planner.Next(now, wantedModels(c), engines(d.directory), room) {
		go func() {
			r.carryOut(ctx, order)
			r.done.Put(order.Endpoint)
		}()
	}
}

// carryOut gives one order, with a share of the weight store and a fencing
// number from the quorum.
func (r *rebalancing) carryOut(ctx context.Context, o rebalance.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.order(ctx, o)
	e := timeline.Event{Kind: timeline.KindOrder, Endpoint: o.Endpoint, Step: "control.rebalance", Detail: string(o.Kind) + " " + o.Target + ": " + o.Reason}
	if err != nil {
		e.Outcome = string(outcome.From(err).Code)
	}
	r.daemon.recorder.Record(e)
	r.daemon.log.Info("order", "endpoint", o.Endpoint, "kind", string(o.Kind), "target", o.Target, "reason", o.Reason, "outcome", e.Outcome)
}

func (r *rebalancing) order(ctx context.Context, o rebalance.Order) error {
	d := r.daemon
	member := d.directory.Get(o.Endpoint)
	if member == nil {
		return outcome.Refuse(outcome.CodeNoEndpoint, "control.rebalance", "%s has left", o.Endpoint)
	}
	budgets := control.Budgets{Client: d.quorum, Configuration: d.store.Current}
	if loads(o.Kind) {
		granted, _, err := budgets.AcquireLoadToken(ctx, o.Endpoint)
		if err != nil {
			return err
		}
		if !granted {
			return outcome.Refuse(outcome.CodeOverloaded, "control.rebalance", "the weight store has no room")
		}
		defer func() { _ = budgets.ReleaseLoadToken(context.WithoutCancel(ctx), o.Endpoint) }()
	}
	fence, err := d.quorum.NextFence(ctx, o.Endpoint)
	if err != nil {
		return err
	}
	client := d.network.endpoint(o.Endpoint, member.Address)
	return client.Order(ctx, engine.Order{Kind: o.Kind, Target: o.Target, Fence: fence})
}

func loads(kind engine.OrderKind) bool {
	return kind == engine.OrderLoadModel || kind == engine.OrderLoadAdapter
}

// wantedModels is what the configuration wants, by the engines' own names.
func wantedModels(c *fleet.Configuration) []rebalance.Model {
	var out []rebalance.Model
	for _, m := range c.Models {
		name := m.EngineName
		if name == "" {
			name = m.Name
		}
		out = append(out, rebalance.Model{Name: name, Want: m.Endpoints, Adapters: m.Adapters})
	}
	return out
}

// engines are the endpoints with an engine, as this daemon knows them.
func engines(dir *directory.Directory) []rebalance.Endpoint {
	var out []rebalance.Endpoint
	for _, m := range dir.All() {
		if m.Service != "" {
			continue
		}
		out = append(out, rebalance.Endpoint{
			Name:          m.Name,
			FailureDomain: m.FailureDomain,
			Models:        m.Models,
			Adapters:      m.Adapters,
			Running:       m.Report().Running,
			Leaving:       m.Leaving(),
		})
	}
	return out
}
