package questionnaire_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/questionnaire"
)

// replies of one dialog, with invalid ones that are asked again.
const replies = `harbour
soon
30s
4h
720h
no
north, south
coast

700us
engines, desk

maybe
no
drafts

swahili

registry
POST receipts
POST /receipts/*, DELETE /letters
council, lender
big
large
20s
0s



10.0.1.1
/var/lib/jacinthplank
10.0.1.20, 10.0.1.21
engines

10.0.1.60
desk
http://127.0.0.1:9000
10.0.2.1



`

func TestAskConversation(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	answers, err := questionnaire.Ask(strings.NewReader(replies), &out)
	g.Expect(err).NotTo(HaveOccurred(), out.String())
	golden.Expect(t, "conversation.txt", out.String())
	golden.Expect(t, "answers.toml", answers.Text())
}

func TestAskReportsEarlyEndOfReplies(t *testing.T) {
	g := NewWithT(t)
	_, err := questionnaire.Ask(strings.NewReader("harbour\n30s\n"), &strings.Builder{})
	g.Expect(err).To(MatchError(questionnaire.ErrRepliesEnded))
}

func TestAnswersRoundTrip(t *testing.T) {
	g := NewWithT(t)
	made, err := questionnaire.FromOutline(questionnaire.Outline{
		Name:           `the "harbour" \ fleet`,
		FailureDomains: []string{"a", "b", "c"},
		Models:         []string{"drafts"},
		Services:       []string{"registry"},
		Accounts:       []string{"council"},
		Entries:        []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"},
		Endpoints:      []string{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4"},
		Disk:           "/var/lib/jacinthplank",
	})
	g.Expect(err).NotTo(HaveOccurred())
	read, err := questionnaire.Parse("answers.toml", []byte(made.Text()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Text()).To(Equal(made.Text()))
	g.Expect(read.Instances[0].Addresses).To(Equal([]string{"10.0.0.1"}))
	g.Expect(read.Instances[1].Addresses).To(Equal([]string{"10.0.1.1", "10.0.1.4"}))
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := questionnaire.Parse("answers.toml", []byte(`name = "harbour"
[security]
plain = true
key = "k"
[[failure_domains]]
name = "north"
[[round_trips]]
between = ["north", "nroth"]
time = "1ms"
[[models]]
name = "drafts"
[[services]]
name = "registry"
non_idempotent = ["POST receipts"]
[[accounts]]
name = "council"
size = "larg"
models = ["draft"]
[[instances]]
name = "entry"
task = "entry"
failure_domain = "north"
addresses = ["10.0.0.1", "10.0.0.1", "host"]
[[instances]]
name = "engine"
task = "endpoint"
failure_domain = "north"
addresses = ["10.0.0.9"]
kind = "engines"
model = "drafts"
url = "127.0.0.1:8000"
`))
	golden.Expect(t, "faults.txt", err.Error()+"\n")
}
