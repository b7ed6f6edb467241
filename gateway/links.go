package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/spill"
)

// linkReport is what an entry saw of the streams of each failure domain since its previous
// report.
type linkReport struct {
	Domain string                  `json:"domain,omitempty"` // of the entry
	Links  map[string]spill.Sample `json:"links,omitempty"`  // by domain of the endpoints
}

// maxLinkDomains limits the domains in a report of another entry.
const maxLinkDomains = 64

// mergeLinks adds the report of another entry to the estimates.
func (p *placer) mergeLinks(r *linkReport) {
	if len(r.Links) > maxLinkDomains {
		return
	}
	now := time.Now()
	for domain, sample := range r.Links {
		p.links.Observe(r.Domain, domain, sample, now)
	}
}

// takeLinkReport returns what was seen since the previous report. It is lost if the report
// is: the counts decay within seconds.
func (p *placer) takeLinkReport() linkReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsentLinks) == 0 {
		return linkReport{}
	}
	r := linkReport{Domain: p.domain, Links: p.unsentLinks}
	p.unsentLinks = map[string]spill.Sample{}
	return r
}

// linkReportInterval bounds the reports that are sent only for delayed events: while links are
// bad, 28 entries would send the coordinator more of them than of all others together.
const linkReportInterval = 250 * time.Millisecond

// observeLink records a sample of a stream for this entry's own estimates and for the
// coordinator. Delayed events are reported while their stream still runs.
func (p *placer) observeLink(domain string, s spill.Sample, now time.Time) {
	p.links.Observe(p.domain, domain, s, now)
	p.mu.Lock()
	if p.coordinator == "" {
		clear(p.unsentLinks) // the estimates of this entry are the only ones
		p.mu.Unlock()
		return
	}
	unsent := p.unsentLinks[domain]
	unsent.Add(s)
	p.unsentLinks[domain] = unsent
	isDue := s.Late > 0 && now.Sub(p.linkReportedAt) >= linkReportInterval
	if isDue {
		p.linkReportedAt = now
	}
	p.mu.Unlock()
	if isDue {
		p.queue(func(pending *reportRequest) { pending.isDue = true })
	}
}

// publishLinks logs the pairs of domains whose estimates turned bad or good again, and sets
// the metrics.
func (p *placer) publishLinks(now time.Time) {
	for _, c := range p.links.Changes(now) {
		p.log.Info("links between failure domains", "step", "gateway.links", "from", c.From, "to", c.To, "late", math.Round(c.Late*100)/100, "bad", c.IsBad)
	}
	for _, c := range p.links.Estimates(now) {
		linkLateGauge(c.From, c.To).Set(c.Late)
	}
}

// linkLateGauge is the probability that the links between two domains make a stream late.
func linkLateGauge(from, to string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("jacinthplank_spill_link_late_probability{from=%q,to=%q}", from, to), nil)
}

// countTraffic counts the latest attempt, which an endpoint answered, by the failure domains
// of this entry and the endpoint.
func (f *inflightRequest) countTraffic() {
	from, to := f.g.settings.FailureDomain, f.endpointDomain
	if from == "" || to == "" {
		return
	}
	labels := fmt.Sprintf("{from=%q,to=%q}", from, to)
	metrics.GetOrCreateCounter("jacinthplank_spill_answers_total" + labels).Inc()
	metrics.GetOrCreateCounter("jacinthplank_spill_bytes_total" + labels).Add(len(f.body) + f.answerBytes)
}

// linkMeter measures the link to the endpoint that writes one stream.
type linkMeter struct {
	f      *inflightRequest
	stream spill.Stream
	sentAt time.Time
	begun  bool
}

func (f *inflightRequest) newLinkMeter(reply *forward.Reply) *linkMeter {
	return &linkMeter{f: f, sentAt: reply.SentAt}
}

// record records an event that arrived now. Only the time for which the entry waited for
// it counts, so that callers that read slowly are no evidence against the link.
func (m *linkMeter) record(waitingSince, now time.Time) {
	if !m.f.isEngineService() || m.f.endpointDomain == "" {
		return
	}
	sample := spill.Sample{}
	if m.begun {
		sample = m.stream.Next(now.Sub(waitingSince))
	} else {
		sample = m.stream.Begin(now.Sub(m.sentAt), m.f.decision.Expected)
	}
	m.begun = true
	m.f.g.placer.observeLink(m.f.endpointDomain, sample, now)
}
