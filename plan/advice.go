package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jacinthplank/jacinthplank/questionnaire"
)

// Advice returns notes on answers that are valid but risky: single points of failure,
// and items that no caller can use yet.
func Advice(a *questionnaire.Answers) []string {
	var notes []string
	notes = append(notes, quorumAdvice(a)...)
	notes = append(notes, entryAdvice(a)...)
	notes = append(notes, endpointAdvice(a)...)
	return append(notes, keyAdvice(a)...)
}

func quorumAdvice(a *questionnaire.Answers) []string {
	all := instances(a)
	members := controlMembers(all)
	diskCount := 0
	membersByDomain := map[string]int{}
	for _, i := range all {
		if i.group.Disk != "" {
			diskCount++
		}
		if isMember(members, i.name) {
			membersByDomain[i.group.FailureDomain]++
		}
	}
	var notes []string
	if len(members) == 1 {
		notes = append(notes, "Only one instance keeps the accepted configuration. While it is down, nothing can be changed and calls that run at most once are refused; when its disk is lost, so are its records. Three instances with disks, in three failure domains, tolerate the loss of any one of them.")
	}
	if diskCount > len(members) {
		notes = append(notes, fmt.Sprintf("%d instances have disks, of which the control quorum uses %d: the number of its members is odd and at most %d.", diskCount, len(members), maxMembers))
	}
	for _, domain := range sortedKeys(membersByDomain) {
		if n := membersByDomain[domain]; len(members) > 1 && 2*n > len(members) {
			notes = append(notes, fmt.Sprintf("Failure domain %s holds %d of %d control members: losing it loses the quorum.", domain, n, len(members)))
		}
	}
	return notes
}

func entryAdvice(a *questionnaire.Answers) []string {
	entriesByDomain := map[string]int{}
	entries := 0
	for _, g := range a.Instances {
		if g.Task == questionnaire.TaskEntry {
			entriesByDomain[g.FailureDomain] += len(g.Addresses)
			entries += len(g.Addresses)
		}
	}
	switch {
	case entries == 1:
		return []string{"There is only one entry: while it is down, no caller is served."}
	case len(entriesByDomain) == 1 && len(a.FailureDomains) > 1:
		return []string{fmt.Sprintf("All entries are in failure domain %s: losing it loses every caller.", sortedKeys(entriesByDomain)[0])}
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
	var notes []string
	for _, m := range a.Models {
		if !served["model "+m.Name] {
			notes = append(notes, fmt.Sprintf("No instance serves the model %s: requests for it are refused with no_endpoint.", m.Name))
		}
	}
	for _, s := range a.Services {
		if !served["service "+s.Name] {
			notes = append(notes, fmt.Sprintf("No instance serves the service %s: calls to it are refused with no_endpoint.", s.Name))
		}
	}
	return notes
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
	return []string{fmt.Sprintf("These accounts have no key yet and cannot send requests: %s. `jacinthplank keys account` creates one.", strings.Join(without, ", "))}
}

func sortedKeys(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
