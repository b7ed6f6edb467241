package questionnaire

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

var (
	sizes   = []string{string(SizeSmall), string(SizeMedium), string(SizeLarge)}
	tasks   = []string{string(TaskEntry), string(TaskEndpoint)}
	methods = []string{"POST", "PUT", "PATCH", "DELETE", "GET"}
)

// Validate returns every fault of the answers as tomlcheck.Faults, or nil.
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
	a.checkPlaces(r)
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
	const expected = "certificate, key and authority, or plain = true to do without TLS"
	switch {
	case s.Plain && !none:
		r.Add("security", "plain = true beside files of TLS", "one or the other")
	case !s.Plain && !files:
		r.Add("security", "no way for daemons to know one another", expected)
	}
}

func (a *Answers) checkPlaces(r *tomlcheck.Report) {
	names := namesOf(a.FailureDomains, func(d FailureDomain) string { return d.Name })
	if len(names) == 0 {
		r.Add("failure_domains", "missing", "at least one place")
	}
	checkNames(r, "failure_domains", names)
	for i, trip := range a.RoundTrips {
		key := tomlcheck.Element("round_trips", i)
		if len(trip.Between) != 2 || trip.Between[0] == trip.Between[1] {
			r.Add(key+".between", fmt.Sprintf("found %d names", len(trip.Between)), "two different failure domains")
		}
		for j, name := range trip.Between {
			checkKnown(r, tomlcheck.Element(key+".between", j), name, "failure domain", names)
		}
		checkTime(r, key+".time", trip.Time, true)
	}
	checkNames(r, "endpoint_kinds", namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name }))
}

func (a *Answers) checkModels(r *tomlcheck.Report) {
	checkNames(r, "models", a.modelNames())
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
	checkNames(r, "services", a.serviceNames())
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
	if !found || !slices.Contains(methods, method) || !strings.HasPrefix(path, "/") || strings.Contains(path, " ") {
		return "", "", fmt.Errorf("%q is no method and path", call)
	}
	return method, path, nil
}

func (a *Answers) checkAccounts(r *tomlcheck.Report) {
	checkNames(r, "accounts", namesOf(a.Accounts, func(c Account) string { return c.Name }))
	owners := map[string]string{}
	for i, c := range a.Accounts {
		key := tomlcheck.Element("accounts", i)
		checkKnown(r, key+".size", string(c.Size), "size", sizes)
		for j, m := range c.Models {
			checkKnown(r, tomlcheck.Element(key+".models", j), m, "model", a.modelNames())
		}
		for j, digest := range c.KeyDigests {
			checkDigest(r, tomlcheck.Element(key+".key_digests", j), digest, c.Name, owners)
		}
		checkTime(r, key+".short", c.Short, true)
		checkTime(r, key+".long", c.Long, true)
		checkCount(r, key+".short_tokens", c.ShortTokens)
		checkCount(r, key+".long_tokens", c.LongTokens)
	}
}

func checkDigest(r *tomlcheck.Report, key, digest, account string, owners map[string]string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != 32 {
		r.Add(key, fmt.Sprintf("text of %d characters", len(digest)), "64 hexadecimal digits; `jacinthplank keys` makes them")
		return
	}
	if owner, taken := owners[digest]; taken {
		r.Add(key, fmt.Sprintf("the key belongs to account %q already", owner), "a key of this account alone")
	}
	owners[digest] = account
}

func (a *Answers) checkInstances(r *tomlcheck.Report) {
	checkNames(r, "instances", namesOf(a.Instances, func(g Instances) string { return g.Name }))
	places := namesOf(a.FailureDomains, func(d FailureDomain) string { return d.Name })
	taken := map[string]string{}
	entries, disks := 0, 0
	for i, g := range a.Instances {
		key := tomlcheck.Element("instances", i)
		checkKnown(r, key+".task", string(g.Task), "task", tasks)
		checkKnown(r, key+".failure_domain", g.FailureDomain, "failure domain", places)
		if len(g.Addresses) == 0 {
			r.Add(key+".addresses", "missing", "the IP number of each instance")
		}
		for j, address := range g.Addresses {
			checkAddress(r, tomlcheck.Element(key+".addresses", j), address, g.Port, taken)
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
		r.Add("instances", "no instance has a disk", "disk = a data folder for one, better three instances: they keep the accepted configuration")
	}
}

func (a *Answers) checkEndpoints(r *tomlcheck.Report, key string, g Instances) {
	checkKnown(r, key+".kind", g.Kind, "endpoint kind", namesOf(a.EndpointKinds, func(k EndpointKind) string { return k.Name }))
	switch {
	case g.Model == "" && g.Service == "":
		r.Add(key+".model", "missing", "the model or the service that these endpoints serve")
	case g.Model != "" && g.Service != "":
		r.Add(key+".service", "stands beside model", "one of the two")
	case g.Model != "":
		checkKnown(r, key+".model", g.Model, "model", a.modelNames())
	default:
		checkKnown(r, key+".service", g.Service, "service", a.serviceNames())
	}
	u, err := url.Parse(g.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		r.Add(key+".url", fmt.Sprintf("found %q", g.URL), "the URL of the engine or service, such as "+DefaultEngineURL)
	}
}

func checkAddress(r *tomlcheck.Report, key, address string, port int, taken map[string]string) {
	ip, err := netip.ParseAddr(address)
	if err != nil || ip.IsUnspecified() {
		r.Add(key, fmt.Sprintf("found %q", address), `an IP number such as "10.1.0.4"`)
		return
	}
	full := netip.AddrPortFrom(ip, uint16(port)).String()
	if other, used := taken[full]; used {
		r.Add(key, fmt.Sprintf("%s is also the address of %s", full, other), "an address and port of its own")
	}
	taken[full] = key
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

func checkNames(r *tomlcheck.Report, list string, names []string) {
	for i, name := range names {
		key := tomlcheck.Element(list, i) + ".name"
		if name == "" || strings.ContainsAny(name, " \t\r\n\"'[]") {
			r.Add(key, fmt.Sprintf("found %q", name), "a name without spaces, quotes or brackets")
		} else if slices.Index(names, name) < i {
			r.Add(key, fmt.Sprintf("%q is taken already", name), "a name of its own")
		}
	}
}

func checkKnown(r *tomlcheck.Report, key, name, what string, valid []string) {
	if !slices.Contains(valid, name) {
		r.Unknown(key, name, what, valid)
	}
}

func checkTime(r *tomlcheck.Report, key string, d fleet.Duration, zero bool) {
	if d < 0 || (d == 0 && !zero) {
		r.Add(key, fmt.Sprintf("found %s", d.D()), `a time such as "30s" or "2h"`)
	}
}

func checkCount(r *tomlcheck.Report, key string, n int) {
	if n < 0 {
		r.Add(key, fmt.Sprintf("found %d", n), "tokens of work per second, 0 for no limit")
	}
}
