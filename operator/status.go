package operator

import (
	"context"
	"encoding/json"
	"sort"
	"strings"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

func (c *statusCommand) run(ctx context.Context, t Terminal) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	reports, err := client.statuses(ctx)
	if err != nil {
		return err
	}
	o := newOverview(reports)
	if o.Quorum.Healthy {
		o.Models = modelRows(client.latestConfiguration(ctx), o.Endpoints)
	}
	if c.JSON {
		encoder := json.NewEncoder(t.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(o)
	}
	return o.write(t.Out)
}

// overview is the output of the status command.
type overview struct {
	Quorum         quorumRow   `json:"quorum"`
	FailureDomains []domainRow `json:"failure_domains"`
	Daemons        []daemonRow `json:"daemons"`
	Models         []modelRow  `json:"models,omitempty"` // empty without a quorum
	Endpoints      []endpoint  `json:"endpoints"`
	Disks          []diskRow   `json:"disks,omitempty"` // of the quorum, whose members do not run
}

type domainRow struct {
	Name      string `json:"name"`
	Daemons   int    `json:"daemons"`
	Answering int    `json:"answering"`
}

type daemonRow struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure_domain"`
	Duties        []string `json:"duties"`
	Address       string   `json:"address"`
	State         string   `json:"state"` // ready, draining, starting or unreachable
	Revision      string   `json:"revision,omitempty"`
	Reason        string   `json:"reason,omitempty"`
}

type endpoint struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Serves        string `json:"serves"`
	QueuedTokens  int64  `json:"queued_tokens"`
	Running       int64  `json:"running"`
	WaitMillis    int64  `json:"wait_ms"`
	LongWaitMs    int64  `json:"long_wait_ms"`
	Leaving       bool   `json:"leaving"`
	Breaker       string `json:"breaker,omitempty"`
	models        []string
	age           int64
}

func newOverview(reports []statusReport) overview {
	var o overview
	domains := map[string]*domainRow{}
	for _, r := range reports {
		o.Daemons = append(o.Daemons, newDaemonRow(r))
		d := domains[r.failureDomain]
		if d == nil {
			d = &domainRow{Name: r.failureDomain}
			domains[r.failureDomain] = d
		}
		d.Daemons++
		if r.err == nil {
			d.Answering++
		}
	}
	for _, d := range domains {
		o.FailureDomains = append(o.FailureDomains, *d)
	}
	sort.Slice(o.FailureDomains, func(i, j int) bool { return o.FailureDomains[i].Name < o.FailureDomains[j].Name })
	o.Endpoints = latestEndpoints(reports)
	o.Quorum = newQuorumRow(reports)
	o.Disks = newDiskRows(reports)
	return o
}

func newDaemonRow(r statusReport) daemonRow {
	row := daemonRow{Name: r.name, FailureDomain: r.failureDomain, Duties: r.duties, Address: r.address}
	switch {
	case r.err != nil:
		row.State, row.Reason = "unreachable", r.err.Error()
		return row
	case r.status.GetDraining():
		row.State = "draining"
	case r.status.GetReady():
		row.State = "ready"
	default:
		row.State = "starting"
	}
	row.Revision = formatVersion(versionFromProto(r.status.GetVersion()))
	return row
}

// latestEndpoints returns each endpoint once, as reported by the daemon with the most
// recent data.
func latestEndpoints(reports []statusReport) []endpoint {
	newest := map[string]endpoint{}
	for _, r := range reports {
		for _, e := range r.status.GetEndpoints() {
			row := endpointFromProto(e)
			current, seen := newest[row.Name]
			if !seen || row.age < current.age {
				if row.Breaker == "" {
					row.Breaker = current.Breaker
				}
				newest[row.Name] = row
			}
		}
	}
	rows := make([]endpoint, 0, len(newest))
	for _, row := range newest {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

func endpointFromProto(e *pb.EndpointStatus) endpoint {
	serves := strings.Join(e.GetModels(), " ")
	if e.GetService() != "" {
		serves = e.GetService()
	}
	b := e.GetBacklog()
	return endpoint{
		Name:          e.GetName(),
		FailureDomain: e.GetFailureDomain(),
		Serves:        serves,
		QueuedTokens:  b.GetQueuedTokens(),
		Running:       b.GetRunning(),
		WaitMillis:    b.GetWaitUs() / 1000,
		LongWaitMs:    b.GetLongWaitUs() / 1000,
		Leaving:       b.GetLeaving(),
		Breaker:       e.GetBreaker(),
		models:        e.GetModels(),
		age:           e.GetAgeUs(),
	}
}
