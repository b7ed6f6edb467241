package operator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/operator"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

const initLine = "init answers.toml --name harbour --failure-domains north,south --models drafts --accounts council" +
	" --entries 10.0.0.1,10.0.0.2 --endpoints 10.0.0.9"

// editFile replaces the first occurrence of old in a file.
func (f *fakeFleet) editFile(name, old, replacement string) {
	g := NewWithT(f.t)
	text, err := os.ReadFile(f.path(name))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring(old))
	g.Expect(os.WriteFile(f.path(name), []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)).To(Succeed())
}

// The golden file holds the output of a session that uses most commands.
func TestCommandSession(t *testing.T) {
	f := newFakeFleet(t)
	f.daemons[2].running = 2
	f.daemons[0].log.Record(timeline.Event{Kind: timeline.KindReceived, Request: "r-1", Account: "council", Tokens: 900, Step: "entry"})
	f.daemons[0].log.Record(timeline.Event{Kind: timeline.KindRefused, Request: "r-1", Outcome: "overloaded", State: outcome.NotRun, Step: "entry"})

	var session strings.Builder
	do := func(line string) {
		code, text := f.run(line)
		fmt.Fprintf(&session, "$ jacinthplank %s\n%s[exit %d]\n\n", line, text, code)
	}
	do("plan answers.toml")
	do(initLine)
	do(initLine)
	do("check answers.toml")
	do("plan answers.toml --output ./generated")
	do("accept answers.toml")
	do("accept answers.toml")
	f.editFile("answers.toml", `size = "small"`, `size = "large"`)
	do("plan answers.toml --output ./generated")
	do("accept answers.toml")
	f.editFile("answers.toml", `size = "large"`, `size = "larg"`)
	do("accept answers.toml")
	do("status")
	do("status --json")
	do("explain r-1")
	do("explain r-2")
	do("timeline --from 2026-03-02T00:00:00Z --request r-1")
	do("drain engine-north-1")
	do("drain engine-nort-1")
	do("member add entry-west-1 somewhere")
	do("keys instance entry-north-1 --address 10.0.0.1 --folder ./keys")
	do("keys authority --folder ./keys")
	do("keys instance entry-north-1 --address 10.0.0.1 --folder ./keys")
	do("statsu")
	golden.Expect(t, "session.txt", session.String())
}

// The response to an accept is lost. Repeating the command returns the result of the
// first proposal, although another change was accepted in between.
func TestAcceptRetryAfterLostResponse(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.update(func() { f.loseNextResponse = true })
	code, text := f.run("accept answers.toml")
	g.Expect(code).To(Equal(operator.ExitUnreachable), text)
	g.Expect(text).To(ContainSubstring("Run the same command again"))

	f.update(func() { f.noQuorum = false })
	f.run("init other.toml --name quay --failure-domains north --models drafts --accounts council --entries 10.0.0.1")
	code, text = f.run("accept other.toml --base 1.1")
	g.Expect(code).To(Equal(operator.ExitOK), text)

	code, text = f.run("accept answers.toml")
	g.Expect(code).To(Equal(operator.ExitOK), text)
	g.Expect(text).To(ContainSubstring("Accepted as revision 1.1"))
	g.Expect(f.version().String()).To(Equal("1.2"))
}

// As above, for a command with an explicit --base.
func TestAcceptRetryAfterLostResponseWithBase(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.run("accept answers.toml")
	f.editFile("answers.toml", `size = "small"`, `size = "large"`)
	f.update(func() { f.loseNextResponse = true })
	code, text := f.run("accept answers.toml --base 1.1")
	g.Expect(code).To(Equal(operator.ExitUnreachable), text)

	f.update(func() { f.noQuorum = false })
	f.run("init other.toml --name quay --failure-domains north --models drafts --accounts council --entries 10.0.0.1")
	code, text = f.run("accept other.toml --base 1.2")
	g.Expect(code).To(Equal(operator.ExitOK), text)

	code, text = f.run("accept answers.toml --base 1.1")
	g.Expect(code).To(Equal(operator.ExitOK), text)
	g.Expect(text).To(ContainSubstring("Accepted as revision 1.2"))
}

func TestSecondAcceptConflicts(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.run("init other.toml --name harbour --failure-domains north,south --models drafts --accounts council,lender --entries 10.0.0.1")
	code, text := f.run("accept answers.toml --author amina")
	g.Expect(code).To(Equal(operator.ExitOK), text)

	code, text = f.run("accept other.toml --author bruno")
	g.Expect(code).To(Equal(operator.ExitConflict), text)
	golden.Expect(t, "conflict.txt", text)
	g.Expect(f.version().String()).To(Equal("1.1"))

	code, text = f.run("accept other.toml --base 1.1")
	g.Expect(code).To(Equal(operator.ExitOK), text)
	g.Expect(f.version().String()).To(Equal("1.2"))
}

func TestAcceptListsDaemonsBehind(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.update(func() { f.daemons[1].stuck = true })
	_ = f.daemons[2].server.Close()

	code, text := f.run("accept answers.toml --wait 10ms")
	g.Expect(code).To(Equal(operator.ExitIncomplete), text)
	g.Expect(text).To(ContainSubstring("not in force on 2 of 3 daemons:\n  engine-north-1 (north): cannot be reached\n  entry-south-1 (south): has 0.0"))
}

func TestAcceptFailsWithoutQuorum(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.update(func() { f.noQuorum = true })

	code, _ := f.run("accept answers.toml")
	g.Expect(code).To(Equal(operator.ExitUnreachable))
	code, text := f.run("status")
	g.Expect(code).To(Equal(operator.ExitOK))
	g.Expect(text).To(ContainSubstring("Control quorum: LOST"))
}

// Init writes the answers file even if the answers are inconsistent, so that the
// operator does not have to enter them again.
func TestInitKeepsInvalidAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	code, text := f.run(strings.Replace(initLine, "--entries 10.0.0.1,10.0.0.2", "--entries 10.0.0.1,host", 1))
	g.Expect(code).To(Equal(operator.ExitBadInput))
	g.Expect(text).To(ContainSubstring("Some are invalid"))
	g.Expect(text).To(MatchRegexp(`answers.toml:\d+: instances\[3\].addresses\[1\]: found "host"`))
	f.editFile("answers.toml", `"host"`, `"10.0.0.2"`)
	code, _ = f.run("check answers.toml")
	g.Expect(code).To(Equal(operator.ExitOK))
}

// Explain asks the entries and the endpoints that they name, and reports when one of
// these is unreachable. Other daemons are ignored.
func TestExplainQueriesOnlyInvolvedDaemons(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.start("engine-south-1", "south", "endpoint")
	f.daemons[0].log.Record(timeline.Event{Kind: timeline.KindReceived, Request: "r-1", Step: "entry.api"})
	f.daemons[0].log.Record(timeline.Event{Kind: timeline.KindPlaced, Request: "r-1", Attempt: 1, Endpoint: "engine-north-1", Step: "entry"})
	f.daemons[2].log.Record(timeline.Event{Kind: timeline.KindStarted, Request: "r-1", Attempt: 1, Endpoint: "engine-north-1"})

	_ = f.daemons[3].server.Close()
	_, text := f.run("explain r-1")
	g.Expect(text).To(ContainSubstring("Its work was begun"))
	g.Expect(text).NotTo(ContainSubstring("engine-south-1"))

	_ = f.daemons[2].server.Close()
	_, text = f.run("explain r-1")
	g.Expect(text).To(ContainSubstring("Daemon engine-north-1 could not be asked"))
	g.Expect(text).To(ContainSubstring("Whether it ran is not known."))
}

// Without a certificate, no call is made to a fleet that uses TLS.
func TestTLSFleetRequiresCertificate(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	f.run(initLine)
	f.editFile("answers.toml", "\nplain = true", "\nplain = false")
	f.editFile("answers.toml", `certificate = ""`, `certificate = "c"`)
	f.editFile("answers.toml", `key = ""`, `key = "k"`)
	f.editFile("answers.toml", `authority = ""`, `authority = "a"`)
	code, text := f.run("plan answers.toml --output ./generated")
	g.Expect(code).To(Equal(operator.ExitOK), text)
	t.Setenv("JACINTHPLANK_DAEMONS", "")
	code, text = f.run("status --generated ./generated")
	g.Expect(code).To(Equal(operator.ExitBadInput), text)
	g.Expect(text).To(ContainSubstring("use TLS"))
}

func TestOptionOverridesEnvironmentVariable(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	code, text := f.run("status --daemons 127.0.0.1:1")
	g.Expect(code).To(Equal(operator.ExitUnreachable), text)
	g.Expect(text).To(ContainSubstring("at [127.0.0.1:1]"))
	code, _ = f.run("status --daemons")
	g.Expect(code).To(Equal(operator.ExitBadInput))
}

func TestNoDaemonReachable(t *testing.T) {
	g := NewWithT(t)
	f := newFakeFleet(t)
	for _, d := range f.daemons {
		_ = d.server.Close()
	}
	for _, line := range []string{"status", "explain r-1", "drain engine-north-1", "timeline"} {
		code, text := f.run(line)
		g.Expect(code).To(Equal(operator.ExitUnreachable), line+text)
	}
}
