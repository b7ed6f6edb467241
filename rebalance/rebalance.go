// Package rebalance decides which endpoints load or unload models and adapters, so
// that every model has the number of endpoints that the configuration asks for.
//
// To avoid flapping, a shortage must persist before an order is made, an endpoint
// gets no new order for a cooldown period after the last one, and no model drops
// below its desired number of endpoints. The package does no I/O; the caller that
// executes the orders assigns their fencing numbers and their share of the weight
// store.
package rebalance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Delays that prevent flapping, and the timeout of orders.
const (
	ShortageDelay = 10 * time.Second // time a shortage must persist before a model is loaded
	SurplusDelay  = 2 * time.Minute  // time a surplus must persist before a model is unloaded
	OrderCooldown = 30 * time.Second // minimum time from the end of an order to the next order to the same endpoint
	OrderTimeout  = 3 * time.Minute  // time after which an order without an outcome is dropped
)

// Model is the desired state of one model in the configuration.
type Model struct {
	Name             string // name that the engines use
	DesiredEndpoints int    // number of endpoints
	Adapters         []string
}

// Endpoint is the observed state of one endpoint with an engine.
type Endpoint struct {
	Name          string
	FailureDomain string
	Models        []string
	Adapters      []string
	Running       int // attempts running on the engine
	Leaving       bool
}

// Order is one order to an endpoint, without its fencing number.
type Order struct {
	Endpoint string
	Kind     engine.OrderKind
	Target   string
	Reason   string // recorded in the timeline
}

// Planner tracks shortages, surpluses and orders in progress. It is not safe for
// concurrent use.
type Planner struct {
	shortSince   map[string]time.Time // by model, start of its shortage of endpoints
	surplusSince map[string]time.Time // by model, start of its surplus of endpoints
	pending      map[string]pending   // by endpoint, the order in progress
	lastOrderEnd map[string]time.Time // by endpoint, the end of its last order
}

type pending struct {
	order Order
	since time.Time
}

// New returns a planner without any observations.
func New() *Planner {
	return &Planner{
		shortSince:   map[string]time.Time{},
		surplusSince: map[string]time.Time{},
		pending:      map[string]pending{},
		lastOrderEnd: map[string]time.Time{},
	}
}

// Next returns the orders to execute now, so that at most maxPending are in
// progress. An order is in progress until Done is called.
func (p *Planner) Next(now time.Time, models []Model, endpoints []Endpoint, maxPending int) []Order {
	p.expireOrders(now)
	v := newFleetView(models, endpoints, p.pending)
	p.observe(now, v)
	var orders []Order
	for _, decide := range []func(time.Time, *fleetView) (Order, bool){p.loadShortModel, p.loadMissingAdapter, p.unloadSurplusModel} {
		for len(p.pending) < maxPending {
			order, ok := decide(now, v)
			if !ok {
				break
			}
			p.pending[order.Endpoint] = pending{order, now}
			v.apply(order)
			orders = append(orders, order)
		}
	}
	return orders
}

// Done records that the order to an endpoint ended, successfully or not.
func (p *Planner) Done(now time.Time, endpoint string) {
	delete(p.pending, endpoint)
	p.lastOrderEnd[endpoint] = now
}

// expireOrders drops orders without an outcome after OrderTimeout.
func (p *Planner) expireOrders(now time.Time) {
	for name, o := range p.pending {
		if now.Sub(o.since) > OrderTimeout {
			p.Done(now, name)
		}
	}
}

// observe updates the start of the shortage or surplus of each model.
func (p *Planner) observe(now time.Time, v *fleetView) {
	for _, m := range v.models {
		updateSince(p.shortSince, m.Name, v.serving(m.Name) < m.DesiredEndpoints, now)
		updateSince(p.surplusSince, m.Name, v.serving(m.Name) > m.DesiredEndpoints, now)
	}
}

func updateSince(since map[string]time.Time, name string, active bool, now time.Time) {
	if !active {
		delete(since, name)
		return
	}
	if _, already := since[name]; !already {
		since[name] = now
	}
}

func activeFor(since map[string]time.Time, name string, now time.Time, d time.Duration) bool {
	start, active := since[name]
	return active && now.Sub(start) >= d
}

// available reports whether an endpoint can get an order.
func (p *Planner) available(now time.Time, e *Endpoint) bool {
	if _, busy := p.pending[e.Name]; busy || e.Leaving {
		return false
	}
	at, rested := p.lastOrderEnd[e.Name]
	return !rested || now.Sub(at) >= OrderCooldown
}

// loadShortModel orders the load of the model with the largest persistent shortage
// on the best endpoint that the other models can spare.
func (p *Planner) loadShortModel(now time.Time, v *fleetView) (Order, bool) {
	for _, m := range v.byShortage() {
		if v.serving(m.Name) >= m.DesiredEndpoints || !activeFor(p.shortSince, m.Name, now, ShortageDelay) {
			continue
		}
		e := v.bestEndpoint(m, func(e *Endpoint) bool {
			return p.available(now, e) && !slices.Contains(e.Models, m.Name) && v.canSpare(e)
		})
		if e == nil {
			continue
		}
		reason := fmt.Sprintf("%d of %d endpoints serve %s", v.serving(m.Name), m.DesiredEndpoints, m.Name)
		return Order{e.Name, engine.OrderLoadModel, m.Name, reason}, true
	}
	return Order{}, false
}

// loadMissingAdapter orders the load of an adapter that is missing on an endpoint
// of its model.
func (p *Planner) loadMissingAdapter(now time.Time, v *fleetView) (Order, bool) {
	for _, m := range v.models {
		for _, e := range v.endpoints {
			if !p.available(now, e) || !slices.Contains(e.Models, m.Name) {
				continue
			}
			for _, adapter := range m.Adapters {
				if !slices.Contains(e.Adapters, adapter) {
					return Order{e.Name, engine.OrderLoadAdapter, adapter, m.Name + " lacks this adapter there"}, true
				}
			}
		}
	}
	return Order{}, false
}

// unloadSurplusModel orders the unload of a model with a persistent surplus from an
// endpoint that also serves another model.
func (p *Planner) unloadSurplusModel(now time.Time, v *fleetView) (Order, bool) {
	for _, m := range v.models {
		if v.serving(m.Name) <= m.DesiredEndpoints || !activeFor(p.surplusSince, m.Name, now, SurplusDelay) {
			continue
		}
		for _, e := range v.endpoints {
			if p.available(now, e) && len(e.Models) > 1 && slices.Contains(e.Models, m.Name) {
				reason := fmt.Sprintf("%d endpoints serve %s, %d desired", v.serving(m.Name), m.Name, m.DesiredEndpoints)
				return Order{e.Name, engine.OrderUnloadModel, m.Name, reason}, true
			}
		}
	}
	return Order{}, false
}

// sortByName sorts endpoints by name, so that decisions do not depend on the order
// of the input.
func sortByName(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}
