package processes_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// propagationTimeout is the maximum time until an accepted configuration is in
// force on every daemon.
const propagationTimeout = 5 * time.Second

func change(id string, base fleet.Version, c *fleet.Configuration) control.Change {
	return control.Change{ID: id, Base: base, Author: id, Configuration: c}
}

// submitChange submits a change to the quorum and retries until it gets a verdict.
func (f *processFleet) submitChange(c control.Change) revision.Answer {
	f.t.Helper()
	client := f.client()
	var answer revision.Answer
	f.g.Eventually(func() error {
		a, err := client.Accept(f.t.Context(), c)
		answer = a
		return err
	}, 15*time.Second, 100*time.Millisecond).Should(Succeed())
	return answer
}

func (f *processFleet) awaitVersion(v fleet.Version, daemons ...string) {
	f.t.Helper()
	start := time.Now()
	for _, name := range daemons {
		f.g.Eventually(func() fleet.Version { return f.version(name) }, propagationTimeout-time.Since(start), 10*time.Millisecond).
			Should(Equal(v), "%s", name)
	}
	f.t.Logf("%v in force on %d daemons after %s", v, len(daemons), time.Since(start))
}

// startQuorumWithEndpoint starts a quorum of three entries and one endpoint.
func startQuorumWithEndpoint(t *testing.T) (*processFleet, []string) {
	f := newFleet(t)
	f.startQuorum(3)
	f.startEndpoint("endpoint-1")
	f.awaitLeader()
	f.awaitServing(0)
	return f, []string{"entry-1", "entry-2", "entry-3", "endpoint-1"}
}

func TestAcceptedConfigurationReachesEveryDaemon(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	first := f.submitChange(change("first", fleet.Version{}, f.configuration(100)))
	f.g.Expect(first.Verdict).To(Equal(revision.Accepted))
	f.awaitVersion(fleet.Version(first.Version), all...)
}

func TestConcurrentChangesWithSameBaseConflict(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	one := f.submitChange(change("ana", fleet.Version{}, f.configuration(100)))
	two := f.submitChange(change("juma", fleet.Version{}, f.configuration(200)))
	f.g.Expect(one.Verdict).To(Equal(revision.Accepted))
	f.g.Expect(two.Verdict).To(Equal(revision.Conflict))
	f.g.Expect(two.Author).To(Equal("ana"))
	again := f.submitChange(change("ana", fleet.Version{}, f.configuration(100)))
	f.g.Expect(again.Version).To(Equal(one.Version), "a resent change gets the answer to the first submission")
	f.awaitVersion(fleet.Version(one.Version), all...)
}

func TestAcceptedConfigurationSurvivesLeaderCrash(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	answer := f.submitChange(change("first", fleet.Version{}, f.configuration(100)))
	leader := f.awaitLeader()
	f.daemons[leader].kill()
	var remaining []string
	for _, name := range all {
		if name != leader {
			remaining = append(remaining, name)
		}
	}
	f.awaitVersion(fleet.Version(answer.Version), remaining...)
	f.daemons[leader].start()
	f.awaitVersion(fleet.Version(answer.Version), leader)
}

func TestResumedLeaderDoesNotAcceptStaleChange(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	old := f.awaitLeader()
	f.daemons[old].freeze()
	answer := f.submitChange(change("while frozen", fleet.Version{}, f.configuration(100)))
	f.g.Expect(answer.Verdict).To(Equal(revision.Accepted))
	f.daemons[old].resume()
	stale := f.submitChange(change("stale", fleet.Version{}, f.configuration(300)))
	f.g.Expect(stale.Verdict).To(Equal(revision.Conflict))
	f.awaitVersion(fleet.Version(answer.Version), all...)
}

func TestRestartedDaemonCatchesUpHundredsOfChanges(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	f.daemons["endpoint-1"].kill()
	var v fleet.Version
	for i := range 300 {
		v = fleet.Version(f.submitChange(change(fmt.Sprint(i), v, f.configuration(100+i))).Version)
	}
	f.daemons["endpoint-1"].start()
	f.awaitOK("http://" + f.addresses["endpoint-1"] + "/healthz")
	f.awaitVersion(v, all...)
}

func TestDiskLossAfterMemberReplacementKeepsAcceptedChanges(t *testing.T) {
	f, all := startQuorumWithEndpoint(t)
	answer := f.submitChange(change("first", fleet.Version{}, f.configuration(100)))
	f.awaitVersion(fleet.Version(answer.Version), all...)

	f.daemons["entry-3"].kill()
	f.g.Expect(os.RemoveAll(f.dataFolder("entry-3"))).To(Succeed())
	f.daemons["entry-3"].start()
	f.awaitOK("http://" + f.addresses["entry-3"] + "/healthz")
	f.replaceMember("entry-3")

	f.daemons["entry-1"].kill()
	f.g.Expect(os.RemoveAll(f.dataFolder("entry-1"))).To(Succeed())
	stale := f.submitChange(change("stale", fleet.Version{}, f.configuration(300)))
	f.g.Expect(stale.Verdict).To(Equal(revision.Conflict), "the accepted configuration survives the second disk loss")
	next := f.submitChange(change("next", fleet.Version(answer.Version), f.configuration(400)))
	f.g.Expect(next.Verdict).To(Equal(revision.Accepted))
	f.awaitVersion(fleet.Version(next.Version), "entry-2", "entry-3", "endpoint-1")
}
