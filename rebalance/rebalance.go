// Package rebalance decides which endpoints are to load or unload models and
// adapters, so that every model has the endpoints that the configuration wants.
//
// A shortage has to last before anything is ordered, an endpoint that got an
// order is left alone for a while, and no model is taken below what it wants.
// The package does no input or output; the orders get their fencing numbers and
// their share of the weight store from whoever carries them out.
package rebalance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Times against flapping.
const (
	ShortageTime = 10 * time.Second // a shortage lasts so long before it is mended
	SurplusTime  = 2 * time.Minute  // a surplus lasts so long before a model is unloaded
	RestTime     = 30 * time.Second // between two orders to one endpoint
	LostTime     = 3 * time.Minute  // after which an order without an outcome is forgotten
)

// Model is what the configuration wants of one model.
type Model struct {
	Name     string // the engines' own name
	Want     int    // endpoints
	Adapters []string
}

// Endpoint is one endpoint with an engine as the decider sees it.
type Endpoint struct {
	Name          string
	FailureDomain string
	Models        []string
	Adapters      []string
	Running       int // attempts on the engine
	Leaving       bool
}

// Order is one order to an endpoint, without its fencing number.
type Order struct {
	Endpoint string
	Kind     engine.OrderKind
	Target   string
	Reason   string // for the time line
}

// Planner remembers since when models are short and what was ordered. It is not
// safe for concurrent use.
type Planner struct {
	short   map[string]time.Time // models, since when they have too few endpoints
	surplus map[string]time.Time // models, since when they have too many
	pending map[string]pending   // endpoints with an order in progress
	rested  map[string]time.Time // endpoints, when their last order ended
}

type pending struct {
	order Order
	since time.Time
}

// New returns a planner that has seen nothing.
func New() *Planner {
	return &Planner{
		short:   map[string]time.Time{},
		surplus: map[string]time.Time{},
		pending: map[string]pending{},
		rested:  map[string]time.Time{},
	}
}

// Next returns the orders to give now, at most room of them. They count as in
// progress until Done.
func (p *Planner) Next(now time.Time, models []Model, endpoints []Endpoint, room int) []Order {
	p.forget(now)
	v := newView(models, endpoints, p.pending)
	p.observe(now, v)
	var orders []Order
	for _, decide := range []func(time.Time, *view) (Order, bool){p.mendShortage, p.mendAdapters, p.trimSurplus} {
		for len(p.pending) < room {
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

// Done tells that an order has an outcome, whichever.
func (p *Planner) Done(now time.Time, endpoint string) {
	delete(p.pending, endpoint)
	p.rested[endpoint] = now
}

// forget drops orders whose outcome was lost.
func (p *Planner) forget(now time.Time) {
	for name, o := range p.pending {
		if now.Sub(o.since) > LostTime {
			p.Done(now, name)
		}
	}
}

// observe notes since when each model is short or in surplus.
func (p *Planner) observe(now time.Time, v *view) {
	for _, m := range v.models {
		note(p.short, m.Name, v.serving(m.Name) < m.Want, now)
		note(p.surplus, m.Name, v.serving(m.Name) > m.Want, now)
	}
}

func note(since map[string]time.Time, name string, holds bool, now time.Time) {
	if !holds {
		delete(since, name)
		return
	}
	if _, already := since[name]; !already {
		since[name] = now
	}
}

func lasts(since map[string]time.Time, name string, now time.Time, d time.Duration) bool {
	at, holds := since[name]
	return holds && now.Sub(at) >= d
}

// free reports whether an endpoint may get an order.
func (p *Planner) free(now time.Time, e *Endpoint) bool {
	if _, busy := p.pending[e.Name]; busy || e.Leaving {
		return false
	}
	at, rested := p.rested[e.Name]
	return !rested || now.Sub(at) >= RestTime
}

// mendShortage loads the model with the largest lasting shortage on the endpoint
// that the others miss least.
func (p *Planner) mendShortage(now time.Time, v *view) (Order, bool) {
	for _, m := range v.byShortage() {
		if v.serving(m.Name) >= m.Want || !lasts(p.short, m.Name, now, ShortageTime) {
			continue
		}
		e := v.best(m, func(e *Endpoint) bool {
			return p.free(now, e) && !slices.Contains(e.Models, m.Name) && v.spare(e)
		})
		if e == nil {
			continue
		}
		reason := fmt.Sprintf("%d of %d endpoints serve %s", v.serving(m.Name), m.Want, m.Name)
		return Order{e.Name, engine.OrderLoadModel, m.Name, reason}, true
	}
	return Order{}, false
}

// mendAdapters loads the adapters that an endpoint of a model lacks.
func (p *Planner) mendAdapters(now time.Time, v *view) (Order, bool) {
	for _, m := range v.models {
		for _, e := range v.endpoints {
			if !p.free(now, e) || !slices.Contains(e.Models, m.Name) {
				continue
			}
			for _, adapter := range m.Adapters {
				if !slices.Contains(e.Adapters, adapter) {
					return Order{e.Name, engine.OrderLoadAdapter, adapter, m.Name + " lacks it there"}, true
				}
			}
		}
	}
	return Order{}, false
}

// trimSurplus unloads a model in lasting surplus from an endpoint that serves
// another as well.
func (p *Planner) trimSurplus(now time.Time, v *view) (Order, bool) {
	for _, m := range v.models {
		if v.serving(m.Name) <= m.Want || !lasts(p.surplus, m.Name, now, SurplusTime) {
			continue
		}
		for _, e := range v.endpoints {
			if p.free(now, e) && len(e.Models) > 1 && slices.Contains(e.Models, m.Name) {
				reason := fmt.Sprintf("%d endpoints serve %s, %d are wanted", v.serving(m.Name), m.Name, m.Want)
				return Order{e.Name, engine.OrderUnloadModel, m.Name, reason}, true
			}
		}
	}
	return Order{}, false
}

// sortEndpoints puts endpoints in the order of their names, so that a decision
// does not depend on the order in which they are told.
func sortEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}
