package processes_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestGracefulShutdownCompletesRunningRequests(t *testing.T) {
	f := newFleet(t)
	entry := f.startEntry("entry-1")
	endpoint := f.startEndpoint("endpoint-1")
	f.awaitServing(0)
	answer := make(chan reply, 1)
	go func() {
		status, body := f.complete(0, "A letter of some length", 90, "30s")
		answer <- reply{status, body}
	}()
	f.g.Eventually(func() string { return f.heldAttempts("endpoint-1") }, 5*time.Second, 20*time.Millisecond).ShouldNot(Equal("null"))
	endpoint.terminate()
	entry.terminate()
	got := <-answer
	f.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
	f.g.Expect(got.body).To(ContainSubstring(`"completion_tokens":90`))
	for _, p := range []*process{entry, endpoint} {
		f.g.Eventually(p.exited, 15*time.Second).Should(BeClosed())
		f.g.Expect(p.command.ProcessState.ExitCode()).To(BeZero())
	}
}

// cutDuringAnswer starts a request, leaves only the given directions of the link
// between the entry and the endpoint process open, and returns the response and
// the elapsed time.
func cutDuringAnswer(t *testing.T, toTarget, toCaller bool) (*processFleet, reply, time.Duration) {
	f := newFleet(t)
	f.startEntry("entry-1")
	f.relays["endpoint-1"] = newRelay(t)
	f.startEndpoint("endpoint-1")
	f.awaitServing(0)
	start := time.Now()
	answer := make(chan reply, 1)
	go func() {
		status, body := f.complete(0, "A letter of some length", 120, "4s")
		answer <- reply{status, body}
	}()
	f.g.Eventually(func() string { return f.heldAttempts("endpoint-1") }, 3*time.Second, 20*time.Millisecond).ShouldNot(Equal("null"))
	f.relays["endpoint-1"].setOpen(toTarget, toCaller)
	return f, <-answer, time.Since(start)
}

func TestCutLinkFailsRequestBeforeDeadline(t *testing.T) {
	for name, c := range map[string]struct{ toTarget, toCaller bool }{
		"response direction cut": {true, false},
		"both directions cut":    {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, got, elapsed := cutDuringAnswer(t, c.toTarget, c.toCaller)
			f.g.Expect(elapsed).To(BeNumerically("<", 4500*time.Millisecond))
			f.g.Expect(got.status).To(BeNumerically(">=", 500), got.body)
			f.g.Expect(got.body).To(ContainSubstring(`"not_run":false`))
			f.g.Eventually(func() string { return f.heldAttempts("endpoint-1") }, 15*time.Second, 50*time.Millisecond).Should(Equal("null"))

			f.relays["endpoint-1"].setOpen(true, true)
			f.awaitServing(0)
		})
	}
}
