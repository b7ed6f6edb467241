package processes_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSeparateProcessesServeRequest(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1")
	f.startEndpoint("endpoint-1")
	f.awaitServing(0)
	status, body := f.complete(0, "Dear committee,", 5, "10s")
	f.g.Expect(status).To(Equal(http.StatusOK), body)
	f.g.Expect(body).To(ContainSubstring(`"completion_tokens":5`))
}

func TestFrozenEngineFailsRequestBeforeDeadline(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1")
	f.startEndpoint("endpoint-1")
	f.awaitServing(0)
	f.engines["endpoint-1"].freeze()
	start := time.Now()
	status, body := f.complete(0, "Dear committee,", 5, "3s")
	f.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second+500*time.Millisecond))
	f.g.Expect(status).To(BeNumerically(">=", 500), body)
	f.g.Expect(body).To(ContainSubstring(`"not_run":false`))
}

func TestRequestsFailOverFromKilledEndpointProcess(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1")
	f.startEndpoint("endpoint-1")
	f.startEndpoint("endpoint-2")
	f.awaitServing(0)
	f.awaitEndpoint("entry-1", "endpoint-1")
	f.awaitEndpoint("entry-1", "endpoint-2")
	f.daemons["endpoint-1"].kill()
	for i := range 10 {
		status, body := f.complete(0, fmt.Sprintf("Letter %d", i), 3, "10s")
		f.g.Expect(status).To(Equal(http.StatusOK), body)
	}
}

func TestKilledEntryLeavesNoRunningAttempts(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1")
	f.startEndpoint("endpoint-1")
	f.awaitServing(0)
	// At 60 tokens a second, the answer would take longer than the waits below.
	go f.complete(0, "A long letter, number 31", 1500, "300s")
	f.g.Eventually(func() string { return f.heldAttempts("endpoint-1") }, 5*time.Second, 20*time.Millisecond).ShouldNot(Equal("null"))
	f.daemons["entry-1"].kill()
	f.g.Eventually(func() string { return f.heldAttempts("endpoint-1") }, 15*time.Second, 50*time.Millisecond).Should(Equal("null"))
}

// heldAttempts returns the engine's list of attempts that hold its resources; "null" if empty.
func (f *processFleet) heldAttempts(endpoint string) string {
	_, text := get("http://" + f.engineAddresses[endpoint] + "/engine/holdings")
	return strings.TrimSpace(text)
}
