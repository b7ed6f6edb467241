package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jacinthplank/jacinthplank/questionnaire"
)

// Advice tells what in the answers is allowed but weak: what one loss would
// stop, and what nobody can use yet.
func Advice(a *questionnaire.Answers) []string {
	var said []string
	said = append(said, quorumAdvice(a)...)
	said = append(said, entryAdvice(a)...)
	said = append(said, endpointAdvice(a)...)
	return append(said, keyAdvice(a)...)
}

func quorumAdvice(a *questionnaire.Answers) []string {
	all := instances(a)
	members := controlMembers(all)
	disks := 0
	in := map[string]int{} // members by failure domain
	for _, i := range all {
		if i.group.Disk != "" {
			disks++
		}
		if isMember(members, i.name) {
			in[i.group.FailureDomain]++
		}
	}
	var said []string
	if len(members) == 1 {
		said = append(said, "Only one instance keeps the accepted configuration. While it is away, nothing can be changed and calls that run at most once are refused; when its disk is lost, so are its records. Three instances with disks, in three failure domains, are safe against one loss.")
	}
	if disks > len(members) {
		said = append(said, fmt.Sprintf("%d instances have disks, of which the control quorum uses %d: the number of its members is odd and at most %d.", disks, len(members), maxMembers))
	}
	for _, place := range sortedKeys(in) {
		if n := in[place]; len(members) > 1 && 2*n > len(members) {
			said = append(said, fmt.Sprintf("Failure domain %s holds %d of %d control members: losing it loses the quorum.", place, n, len(members)))
		}
	}
	return said
}

func entryAdvice(a *questionnaire.Answers) []string {
	places := map[string]int{}
	entries := 0
	for _, g := range a.Instances {
		if g.Task == questionnaire.TaskEntry {
			places[g.FailureDomain] += len(g.Addresses)
			entries += len(g.Addresses)
		}
	}
	switch {
	case entries == 1:
		return []string{"There is one entry only: while it is away, no caller is served."}
	case len(places) == 1 && len(a.FailureDomains) > 1:
		return []string{fmt.Sprintf("All entries are in failure domain %s: losing it loses every caller.", sortedKeys(places)[0])}
	default:
		return nil
	}
}

func endpointAdvice(a *questionnaire.Answers) []string {
	served := map[string]bool{}
	for _, g := range a.Instances {
		if g.Task == questionnaire.TaskEndpoint {
			served["model "+g.Model] = true
			served["service "+g.Service] = true
		}
	}
	var said []string
	for _, m := range a.Models {
		if !served["model "+m.Name] {
			said = append(said, fmt.Sprintf("No instance serves the model %s: requests for it are refused with no_endpoint.", m.Name))
		}
	}
	for _, s := range a.Services {
		if !served["service "+s.Name] {
			said = append(said, fmt.Sprintf("No instance serves the service %s: calls to it are refused with no_endpoint.", s.Name))
		}
	}
	return said
}

func keyAdvice(a *questionnaire.Answers) []string {
	var without []string
	for _, c := range a.Accounts {
		if len(c.KeyDigests) == 0 {
			without = append(without, c.Name)
		}
	}
	if len(without) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("No key yet, so nobody can call for: %s. `jacinthplank keys account` makes one.", strings.Join(without, ", "))}
}

func sortedKeys(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
