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

// inForceWithin is the time in which an accepted configuration has to be in
// force on every daemon.
const inForceWithin = 5 * time.Second

func change(id string, base fleet.Version, c *fleet.Configuration) control.Change {
	return control.Change{ID: id, Base: base, Author: id, Configuration: c}
}

// accept puts a change to the quorum until it gets a verdict.
func (f *fleetOfProcesses) accept(c control.Change) revision.Answer {
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

func (f *fleetOfProcesses) awaitInForce(v fleet.Version, daemons ...string) {
	f.t.Helper()
	start := time.Now()
	for _, name := range daemons {
		f.g.Eventually(func() fleet.Version { return f.version(name) }, inForceWithin-time.Since(start), 10*time.Millisecond).
			Should(Equal(v), "%s", name)
	}
	f.t.Logf("%v in force on %d daemons after %s", v, len(daemons), time.Since(start))
}

// startControlled starts a quorum of three and one endpoint.
func startControlled(t *testing.T) (*fleetOfProcesses, []string) {
	f := newFleet(t)
	f.quorum(3)
	f.endpoint("endpoint-1")
	f.awaitLeader()
	f.awaitServing(0)
	return f, []string{"entry-1", "entry-2", "entry-3", "endpoint-1"}
}

func TestAnAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	f, all := startControlled(t)
	first := f.accept(change("first", fleet.Version{}, f.configuration(100)))
	f.g.Expect(first.Verdict).To(Equal(revision.Accepted))
	f.awaitInForce(fleet.Version(first.Version), all...)
}

func TestOperatorsRaceWithEqualNumbers(t *testing.T) {
	f, all := startControlled(t)
	one := f.accept(change("ana", fleet.Version{}, f.configuration(100)))
	two := f.accept(change("juma", fleet.Version{}, f.configuration(200)))
	f.g.Expect(one.Verdict).To(Equal(revision.Accepted))
	f.g.Expect(two.Verdict).To(Equal(revision.Conflict))
	f.g.Expect(two.Author).To(Equal("ana"))
	again := f.accept(change("ana", fleet.Version{}, f.configuration(100)))
	f.g.Expect(again.Version).To(Equal(one.Version), "a resend gets the first answer")
	f.awaitInForce(fleet.Version(one.Version), all...)
}

func TestAConfigurationOutlivesItsLeader(t *testing.T) {
	f, all := startControlled(t)
	answer := f.accept(change("first", fleet.Version{}, f.configuration(100)))
	leader := f.awaitLeader()
	f.daemons[leader].kill()
	var left []string
	for _, name := range all {
		if name != leader {
			left = append(left, name)
		}
	}
	f.awaitInForce(fleet.Version(answer.Version), left...)
	f.daemons[leader].start()
	f.awaitInForce(fleet.Version(answer.Version), leader)
}

func TestALeaderThatWasFrozenDecidesNothing(t *testing.T) {
	f, all := startControlled(t)
	old := f.awaitLeader()
	f.daemons[old].freeze()
	answer := f.accept(change("while frozen", fleet.Version{}, f.configuration(100)))
	f.g.Expect(answer.Verdict).To(Equal(revision.Accepted))
	f.daemons[old].thaw()
	stale := f.accept(change("stale", fleet.Version{}, f.configuration(300)))
	f.g.Expect(stale.Verdict).To(Equal(revision.Conflict))
	f.awaitInForce(fleet.Version(answer.Version), all...)
}

func TestADaemonReturnsHundredsOfChangesBehind(t *testing.T) {
	f, all := startControlled(t)
	f.daemons["endpoint-1"].kill()
	var v fleet.Version
	for i := range 300 {
		v = fleet.Version(f.accept(change(fmt.Sprint(i), v, f.configuration(100+i))).Version)
	}
	f.daemons["endpoint-1"].start()
	f.awaitOK("http://" + f.address["endpoint-1"] + "/healthz")
	f.awaitInForce(v, all...)
}

func TestASecondLossRightAfterARepairLosesNothing(t *testing.T) {
	f, all := startControlled(t)
	answer := f.accept(change("first", fleet.Version{}, f.configuration(100)))
	f.awaitInForce(fleet.Version(answer.Version), all...)

	f.daemons["entry-3"].kill()
	f.g.Expect(os.RemoveAll(f.dataFolder("entry-3"))).To(Succeed())
	f.daemons["entry-3"].start()
	f.awaitOK("http://" + f.address["entry-3"] + "/healthz")
	f.replaceMember("entry-3")

	f.daemons["entry-1"].kill()
	f.g.Expect(os.RemoveAll(f.dataFolder("entry-1"))).To(Succeed())
	stale := f.accept(change("stale", fleet.Version{}, f.configuration(300)))
	f.g.Expect(stale.Verdict).To(Equal(revision.Conflict), "what was accepted still stands")
	next := f.accept(change("next", fleet.Version(answer.Version), f.configuration(400)))
	f.g.Expect(next.Verdict).To(Equal(revision.Accepted))
	f.awaitInForce(fleet.Version(next.Version), "entry-2", "entry-3", "endpoint-1")
}
