package operator

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// write writes the overview as sentences and tables.
func (o overview) write(w io.Writer) error {
	for _, line := range o.Quorum.summary() {
		fmt.Fprintln(w, line)
	}
	for _, d := range o.Disks {
		fmt.Fprintln(w, d.summary())
	}
	fmt.Fprintln(w, o.revisionSummary())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nFAILURE DOMAIN\tDAEMONS\tANSWERING")
	for _, d := range o.FailureDomains {
		fmt.Fprintf(table, "%s\t%d\t%d\n", orDash(d.Name), d.Daemons, d.Answering)
	}
	fmt.Fprintln(table, "\nDAEMON\tFAILURE DOMAIN\tDUTIES\tSTATE\tREVISION\tADDRESS")
	for _, d := range o.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Name, orDash(d.FailureDomain), orDash(strings.Join(d.Duties, ",")), d.State, orDash(d.Revision), d.Address)
	}
	if len(o.Models) > 0 {
		fmt.Fprintln(table, "\nMODEL\tENDPOINTS\tWANTED")
	}
	for _, m := range o.Models {
		fmt.Fprintf(table, "%s\t%d\t%d\n", m.Name, m.Serving, m.Wanted)
	}
	fmt.Fprintln(table, "\nENDPOINT\tFAILURE DOMAIN\tSERVES\tQUEUED TOKENS\tRUNNING\tWAIT\tLONG WAIT\tSTATE")
	for _, e := range o.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", e.Name, orDash(e.FailureDomain), orDash(e.Serves),
			e.QueuedTokens, e.Running, millis(e.WaitMillis), millis(e.LongWaitMs), e.state())
	}
	return table.Flush()
}

// revisionSummary returns the number of daemons on which each revision is in force.
func (o overview) revisionSummary() string {
	counts := map[string]int{}
	for _, d := range o.Daemons {
		if d.Revision != "" {
			counts[d.Revision]++
		}
	}
	var parts []string
	for v, count := range counts {
		parts = append(parts, fmt.Sprintf("%s on %d", v, count))
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

// suggestMember returns a hint with the member name closest to name.
func suggestMember(name string, members []member) string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.name
	}
	if nearest := tomlcheck.Nearest(name, names); nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	return ""
}
