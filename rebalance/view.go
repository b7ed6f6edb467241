package rebalance

import (
	"slices"

	"github.com/jacinthplank/jacinthplank/engine"
)

// fleetView is the state of the fleet as if the orders in progress were completed.
type fleetView struct {
	models    []Model
	endpoints []*Endpoint
}

func newFleetView(models []Model, endpoints []Endpoint, orders map[string]pending) *fleetView {
	v := &fleetView{models: models}
	for _, e := range endpoints {
		e.Models = slices.Clone(e.Models)
		e.Adapters = slices.Clone(e.Adapters)
		v.endpoints = append(v.endpoints, &e)
	}
	sortByName(v.endpoints)
	for _, p := range orders {
		v.apply(p.order)
	}
	return v
}

// apply updates the state as if the order were completed.
func (v *fleetView) apply(o Order) {
	for _, e := range v.endpoints {
		if e.Name != o.Endpoint {
			continue
		}
		switch o.Kind {
		case engine.OrderLoadModel:
			e.Models = append(e.Models, o.Target)
		case engine.OrderUnloadModel:
			e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == o.Target })
		case engine.OrderLoadAdapter:
			e.Adapters = append(e.Adapters, o.Target)
		}
	}
}

// serving returns the number of endpoints that serve a model and are not leaving.
func (v *fleetView) serving(model string) int {
	n := 0
	for _, e := range v.endpoints {
		if !e.Leaving && slices.Contains(e.Models, model) {
			n++
		}
	}
	return n
}

// canSpare reports whether every model of e has more endpoints than desired, so that
// e can take work of another model without causing a shortage.
func (v *fleetView) canSpare(e *Endpoint) bool {
	for _, m := range v.models {
		if slices.Contains(e.Models, m.Name) && v.serving(m.Name) <= m.DesiredEndpoints {
			return false
		}
	}
	return true
}

// byShortage returns the models in descending order of the fraction of missing
// endpoints.
func (v *fleetView) byShortage() []Model {
	models := slices.Clone(v.models)
	missing := func(m Model) float64 {
		if m.DesiredEndpoints == 0 {
			return 0
		}
		return float64(m.DesiredEndpoints-v.serving(m.Name)) / float64(m.DesiredEndpoints)
	}
	slices.SortStableFunc(models, func(a, b Model) int {
		switch x, y := missing(a), missing(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return models
}

// bestEndpoint returns the qualifying endpoint for an additional replica of a model:
// in the failure domain with the fewest replicas, then with the fewest running
// attempts.
func (v *fleetView) bestEndpoint(m Model, qualifies func(*Endpoint) bool) *Endpoint {
	domains := map[string]int{}
	for _, e := range v.endpoints {
		if !e.Leaving && slices.Contains(e.Models, m.Name) {
			domains[e.FailureDomain]++
		}
	}
	var best *Endpoint
	for _, e := range v.endpoints {
		if !qualifies(e) {
			continue
		}
		if best == nil || betterEndpoint(e, best, domains) {
			best = e
		}
	}
	return best
}

func betterEndpoint(a, b *Endpoint, domains map[string]int) bool {
	if x, y := domains[a.FailureDomain], domains[b.FailureDomain]; x != y {
		return x < y
	}
	return a.Running < b.Running
}
