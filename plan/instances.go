package plan

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jacinthplank/jacinthplank/settings"
)

// DaemonsMeaning tells in plain words which daemons a change of the answers
// adds, takes away or changes, and what to do on their instances.
func DaemonsMeaning(before, after []*settings.Daemon) []string {
	old, fresh := byName(before), byName(after)
	var sentences []string
	for _, name := range sortedNames(old, fresh) {
		was, is := old[name], fresh[name]
		switch {
		case was == nil:
			sentences = append(sentences, fmt.Sprintf("Daemon %s is new, in %s: put its settings there and start it.", name, is.Instance.FailureDomain))
		case is == nil:
			sentences = append(sentences, fmt.Sprintf("Daemon %s is gone: drain it, then stop it%s.", name, memberHint(was)))
		case text(was) != text(is):
			sentences = append(sentences, fmt.Sprintf("Daemon %s has other settings (%s): replace its file, drain it and start it again.", name, sections(was, is)))
		}
	}
	return sentences
}

func memberHint(d *settings.Daemon) string {
	if d.Has(settings.DutyControl) {
		return ". It belongs to the control quorum: replace that member first"
	}
	return ""
}

func byName(daemons []*settings.Daemon) map[string]*settings.Daemon {
	names := map[string]*settings.Daemon{}
	for _, d := range daemons {
		names[d.Instance.Name] = d
	}
	return names
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

func text(d *settings.Daemon) string {
	t, err := DaemonText(d)
	if err != nil {
		panic(err) // every setting has a TOML form
	}
	return t
}

// sections names the sections of the settings that differ.
func sections(was, is *settings.Daemon) string {
	var names []string
	add := func(name string, differs bool) {
		if differs {
			names = append(names, name)
		}
	}
	add("instance", fmt.Sprint(was.Instance) != fmt.Sprint(is.Instance))
	add("tls", was.TLS != is.TLS)
	add("log", was.Log != is.Log)
	add("entry", was.Entry != is.Entry)
	add("endpoint", was.Endpoint != is.Endpoint)
	add("control", fmt.Sprint(was.Control) != fmt.Sprint(is.Control))
	return strings.Join(names, ", ")
}
