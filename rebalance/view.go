package rebalance

import (
	"slices"

	"github.com/jacinthplank/jacinthplank/engine"
)

// view is the fleet with the orders in progress counted as carried out.
type view struct {
	models    []Model
	endpoints []*Endpoint
}

func newView(models []Model, endpoints []Endpoint, orders map[string]pending) *view {
	v := &view{models: models}
	for _, e := range endpoints {
		e.Models = slices.Clone(e.Models)
		e.Adapters = slices.Clone(e.Adapters)
		v.endpoints = append(v.endpoints, &e)
	}
	sortEndpoints(v.endpoints)
	for _, p := range orders {
		v.apply(p.order)
	}
	return v
}

// apply counts an order as carried out.
func (v *view) apply(o Order) {
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

// serving is the number of endpoints that serve a model and do not leave.
func (v *view) serving(model string) int {
	n := 0
	for _, e := range v.endpoints {
		if !e.Leaving && slices.Contains(e.Models, model) {
			n++
		}
	}
	return n
}

// spare reports whether every model of e has more endpoints than it wants: the
// work that e takes for another model is missed by none.
func (v *view) spare(e *Endpoint) bool {
	for _, m := range v.models {
		if slices.Contains(e.Models, m.Name) && v.serving(m.Name) <= m.Want {
			return false
		}
	}
	return true
}

// byShortage returns the models, the one with the largest share missing first.
func (v *view) byShortage() []Model {
	models := slices.Clone(v.models)
	missing := func(m Model) float64 {
		if m.Want == 0 {
			return 0
		}
		return float64(m.Want-v.serving(m.Name)) / float64(m.Want)
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

// best returns the endpoint for one more replica of a model among those that
// qualify: in the failure domain that has the fewest, then the least busy.
func (v *view) best(m Model, qualifies func(*Endpoint) bool) *Endpoint {
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
		if best == nil || better(e, best, domains) {
			best = e
		}
	}
	return best
}

func better(a, b *Endpoint, domains map[string]int) bool {
	if x, y := domains[a.FailureDomain], domains[b.FailureDomain]; x != y {
		return x < y
	}
	return a.Running < b.Running
}
