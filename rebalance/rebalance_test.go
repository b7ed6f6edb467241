package rebalance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/rebalance"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func endpoint(name, domain string, models ...string) rebalance.Endpoint {
	return rebalance.Endpoint{Name: name, FailureDomain: domain, Models: models}
}

func TestShortageMustPersistBeforeLoad(t *testing.T) {
	g := NewWithT(t)
	p := rebalance.New()
	models := []rebalance.Model{{Name: "drafts", DesiredEndpoints: 2}, {Name: "letters", DesiredEndpoints: 1}}
	fleet := []rebalance.Endpoint{endpoint("a", "north", "drafts"), endpoint("b", "north", "letters"), endpoint("c", "south", "letters")}
	g.Expect(p.Next(at(0), models, fleet, 2)).To(BeEmpty())
	g.Expect(p.Next(at(rebalance.ShortageDelay-1), models, fleet, 2)).To(BeEmpty())
	orders := p.Next(at(rebalance.ShortageDelay), models, fleet, 2)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Kind).To(Equal(engine.OrderLoadModel))
	g.Expect(orders[0].Endpoint).To(Equal("c"), "the other failure domain")
	g.Expect(p.Next(at(rebalance.ShortageDelay+1), models, fleet, 2)).To(BeEmpty(), "the order is in progress")
}

func TestShortRestartCausesNoOrders(t *testing.T) {
	g := NewWithT(t)
	p := rebalance.New()
	models := []rebalance.Model{{Name: "drafts", DesiredEndpoints: 2}}
	allEndpoints := []rebalance.Endpoint{endpoint("a", "n", "drafts"), endpoint("b", "n", "drafts"), endpoint("c", "n")}
	for i := range 20 {
		fleet := allEndpoints
		if i%2 == 1 {
			fleet = allEndpoints[1:]
		}
		g.Expect(p.Next(at(time.Duration(i)*rebalance.ShortageDelay/2), models, fleet, 2)).To(BeEmpty())
	}
}

func TestNoModelDropsBelowDesiredEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := rebalance.New()
	models := []rebalance.Model{{Name: "drafts", DesiredEndpoints: 2}, {Name: "letters", DesiredEndpoints: 2}}
	fleet := []rebalance.Endpoint{endpoint("a", "n", "drafts"), endpoint("b", "n", "letters"), endpoint("c", "n", "letters")}
	p.Next(at(0), models, fleet, 2)
	g.Expect(p.Next(at(time.Hour), models, fleet, 2)).To(BeEmpty())
}

func TestOrdersStayWithinPendingLimit(t *testing.T) {
	g := NewWithT(t)
	p := rebalance.New()
	models := []rebalance.Model{{Name: "drafts", DesiredEndpoints: 6}}
	var fleet []rebalance.Endpoint
	for i := range 6 {
		fleet = append(fleet, endpoint(fmt.Sprint(i), "n"))
	}
	p.Next(at(0), models, fleet, 2)
	g.Expect(p.Next(at(rebalance.ShortageDelay), models, fleet, 2)).To(HaveLen(2))
	g.Expect(p.Next(at(rebalance.ShortageDelay), models, fleet, 2)).To(BeEmpty())
	p.Done(at(rebalance.ShortageDelay), "0")
	g.Expect(p.Next(at(rebalance.ShortageDelay), models, fleet, 2)).To(HaveLen(1))
}

func TestMissingAdapterIsLoaded(t *testing.T) {
	g := NewWithT(t)
	p := rebalance.New()
	models := []rebalance.Model{{Name: "drafts", DesiredEndpoints: 1, Adapters: []string{"swahili"}}}
	orders := p.Next(at(0), models, []rebalance.Endpoint{endpoint("a", "n", "drafts")}, 1)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Target).To(Equal("swahili"))
}

// TestOrdersConverge executes all orders on random fleets and expects that the
// orders stop and that no model ends below both its initial and its desired number
// of endpoints.
func TestOrdersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"m0", "m1", "m2"}
		var models []rebalance.Model
		for _, name := range names {
			models = append(models, rebalance.Model{Name: name, DesiredEndpoints: rapid.IntRange(0, 4).Draw(rt, "want")})
		}
		var fleet []rebalance.Endpoint
		for i := range rapid.IntRange(1, 8).Draw(rt, "endpoints") {
			model := rapid.SampledFrom(names).Draw(rt, "model")
			fleet = append(fleet, endpoint(fmt.Sprint(i), fmt.Sprint(i%3), model))
		}
		before := serving(fleet)
		p, now, last := rebalance.New(), start, 0
		for step := range 600 {
			now = now.Add(time.Second)
			for _, o := range p.Next(now, models, fleet, 2) {
				applyOrder(fleet, o)
				p.Done(now, o.Endpoint)
				last = step
			}
		}
		after := serving(fleet)
		for _, m := range models {
			if after[m.Name] < min(before[m.Name], m.DesiredEndpoints) {
				rt.Fatalf("%s dropped from %d to %d endpoints, %d desired", m.Name, before[m.Name], after[m.Name], m.DesiredEndpoints)
			}
		}
		if last > 500 {
			rt.Fatalf("orders still made after %d s", last)
		}
	})
}

func serving(fleet []rebalance.Endpoint) map[string]int {
	n := map[string]int{}
	for _, e := range fleet {
		for _, m := range e.Models {
			n[m]++
		}
	}
	return n
}

func applyOrder(fleet []rebalance.Endpoint, o rebalance.Order) {
	for i := range fleet {
		if fleet[i].Name != o.Endpoint {
			continue
		}
		var models []string
		for _, m := range fleet[i].Models {
			if o.Kind != engine.OrderUnloadModel || m != o.Target {
				models = append(models, m)
			}
		}
		if o.Kind == engine.OrderLoadModel {
			models = append(models, o.Target)
		}
		fleet[i].Models = models
	}
}
