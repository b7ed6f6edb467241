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

// Intervals and limits of rebalancing.
const (
	rebalanceInterval = time.Second
	orderTimeout      = 90 * time.Second // less than the lease on a weight store load token
	completedCapacity = 256              // completed orders not yet processed by the duty
)

// rebalancingDuty runs on control instances. On the quorum leader it orders
// endpoints to load and unload models. Orders are fenced: a leader that was
// replaced without noticing cannot obtain a fencing number, and its old numbers
// are rejected.
type rebalancingDuty struct {
	daemon    *Daemon
	planner   *rebalance.Planner
	completed *ring.Ring[string] // endpoints whose order has completed
}

func newRebalancingDuty(d *Daemon) *rebalancingDuty {
	return &rebalancingDuty{
		daemon:    d,
		planner:   rebalance.New(),
		completed: ring.New[string](completedCapacity, ring.DropOldest),
	}
}

// Name implements supervise.Duty.
func (r *rebalancingDuty) Name() string { return "rebalancing" }

// Serve implements supervise.Duty.
func (r *rebalancingDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case endpoint := <-r.completed.Items():
			r.planner.Done(time.Now(), endpoint)
		case now := <-ticker.C:
			r.issueOrders(ctx, now)
		}
	}
}

func (r *rebalancingDuty) issueOrders(ctx context.Context, now time.Time) {
	d := r.daemon
	status := d.control.Status()
	if !status.GetHasQuorum() || status.GetLeader() != d.settings.Instance.Name {
		r.planner = rebalance.New()
		return
	}
	c := d.store.Current()
	loadSlots := max(c.Limits.WeightStoreLoad, 1)
	for _, order := range r.planner.Next(now, desiredModels(c), engineEndpoints(d.directory), loadSlots) {
		go func() {
			r.executeOrder(ctx, order)
			r.completed.Put(order.Endpoint)
		}()
	}
}

// executeOrder executes one order and records its outcome.
func (r *rebalancingDuty) executeOrder(ctx context.Context, o rebalance.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.sendOrder(ctx, o)
	e := timeline.Event{Kind: timeline.KindOrder, Endpoint: o.Endpoint, Step: "control.rebalance", Detail: string(o.Kind) + " " + o.Target + ": " + o.Reason}
	if err != nil {
		e.Outcome = string(outcome.From(err).Code)
	}
	r.daemon.recorder.Record(e)
	r.daemon.log.Info("order", "endpoint", o.Endpoint, "kind", string(o.Kind), "target", o.Target, "reason", o.Reason, "outcome", e.Outcome)
}

// sendOrder sends one order with a fencing number from the quorum. An order that
// loads weights first acquires a weight store load token.
func (r *rebalancingDuty) sendOrder(ctx context.Context, o rebalance.Order) error {
	d := r.daemon
	member := d.directory.Get(o.Endpoint)
	if member == nil {
		return outcome.Refuse(outcome.CodeNoEndpoint, "control.rebalance", "endpoint %s has left the fleet", o.Endpoint)
	}
	budgets := control.Budgets{Client: d.quorum, Configuration: d.store.Current}
	if isLoad(o.Kind) {
		granted, _, err := budgets.AcquireLoadToken(ctx, o.Endpoint)
		if err != nil {
			return err
		}
		if !granted {
			return outcome.Refuse(outcome.CodeOverloaded, "control.rebalance", "the weight store has no free load slot")
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

func isLoad(kind engine.OrderKind) bool {
	return kind == engine.OrderLoadModel || kind == engine.OrderLoadAdapter
}

// desiredModels returns the models in the configuration under their engine names.
func desiredModels(c *fleet.Configuration) []rebalance.Model {
	var out []rebalance.Model
	for _, m := range c.Models {
		name := m.EngineName
		if name == "" {
			name = m.Name
		}
		out = append(out, rebalance.Model{Name: name, DesiredEndpoints: m.Endpoints, Adapters: m.Adapters})
	}
	return out
}

// engineEndpoints returns the endpoints in the directory that have an engine.
func engineEndpoints(dir *directory.Directory) []rebalance.Endpoint {
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
