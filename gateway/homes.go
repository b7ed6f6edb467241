package gateway

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/homes"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

var (
	homeRequestsTotal   = metrics.NewCounter("jacinthplank_homes_requests_total")
	homeRefusedTotal    = metrics.NewCounter("jacinthplank_homes_refused_total")
	homePlacementsTotal = metrics.NewCounter("jacinthplank_homes_placements_rejected_total")
)

// resolveHomes computes the failure domains that may serve the request. It returns an error
// if no endpoint of the service is in them.
func (f *inflightRequest) resolveHomes() *outcome.Error {
	var account []string
	if f.account != nil {
		account = f.account.Homes
	}
	f.domains = f.g.regions.Domains(f.route.Homes, account)
	if f.domains == nil {
		return nil
	}
	homeRequestsTotal.Inc()
	if len(f.readyEndpoints()) == 0 {
		return f.refuseWithoutHome("gateway.homes")
	}
	return nil
}

// readyEndpoints returns the endpoints of the request's service that accept requests and
// may serve it.
func (f *inflightRequest) readyEndpoints() []announce.Record {
	all := f.g.readyEndpoints(f.service)
	if f.domains == nil {
		return all
	}
	return slices.DeleteFunc(all, func(h announce.Record) bool { return !homes.Allows(f.domains, h.FailureDomain) })
}

// refuseWithoutHome refuses a request that no endpoint may serve.
func (f *inflightRequest) refuseWithoutHome(step string) *outcome.Error {
	homeRefusedTotal.Inc()
	e := outcome.Refuse(outcome.CodeNoHome, step, "no endpoint in the home regions of the request accepts requests")
	e.RetryAfter = max(min(schedule.NoHomeRetry, f.remaining()/maxRetryAfterDivisor), minRetryAfter)
	return e
}

// checkHome returns an error if an endpoint is not known here as one that may serve the
// request. A coordinator of an earlier version doesn't know home regions, and an address may
// have passed to an endpoint of another region.
func (f *inflightRequest) checkHome(id, address string) *outcome.Error {
	if f.domains == nil {
		return nil
	}
	known, found := f.g.mesh.Endpoint(id)
	if found && known.Address == address && homes.Allows(f.domains, known.FailureDomain) {
		return nil
	}
	f.excluded = append(f.excluded, id)
	homePlacementsTotal.Inc()
	if f.g.logs.AllowRequestLine(time.Now()) {
		f.g.log.Warn("placement outside the home regions", "step", "gateway.homes", "request", f.request.ID, "endpoint", id, "address", address,
			"known_address", known.Address, "failure_domain", known.FailureDomain, "domains", f.domains)
	}
	e := outcome.Refuse(outcome.CodeNoHome, "gateway.homes", "endpoint %s is not known to be in the home regions of the request", id)
	e.Peer, e.RetryAfter = id, f.retryAfter()
	return e
}
