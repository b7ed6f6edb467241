package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/settings"
)

const entrySettings = `[instance]
name = "entry-1"
failure_domain = "north"
duties = ["entry", "control"]
listen = "127.0.0.1:7400"
seeds = ["127.0.0.1:7500"]

[entry]
listen = "127.0.0.1:8080"

[control]
data_folder = "data"
members = [{ name = "entry-1", address = "127.0.0.1:7400" }]
`

func TestLoadAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "d.toml")
	g.Expect(os.WriteFile(path, []byte(entrySettings), 0o600)).To(Succeed())
	d, err := settings.Load(path)

	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Has(settings.DutyControl)).To(BeTrue())
	g.Expect(d.Has(settings.DutyEndpoint)).To(BeFalse())
	g.Expect(d.Entry.BalancerDelay).To(Equal(settings.DefaultBalancerDelay))
	g.Expect(d.Log.Level).To(Equal(settings.DefaultLogLevel))
}

func TestLoadReportsMissingFile(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.toml"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(BeAssignableToTypeOf(settings.Faults{}))
}

func TestParseReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse("d.toml", []byte(`[instance]
name = "edge"
duties = ["entri", "endpoint"]
listen = "host:7400"
seeds = ["0.0.0.0:1"]

[endpoint]
engine = "localhost:8000"
stall = "soon"

[log]
levle = "info"
`))

	g.Expect(err).To(MatchError(`d.toml:1: instance.failure_domain: missing; expected the failure domain that the instance stands in
d.toml:3: instance.duties[1]: "entri" is not a known duty; expected one of entry, endpoint, control; did you mean "entry"?
d.toml:4: instance.listen: found "host:7400"; expected an IP number and port, such as "10.1.0.4:7400"
d.toml:5: instance.seeds[1]: found "0.0.0.0:1"; expected an address that other instances can reach
d.toml:8: endpoint.engine: found "localhost:8000"; expected a URL such as "http://127.0.0.1:8000"
d.toml:9: endpoint.stall: "soon" cannot be read; expected text such as "30s" or "5m"
d.toml:12: log.levle: unknown key; expected one of format, level; did you mean "level"?`))
}

func TestNonLoopbackListenerRequiresTLS(t *testing.T) {
	const nonLoopback = `[instance]
name = "entry-1"
failure_domain = "north"
duties = ["entry"]
listen = "10.0.0.1:7400"
[entry]
listen = "10.0.0.1:8080"
`
	g := NewWithT(t)
	_, err := settings.Parse("d.toml", []byte(nonLoopback))
	g.Expect(err).To(MatchError(And(
		ContainSubstring("d.toml:5: instance.listen: 10.0.0.1:7400 is not a loopback address and there is no TLS"),
		ContainSubstring("d.toml:7: entry.listen: 10.0.0.1:8080 is not a loopback address"))))

	_, err = settings.Parse("d.toml", []byte(nonLoopback+"[tls]\nplain = true\n"))
	g.Expect(err).NotTo(HaveOccurred())

	_, err = settings.Parse("d.toml", []byte(nonLoopback+"[tls]\ncertificate = 'c'\nkey = 'k'\nauthority = 'a'\n"))
	g.Expect(err).NotTo(HaveOccurred())

	_, err = settings.Parse("d.toml", []byte(nonLoopback+"[tls]\ncertificate = 'c'\n"))
	g.Expect(err).To(MatchError(ContainSubstring("tls.key: missing; expected all three")))
}
