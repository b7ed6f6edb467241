package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
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
	o := overviewOf(reports)
	if c.JSON {
		encoder := json.NewEncoder(t.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(o)
	}
	return o.write(t.Out)
}

// overview is what status shows.
type overview struct {
	Quorum         quorumRow   `json:"quorum"`
	FailureDomains []domainRow `json:"failure_domains"`
	Daemons        []daemonRow `json:"daemons"`
	Endpoints      []endpoint  `json:"endpoints"`
}

type quorumRow struct {
	Known   bool     `json:"known"` // a member answered
	Healthy bool     `json:"healthy"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Voters  []string `json:"voters"`
	Learner []string `json:"learners,omitempty"`
	Missing []string `json:"missing,omitempty"` // voters that did not answer
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
	age           int64
}

func overviewOf(reports []report) overview {
	var o overview
	domains := map[string]*domainRow{}
	for _, r := range reports {
		o.Daemons = append(o.Daemons, daemonRowOf(r))
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
	o.Endpoints = endpointsOf(reports)
	o.Quorum = quorumOf(reports)
	return o
}

func daemonRowOf(r report) daemonRow {
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
	row.Revision = writeVersion(versionOf(r.status.GetVersion()))
	return row
}

// endpointsOf returns each endpoint once, as the daemon with the newest news of
// it tells.
func endpointsOf(reports []report) []endpoint {
	newest := map[string]endpoint{}
	for _, r := range reports {
		for _, e := range r.status.GetEndpoints() {
			row := endpointOf(e)
			known, seen := newest[row.Name]
			if !seen || row.age < known.age {
				if row.Breaker == "" {
					row.Breaker = known.Breaker
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

func endpointOf(e *pb.EndpointStatus) endpoint {
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
		age:           e.GetAgeUs(),
	}
}

// quorumOf takes the word of the member with the highest term.
func quorumOf(reports []report) quorumRow {
	var best *pb.QuorumStatus
	answering := map[string]bool{}
	for _, r := range reports {
		if r.err == nil {
			answering[r.name] = true
		}
		q := r.status.GetQuorum()
		if q != nil && (best == nil || q.GetTerm() > best.GetTerm() || (q.GetTerm() == best.GetTerm() && q.GetHasQuorum())) {
			best = q
		}
	}
	if best == nil {
		return quorumRow{}
	}
	row := quorumRow{
		Known:   true,
		Healthy: best.GetHasQuorum(),
		Leader:  best.GetLeader(),
		Term:    best.GetTerm(),
		Commit:  best.GetCommit(),
		Voters:  best.GetVoters(),
		Learner: best.GetLearners(),
	}
	for _, name := range row.Voters {
		if !answering[name] {
			row.Missing = append(row.Missing, name)
		}
	}
	return row
}

func (o overview) write(w io.Writer) error {
	fmt.Fprintln(w, o.Quorum.sentence())
	fmt.Fprintln(w, o.revisions())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nFAILURE DOMAIN\tDAEMONS\tANSWERING")
	for _, d := range o.FailureDomains {
		fmt.Fprintf(table, "%s\t%d\t%d\n", orDash(d.Name), d.Daemons, d.Answering)
	}
	fmt.Fprintln(table, "\nDAEMON\tFAILURE DOMAIN\tDUTIES\tSTATE\tREVISION\tADDRESS")
	for _, d := range o.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Name, orDash(d.FailureDomain), orDash(strings.Join(d.Duties, ",")), d.State, orDash(d.Revision), d.Address)
	}
	fmt.Fprintln(table, "\nENDPOINT\tFAILURE DOMAIN\tSERVES\tQUEUED TOKENS\tRUNNING\tWAIT\tLONG WAIT\tSTATE")
	for _, e := range o.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", e.Name, orDash(e.FailureDomain), orDash(e.Serves),
			e.QueuedTokens, e.Running, millis(e.WaitMillis), millis(e.LongWaitMs), e.state())
	}
	return table.Flush()
}

func (q quorumRow) sentence() string {
	switch {
	case !q.Known:
		return "Control quorum: no member answered. Changes and calls that run at most once are refused until one does."
	case !q.Healthy:
		return fmt.Sprintf("Control quorum: LOST. Of the voters %s, not answering: %s. See docs/operators/lost-quorum.md.",
			strings.Join(q.Voters, ", "), orDash(strings.Join(q.Missing, ", ")))
	case len(q.Missing) > 0:
		return fmt.Sprintf("Control quorum: led by %s, but %s did not answer. See docs/operators/replace-a-member.md.", q.Leader, strings.Join(q.Missing, ", "))
	default:
		return fmt.Sprintf("Control quorum: good, led by %s; voters %s.", q.Leader, strings.Join(q.Voters, ", "))
	}
}

// revisions tells on how many daemons each revision is in force.
func (o overview) revisions() string {
	counts := map[string]int{}
	for _, d := range o.Daemons {
		if d.Revision != "" {
			counts[d.Revision]++
		}
	}
	var parts []string
	for v, n := range counts {
		parts = append(parts, fmt.Sprintf("%s on %d", v, n))
	}
	sort.Strings(parts)
	return fmt.Sprintf("Revision in force: %s of %d daemons.", orDash(strings.Join(parts, ", ")), len(o.Daemons))
}

func (e endpoint) state() string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.Breaker != "" && e.Breaker != "closed":
		return "breaker " + e.Breaker
	default:
		return "open"
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// suggestion names the member whose name is nearest to name.
func suggestion(name string, members []member) string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.name
	}
	if near := tomlcheck.Nearest(name, names); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}
