package plan_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/plan"
	"github.com/jacinthplank/jacinthplank/questionnaire"
)

func exampleAnswers(t *testing.T) *questionnaire.Answers {
	t.Helper()
	answers, err := questionnaire.Load(filepath.Join("..", "examples", "cantabrica", "answers.toml"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return answers
}

const digest = "aa00000000000000000000000000000000000000000000000000000000000000"

func revisedAnswers(t *testing.T) *questionnaire.Answers {
	a := exampleAnswers(t)
	a.Name = "cantabrica-norte"
	a.Times = questionnaire.Times{Short: fleet.Duration(25 * time.Second), Long: fleet.Duration(10 * time.Hour), Remember: fleet.Duration(800 * time.Hour)}
	a.FailureDomains[0].Region = "costa"
	a.FailureDomains = append(a.FailureDomains, questionnaire.FailureDomain{Name: "el-astillero", Region: "norte"})
	a.RoundTrips[0].Time = fleet.Duration(time.Millisecond)
	a.EndpointKinds[1].ChecksOrders = true
	a.Models[0].EngineName = "summaries-v2"
	a.Models[0].MaxPrompt = 500_000
	a.Models[0].Adapters = []string{"councils", "builders"}
	a.Models = append(a.Models, questionnaire.Model{Name: "letters", MaxPrompt: 1000})
	a.Services[0].NonIdempotent = []string{"POST /certificates", "POST /seals"}
	a.Accounts[0].Size = questionnaire.SizeLarge
	a.Accounts[0].Short = fleet.Duration(12 * time.Second)
	a.Accounts[0].Long = fleet.Duration(3 * time.Hour)
	a.Accounts[0].Models = []string{"site-summaries"}
	a.Accounts[0].KeyDigests = []string{digest}
	a.Accounts[1].ShortTokens = 4000
	a.Accounts[1].LongTokens = 90_000
	a.Accounts[2].Name = "concejo-nuevo"
	a.Instances[1].Addresses = append(a.Instances[1].Addresses, "10.40.1.99")
	a.Instances[2].URL = "http://127.0.0.1:9100"
	a.Instances = a.Instances[:len(a.Instances)-1]
	return a
}

func describe(before, after *questionnaire.Answers) []string {
	return append(
		plan.DescribeChanges(plan.Configuration(before), plan.Configuration(after)),
		plan.DescribeDaemonChanges(plan.Daemons(before), plan.Daemons(after))...)
}

func TestDescribeRevision(t *testing.T) {
	g := NewWithT(t)
	g.Expect(describe(exampleAnswers(t), exampleAnswers(t))).To(BeEmpty())

	forward := describe(exampleAnswers(t), revisedAnswers(t))
	reverse := describe(revisedAnswers(t), exampleAnswers(t))
	golden.Expect(t, "revision.txt", strings.Join(forward, "\n")+"\n")
	golden.Expect(t, "revision-back.txt", strings.Join(reverse, "\n")+"\n")
	for _, s := range append(forward, reverse...) {
		g.Expect(s).NotTo(ContainSubstring("->"), "a change without a sentence for it")
	}
}

func TestDescribeInitialConfiguration(t *testing.T) {
	golden.Expect(t, "first.txt", strings.Join(plan.DescribeChanges(nil, plan.Configuration(exampleAnswers(t))), "\n")+"\n")
}

func TestControlMembersOddAcrossFailureDomains(t *testing.T) {
	g := NewWithT(t)
	a := exampleAnswers(t)
	a.Instances[0].Addresses = append(a.Instances[0].Addresses, "10.40.1.11")
	members := map[string]bool{}
	for _, d := range plan.Daemons(a) {
		if len(d.Control.Members) > 0 {
			members[d.Instance.FailureDomain] = true
			g.Expect(d.Control.Members).To(HaveLen(3))
		}
	}
	g.Expect(members).To(HaveLen(3))
}

func TestAdvice(t *testing.T) {
	g := NewWithT(t)
	a := exampleAnswers(t)
	for i := range a.Accounts {
		a.Accounts[i].KeyDigests = []string{digest}
	}
	g.Expect(plan.Advice(a)).To(BeEmpty())

	var notes []string
	a.Accounts[3].KeyDigests = nil
	a.Models = append(a.Models, questionnaire.Model{Name: "letters"})
	a.Services = append(a.Services, questionnaire.Service{Name: "stamps"})
	for i := range a.Instances {
		if a.Instances[i].Task == questionnaire.TaskEntry {
			a.Instances[i].FailureDomain = "bahia"
			a.Instances[i].Addresses = append(a.Instances[i].Addresses, fmt.Sprintf("10.40.9.%d", i))
		}
	}
	notes = append(notes, plan.Advice(a)...)
	for i := range a.Instances {
		a.Instances[i].Disk = ""
	}
	a.Instances[0].Disk = "/data"
	a.Instances[0].Addresses = a.Instances[0].Addresses[:1]
	a.Instances = a.Instances[:1]
	notes = append(notes, plan.Advice(a)...)
	golden.Expect(t, "advice.txt", strings.Join(notes, "\n")+"\n")
}
