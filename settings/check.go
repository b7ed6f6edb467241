package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Valid values of settings with a fixed set of names.
var (
	dutyNames  = []string{string(DutyEntry), string(DutyEndpoint), string(DutyControl)}
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"text", "json"}
)

func (d *Daemon) check(r *tomlcheck.Report) {
	d.checkInstance(r)
	d.checkTLS(r)
	r.CheckKnown("log.level", d.Log.Level, "log level", logLevels)
	r.CheckKnown("log.format", d.Log.Format, "log format", logFormats)
	if d.Has(DutyEntry) {
		d.checkEntry(r)
	}
	if d.Has(DutyEndpoint) {
		d.checkEndpoint(r)
	}
	if d.Has(DutyControl) {
		d.checkControl(r)
	}
}

func (d *Daemon) checkInstance(r *tomlcheck.Report) {
	in := d.Instance
	checkNotEmpty(r, "instance.name", in.Name, "the instance's own name")
	checkNotEmpty(r, "instance.failure_domain", in.FailureDomain, "the failure domain that the instance stands in")
	if len(in.Duties) == 0 {
		r.Add("instance.duties", "missing", "a list of "+strings.Join(dutyNames, ", "))
	}
	for i, duty := range in.Duties {
		key := tomlcheck.Element("instance.duties", i)
		r.CheckKnown(key, string(duty), "duty", dutyNames)
		if slices.Index(in.Duties, duty) < i {
			r.Add(key, fmt.Sprintf("%q is listed twice", duty), "each duty once")
		}
	}
	listen := d.checkListener(r, "instance.listen", in.Listen)
	if in.Advertise != "" {
		checkPeerAddress(r, "instance.advertise", in.Advertise)
	} else if listen.IsValid() && listen.Addr().IsUnspecified() {
		r.Add("instance.advertise", "missing while instance.listen is a wildcard address", "the IP:port at which other daemons reach this one")
	}
	for i, seed := range in.Seeds {
		checkPeerAddress(r, tomlcheck.Element("instance.seeds", i), seed)
	}
}

func (d *Daemon) checkTLS(r *tomlcheck.Report) {
	t := d.TLS
	if t.Certificate == "" && t.Key == "" && t.Authority == "" {
		return
	}
	const all = "all three of tls.certificate, tls.key and tls.authority, or none"
	files := []struct{ key, path string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.authority", t.Authority},
	}
	for _, f := range files {
		checkNotEmpty(r, f.key, f.path, all)
	}
	if t.Plain {
		r.Add("tls.plain", "true together with TLS files", "one or the other")
	}
}

// checkListener checks that the address is an IP:port to listen on. A non-loopback
// address requires TLS or an explicit tls.plain.
func (d *Daemon) checkListener(r *tomlcheck.Report, key, address string) netip.AddrPort {
	listen, ok := parseAddress(r, key, address)
	if !ok {
		return netip.AddrPort{}
	}
	if !listen.Addr().IsLoopback() && !d.TLS.Secure() && !d.TLS.Plain {
		r.Add(key, fmt.Sprintf("%s is not a loopback address and there is no TLS", address),
			"the TLS files in [tls], or plain = true there to run without TLS")
	}
	return listen
}

func (d *Daemon) checkEntry(r *tomlcheck.Report) {
	d.checkListener(r, "entry.listen", d.Entry.Listen)
	if d.Entry.Listen != "" && d.Entry.Listen == d.Instance.Listen && !hasPortZero(d.Entry.Listen) {
		r.Add("entry.listen", "the same as instance.listen", "a different address")
	}
	if d.Entry.BalancerDelay < 0 {
		r.Add("entry.balancer_delay", fmt.Sprintf("found %s", d.Entry.BalancerDelay.D()), "a time, 0s or more")
	}
}

func (d *Daemon) checkEndpoint(r *tomlcheck.Report) {
	e := d.Endpoint
	switch {
	case e.Engine == "" && e.Service == "":
		r.Add("endpoint", "neither an engine nor a service is set", "endpoint.engine, or endpoint.service with endpoint.url")
	case e.Engine != "" && e.Service != "":
		r.Add("endpoint.service", "set together with endpoint.engine", "one of the two")
	case e.Engine != "":
		checkURL(r, "endpoint.engine", e.Engine)
	default:
		checkURL(r, "endpoint.url", e.URL)
	}
	if e.Stall <= 0 {
		r.Add("endpoint.stall", fmt.Sprintf("found %s", e.Stall.D()), "a time, more than 0s")
	}
}

func (d *Daemon) checkControl(r *tomlcheck.Report) {
	checkNotEmpty(r, "control.data_folder", d.Control.DataFolder, "a folder on a disk of this instance")
	names := make([]string, len(d.Control.Members))
	for i, m := range d.Control.Members {
		key := tomlcheck.Element("control.members", i)
		checkNotEmpty(r, key+".name", m.Name, "the member's instance name")
		checkPeerAddress(r, key+".address", m.Address)
		if m.Name != "" && slices.Contains(names, m.Name) {
			r.Add(key+".name", fmt.Sprintf("%q is listed twice", m.Name), "each member once")
		}
		names[i] = m.Name
	}
}

func checkNotEmpty(r *tomlcheck.Report, key, value, expected string) {
	if value == "" {
		r.Add(key, "missing", expected)
	}
}

func checkPeerAddress(r *tomlcheck.Report, key, address string) {
	peer, ok := parseAddress(r, key, address)
	if ok && (peer.Addr().IsUnspecified() || peer.Port() == 0) {
		r.Add(key, fmt.Sprintf("found %q", address), "an address that other instances can reach")
	}
}

func parseAddress(r *tomlcheck.Report, key, address string) (netip.AddrPort, bool) {
	const expected = `an IP number and port, such as "10.1.0.4:7400"`
	if address == "" {
		r.Add(key, "missing", expected)
		return netip.AddrPort{}, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		r.Add(key, fmt.Sprintf("found %q", address), expected)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

func checkURL(r *tomlcheck.Report, key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		r.Add(key, fmt.Sprintf("found %q", text), `a URL such as "http://127.0.0.1:8000"`)
	}
}

func hasPortZero(address string) bool { return strings.HasSuffix(address, ":0") }
