package questionnaire

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

var (
	sizes = []string{string(SizeSmall), string(SizeMedium), string(SizeLarge)}
	tasks = []string{string(TaskEntry), string(TaskEndpoint)}
)

// Validate returns all faults of the answers as tomlcheck.Faults, or nil.
func (a *Answers) Validate() error {
	report := tomlcheck.NewReport()
	a.check(report)
	return report.Err()
}

func (a *Answers) check(r *tomlcheck.Report) {
	if a.Name == "" {
		r.Add("name", "missing", "a name for the fleet")
	}
	a.checkTimes(r)
	a.checkSecurity(r)
	a.checkFailureDomains(r)
	a.checkModels(r)
	a.checkServices(r)
	a.checkAccounts(r)
	a.checkInstances(r)
}

func (a *Answers) checkTimes(r *tomlcheck.Report) {
	checkTime(r, "times.short", a.Times.Short, false)
	checkTime(r, "times.long", a.Times.Long, false)
	if a.Times.Remember < a.Times.Long {
		r.Add("times.remember", fmt.Sprintf("found %s", a.Times.Remember.D()), "at least times.long, so that no resend can run twice")
	}
}

func (a *Answers) checkSecurity(r *tomlcheck.Report) {
	s := a.Security
	files := s.Certificate != "" && s.Key != "" && s.Authority != ""
	none := s.Certificate == "" && s.Key == "" && s.Authority == ""
	const expected = "certificate, key and authority, or plain = true to run without TLS"
	switch {
	case s.Plain && !none:
		r.Add("security", "plain = true together with TLS files", "one or the other")
	case !s.Plain && !files:
		r.Add("security", "no way for daemons to authenticate each other", expected)
	}
}

func (a *Answers) checkFailureDomains(r *tomlcheck.Report) {
	names := namesOf(a.FailureDomains, func(d FailureDomain) string { return d.Name })
	if len(names) == 0 {
		r.Add("failure_domains", "missing", "at least one failure domain")
	}
	r.CheckNames("failure_domains", ".name", names)
	for i, trip := range a.RoundTrips {
		key := tomlcheck.Element("round_trips", i)
		if len(trip.Between) != 2 || trip.Between[0] == trip.Between[1] {
			r.Add(key+".between", fmt.Sprintf("found %d names", len(trip.Between)), "two different failure domains")
		}
		for j, name := range trip.Between {
			r.CheckKnown(tomlcheck.Element(key+".between", j), name, "failure domain", names)
		}
		checkTime(r, key+".time", trip.Time, true)
	}
	r.CheckNames("endpoint_kinds", ".name", namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name }))
}

func (a *Answers) checkModels(r *tomlcheck.Report) {
	r.CheckNames("models", ".name", a.modelNames())
	if len(a.Models) == 0 && len(a.Services) == 0 {
		r.Add("models", "missing", "at least one model or service")
	}
	for i, m := range a.Models {
		if m.MaxPrompt < 1 || m.MaxPrompt > fleet.MaxPromptTokens {
			r.Add(tomlcheck.Element("models", i)+".max_prompt", fmt.Sprintf("found %d", m.MaxPrompt), fmt.Sprintf("1 to %d tokens", fleet.MaxPromptTokens))
		}
	}
}

func (a *Answers) checkServices(r *tomlcheck.Report) {
	r.CheckNames("services", ".name", a.serviceNames())
	for i, s := range a.Services {
		for j, call := range s.NonIdempotent {
			key := tomlcheck.Element(tomlcheck.Element("services", i)+".non_idempotent", j)
			if _, _, err := SplitCall(call); err != nil {
				r.Add(key, fmt.Sprintf("found %q", call), `a method and a path, such as "POST /certificates" or "POST /receipts/*"`)
			}
		}
	}
}

// SplitCall returns the method and path of a call such as "POST /receipts".
func SplitCall(call string) (method, path string, err error) {
	method, path, found := strings.Cut(call, " ")
	if !found || !slices.Contains(fleet.OnceMethods, method) || !strings.HasPrefix(path, "/") || strings.Contains(path, " ") {
		return "", "", fmt.Errorf("%q is not a method and path", call)
	}
	return method, path, nil
}

func (a *Answers) checkAccounts(r *tomlcheck.Report) {
	r.CheckNames("accounts", ".name", namesOf(a.Accounts, func(c Account) string { return c.Name }))
	digests := tomlcheck.Digests{}
	for i, c := range a.Accounts {
		key := tomlcheck.Element("accounts", i)
		r.CheckKnown(key+".size", string(c.Size), "size", sizes)
		for j, m := range c.Models {
			r.CheckKnown(tomlcheck.Element(key+".models", j), m, "model", a.modelNames())
		}
		for j, digest := range c.KeyDigests {
			digests.Check(r, tomlcheck.Element(key+".key_digests", j), digest, c.Name)
		}
		checkTime(r, key+".short", c.Short, true)
		checkTime(r, key+".long", c.Long, true)
		tomlcheck.CheckNotNegative(r, key+".short_tokens", c.ShortTokens, "tokens of work per second, 0 for no limit")
		tomlcheck.CheckNotNegative(r, key+".long_tokens", c.LongTokens, "tokens of work per second, 0 for no limit")
	}
}

func (a *Answers) checkInstances(r *tomlcheck.Report) {
	r.CheckNames("instances", ".name", namesOf(a.Instances, func(g InstanceGroup) string { return g.Name }))
	domains := namesOf(a.FailureDomains, func(d FailureDomain) string { return d.Name })
	usedAddresses := map[string]string{}
	entries, disks := 0, 0
	for i, g := range a.Instances {
		key := tomlcheck.Element("instances", i)
		r.CheckKnown(key+".task", string(g.Task), "task", tasks)
		r.CheckKnown(key+".failure_domain", g.FailureDomain, "failure domain", domains)
		if strings.ContainsAny(g.Name, `/\`) {
			r.Add(key+".name", fmt.Sprintf("found %q", g.Name), "a name without slashes, as files are named after it")
		}
		checkPort(r, key+".port", g.Port)
		if g.Task == TaskEntry {
			checkPort(r, key+".caller_port", g.CallerPort)
		}
		if len(g.Addresses) == 0 {
			r.Add(key+".addresses", "missing", "the IP number of each instance")
		}
		for j, address := range g.Addresses {
			checkAddress(r, tomlcheck.Element(key+".addresses", j), address, g.Port, usedAddresses)
		}
		if g.Task == TaskEntry {
			entries += len(g.Addresses)
		}
		if g.Task == TaskEndpoint {
			a.checkEndpoints(r, key, g)
		}
		if g.Disk != "" {
			disks += len(g.Addresses)
		}
	}
	if entries == 0 {
		r.Add("instances", "no entry", "a group with task = \"entry\"")
	} else if disks == 0 {
		r.Add("instances", "no instance has a disk", "disk = a data folder for one, preferably three instances: they store the accepted configuration")
	}
}

func (a *Answers) checkEndpoints(r *tomlcheck.Report, key string, g InstanceGroup) {
	r.CheckKnown(key+".kind", g.Kind, "endpoint kind", namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name }))
	switch {
	case g.Model == "" && g.Service == "":
		r.Add(key+".model", "missing", "the model or the service that these endpoints serve")
	case g.Model != "" && g.Service != "":
		r.Add(key+".service", "set together with model", "one of the two")
	case g.Model != "":
		r.CheckKnown(key+".model", g.Model, "model", a.modelNames())
	default:
		r.CheckKnown(key+".service", g.Service, "service", a.serviceNames())
	}
	u, err := url.Parse(g.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		r.Add(key+".url", fmt.Sprintf("found %q", g.URL), "the URL of the engine or service, such as "+DefaultEngineURL)
	}
}

func checkPort(r *tomlcheck.Report, key string, port int) {
	if port < 1 || port > math.MaxUint16 {
		r.Add(key, fmt.Sprintf("found %d", port), fmt.Sprintf("a port from 1 to %d", math.MaxUint16))
	}
}

func checkAddress(r *tomlcheck.Report, key, address string, port int, usedAddresses map[string]string) {
	ip, err := netip.ParseAddr(address)
	if err != nil || ip.IsUnspecified() {
		r.Add(key, fmt.Sprintf("found %q", address), `an IP number such as "10.1.0.4"`)
		return
	}
	addrPort := netip.AddrPortFrom(ip, uint16(port)).String()
	if other, used := usedAddresses[addrPort]; used {
		r.Add(key, fmt.Sprintf("%s is also the address of %s", addrPort, other), "a unique address and port")
	}
	usedAddresses[addrPort] = key
}

func (a *Answers) modelNames() []string {
	return namesOf(a.Models, func(m Model) string { return m.Name })
}

func (a *Answers) serviceNames() []string {
	return namesOf(a.Services, func(s Service) string { return s.Name })
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, len(list))
	for i, item := range list {
		names[i] = name(item)
	}
	return names
}

func checkTime(r *tomlcheck.Report, key string, d fleet.Duration, allowZero bool) {
	if d < 0 || (d == 0 && !allowZero) {
		r.Add(key, fmt.Sprintf("found %s", d.D()), `a time such as "30s" or "2h"`)
	}
}
