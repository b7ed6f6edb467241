package fleet_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
)

const smallConfiguration = `name = "harbour"

[[failure_domains]]
name = "north"
region = "coast"
distance = { south = 700 }

[[failure_domains]]
name = "south"
region = "coast"

[[models]]
name = "drafts"
endpoints = 3
max_prompt = 1000000

[[accounts]]
name = "council"
key_digests = ["aa00000000000000000000000000000000000000000000000000000000000000"]
models = ["drafts"]
share = 2

[[services]]
name = "registry"
once = [{ method = "POST", path = "/certificates" }]
`

func TestParseFillsInDefaults(t *testing.T) {
	g := NewWithT(t)
	c, err := fleet.Parse("f.toml", []byte(smallConfiguration))

	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Limits).To(Equal(fleet.DefaultLimits()))
	g.Expect(c.Validate()).To(Succeed())
}

func TestParseReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer(
		"south = 700", "soth = -1",
		`models = ["drafts"]`, `models = ["draft"]`,
		"share = 2", "share = 0",
		`"POST"`, `"POTS"`,
		`"/certificates"`, `"certificates"`,
		"max_prompt = 1000000", "max_prompt = 2000000",
	).Replace(smallConfiguration) + "\n[limits]\nonce_retention = \"1s\"\nmax_body = -4\n"
	_, err := fleet.Parse("f.toml", []byte(text))

	g.Expect(err).To(MatchError(`f.toml:6: failure_domains[1].distance.soth: "soth" is not a known failure domain; expected one of north, south; did you mean "south"?
f.toml:15: models[1].max_prompt: found 2000000; expected 1 to 1000000 tokens
f.toml:20: accounts[1].models[1]: "draft" is not a known model; expected drafts; did you mean "drafts"?
f.toml:21: accounts[1].share: found 0; expected 1 or more
f.toml:25: services[1].once[1].method: "POTS" is not a known method; expected one of POST, PUT, PATCH, DELETE, GET; did you mean "POST"?
f.toml:25: services[1].once[1].path: found "certificates"; expected a path that starts with "/"
f.toml:28: limits.once_retention: shorter than the long deadline, so that a resend could run twice; expected at least limits.long_deadline
f.toml:29: limits.max_body: found -4; expected bytes, more than 0`))
}

func TestDuplicateKeyDigestIsRejected(t *testing.T) {
	g := NewWithT(t)
	c, err := fleet.Parse("f.toml", []byte(smallConfiguration))
	g.Expect(err).NotTo(HaveOccurred())
	other := c.Accounts[0]
	other.Name = "lender"
	c.Accounts = append(c.Accounts, other)

	g.Expect(c.Validate()).To(MatchError(ContainSubstring(`the key belongs to account "council" already`)))
}

func TestDiffMatchesElementsByName(t *testing.T) {
	g := NewWithT(t)
	before, _ := fleet.Parse("f.toml", []byte(smallConfiguration))
	after, _ := fleet.Parse("f.toml", []byte(smallConfiguration))
	after.FailureDomains[0], after.FailureDomains[1] = after.FailureDomains[1], after.FailureDomains[0]
	g.Expect(fleet.Diff(before, after)).To(BeEmpty())

	after.Accounts[0].Share = 3
	after.Accounts[0].ShortDeadline = fleet.Duration(20 * time.Second)
	after.Services[0].Once = nil
	g.Expect(fleet.Diff(before, after)).To(Equal([]fleet.Change{
		{Key: "accounts[council].default_deadline", Old: `"0s"`, New: `"20s"`},
		{Key: "accounts[council].share", Old: "2", New: "3"},
		{Key: "services[registry].once[POST /certificates].method", Old: `"POST"`},
		{Key: "services[registry].once[POST /certificates].path", Old: `"/certificates"`},
	}))
}
