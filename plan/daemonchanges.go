package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jacinthplank/jacinthplank/settings"
)

// DescribeDaemonChanges describes in plain sentences which daemons are added, removed or
// changed, and what to do on their instances.
func DescribeDaemonChanges(before, after []*settings.Daemon) []string {
	oldByName, newByName := daemonsByName(before), daemonsByName(after)
	var sentences []string
	for _, name := range sortedNames(oldByName, newByName) {
		oldDaemon, newDaemon := oldByName[name], newByName[name]
		switch {
		case oldDaemon == nil:
			sentences = append(sentences, fmt.Sprintf("Daemon %s is new, in %s: put its settings there and start it.", name, newDaemon.Instance.FailureDomain))
		case newDaemon == nil:
			sentences = append(sentences, fmt.Sprintf("Daemon %s is gone: drain it, then stop it%s.", name, controlMemberHint(oldDaemon)))
		case mustDaemonText(oldDaemon) != mustDaemonText(newDaemon):
			sentences = append(sentences, fmt.Sprintf("Daemon %s has other settings (%s): replace its file, drain it and start it again.", name, changedSections(oldDaemon, newDaemon)))
		}
	}
	return sentences
}

func controlMemberHint(d *settings.Daemon) string {
	if d.Has(settings.DutyControl) {
		return ". It belongs to the control quorum: replace that member first"
	}
	return ""
}

func daemonsByName(daemons []*settings.Daemon) map[string]*settings.Daemon {
	indexed := map[string]*settings.Daemon{}
	for _, d := range daemons {
		indexed[d.Instance.Name] = d
	}
	return indexed
}

func sortedNames(sets ...map[string]*settings.Daemon) []string {
	seen := map[string]bool{}
	var names []string
	for _, set := range sets {
		for name := range set {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

func mustDaemonText(d *settings.Daemon) string {
	t, err := DaemonText(d)
	if err != nil {
		panic(err) // all settings can be encoded as TOML
	}
	return t
}

// changedSections returns the names of the settings sections that differ.
func changedSections(oldDaemon, newDaemon *settings.Daemon) string {
	var names []string
	add := func(name string, differs bool) {
		if differs {
			names = append(names, name)
		}
	}
	add("instance", fmt.Sprint(oldDaemon.Instance) != fmt.Sprint(newDaemon.Instance))
	add("tls", oldDaemon.TLS != newDaemon.TLS)
	add("log", oldDaemon.Log != newDaemon.Log)
	add("entry", oldDaemon.Entry != newDaemon.Entry)
	add("endpoint", oldDaemon.Endpoint != newDaemon.Endpoint)
	add("control", fmt.Sprint(oldDaemon.Control) != fmt.Sprint(newDaemon.Control))
	return strings.Join(names, ", ")
}
