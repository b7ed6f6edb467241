package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/spill"
)

// mergeLinks adds up what entries reported about links.
func (f *fakeCoordinator) mergeLinks(r *linkReport) {
	for domain, sample := range r.Links {
		if f.links == nil {
			f.links = map[string]spill.Sample{}
		}
		total := f.links[domain]
		total.Add(sample)
		f.links[domain] = total
	}
}

func (f *fakeCoordinator) linkSamples() map[string]spill.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]spill.Sample{}
	for domain, sample := range f.links {
		out[domain] = sample
	}
	return out
}

// Guards against delayed events that the coordinator learns of only when their stream ends,
// and against a message for each event.
func TestDelayedEventsAreReportedDuringTheStream(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{charges: map[string]int{}}
	p := newTestPlacer(f)
	p.domain = "a"
	p.setCoordinator("coordinator", false)
	// The lists of the introduction would take along what is observed before they are sent.
	g.Eventually(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.adopted)
	}).Should(Equal(1))
	p.observeLink("b", spill.Sample{Streams: 1, Events: 1}, time.Now())
	p.observeLink("b", spill.Sample{Events: 1}, time.Now())
	g.Consistently(f.linkSamples, 5*reportDelay).Should(BeEmpty(), "sent with the next report")
	p.observeLink("b", spill.Sample{Events: 1, Late: 1}, time.Now())
	g.Eventually(f.linkSamples).Should(HaveKeyWithValue("b", spill.Sample{Streams: 1, Events: 3, Late: 1}))
}

// Guards against a coordinator that keeps only its own measurements.
func TestCoordinatorMergesLinkReports(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	for range 10 {
		p.mergeLinks(&linkReport{Domain: "a", Links: map[string]spill.Sample{"a": {Streams: 1, Events: 35}, "b": {Streams: 1, Events: 35, Late: 2}}})
	}
	g.Expect(p.links.Late("a", "b", time.Now())).To(BeNumerically(">", 0.5))
}
