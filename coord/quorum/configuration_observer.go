package quorum

import (
	"fmt"
	"slices"

	"github.com/jacinthplank/jacinthplank/coord/shortname"
)

// maxChangeBytes bounds the change in a line, so that what follows it stands in the first 200
// characters.
const maxChangeBytes = 20

// configurationObserver records the configuration that was last logged.
type configurationObserver struct {
	isLogged  bool
	last      indexedConfiguration
	committed bool
}

// reportConfiguration logs the configuration in effect at the start, after each change and once
// it is committed: members whose logs hold different ones may count different majorities. A leader
// makes one change at a time, which bounds the lines.
func (n *Node) reportConfiguration() {
	var current indexedConfiguration
	if all := n.core.configurations; len(all) > 0 {
		current = all[len(all)-1]
	}
	o := &n.configuration
	before, after := o.last.configuration, current.configuration
	committed := current.index <= n.core.Commit()
	isSame := o.isLogged && current.index == o.last.index && slices.Equal(before.Voters, after.Voters) && slices.Equal(before.Learners, after.Learners)
	if isSame && committed == o.committed {
		return
	}
	var change string
	switch {
	case !o.isLogged:
		change = "start"
	case isSame:
		change = "commit"
	case current.index < o.last.index:
		change = boundedChange("undo ", changesBetween(after, before))
	default:
		change = boundedChange("", changesBetween(before, after))
	}
	*o = configurationObserver{isLogged: true, last: current, committed: committed}
	// Collectors may cut the line after 200 characters.
	n.options.Logger.Info("members", "voters", len(after.Voters), "learners", len(after.Learners), "change", change,
		"index", current.index, "committed", committed, "role", roleIn(after, n.self.Disk), "term", n.core.Term(), "commit", n.core.Commit(),
		"voter_disks", namesAndDisks(after.Voters), "learner_disks", namesAndDisks(after.Learners), "step", "quorum.members")
}

// changesBetween returns the changes that lead from one configuration to another, with
// abbreviated names.
func changesBetween(before, after Configuration) []string {
	var all, changes []string
	for _, m := range slices.Concat(before.Members(), after.Members()) {
		all = append(all, m.Name)
	}
	add := func(kind string, m Member) { changes = append(changes, kind+" "+shortname.Trim(m.Name, all)) }
	for _, m := range after.Members() {
		_, wasMember := before.Member(m.Disk)
		_, wasVoter := before.Voter(m.Disk)
		_, isVoter := after.Voter(m.Disk)
		switch {
		case !wasMember:
			add("add", m)
		case isVoter && !wasVoter:
			add("promote", m)
		}
	}
	for _, m := range before.Members() {
		if _, isMember := after.Member(m.Disk); !isMember {
			add("remove", m)
		}
	}
	return changes
}

// boundedChange returns the first change and the number of further ones.
func boundedChange(prefix string, changes []string) string {
	if len(changes) == 0 {
		return prefix + "none"
	}
	suffix := ""
	if len(changes) > 1 {
		suffix = fmt.Sprintf(" +%d", len(changes)-1)
	}
	first := prefix + changes[0]
	return first[:min(len(first), maxChangeBytes-len(suffix))] + suffix
}

func roleIn(c Configuration, disk DiskIdentity) string {
	if _, ok := c.Voter(disk); ok {
		return "voter"
	}
	if _, ok := c.Learner(disk); ok {
		return "learner"
	}
	return "none"
}

func namesAndDisks(members []Member) []string {
	var out []string
	for _, m := range members {
		name := m.Name + "@" + string(m.Disk)
		if m.Replaces != "" {
			name += " replaces " + string(m.Replaces)
		}
		out = append(out, name)
	}
	return out
}
