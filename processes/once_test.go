package processes_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockingService is a plain service that counts its runs and blocks each response
// until the test closes the release channel.
type blockingService struct {
	*httptest.Server
	arrived chan struct{}
	release chan struct{}

	mu   sync.Mutex
	runs map[string]int // by body
}

func newBlockingService(t *testing.T) *blockingService {
	s := &blockingService{arrived: make(chan struct{}, 100), release: make(chan struct{}), runs: map[string]int{}}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *blockingService) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	s.arrived <- struct{}{}
	<-s.release
	_, _ = io.WriteString(w, "registered\n")
}

func (s *blockingService) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

const certificate = `{"home":17}`

// register calls the service through an entry with an idempotency key.
func (f *processFleet) register(entry int) (int, string) {
	return f.post(entry, "/v1/services/registry/certificates", certificate,
		map[string]string{"Idempotency-Key": "home-17", "X-Request-Timeout": "8s"})
}

type reply struct {
	status int
	body   string
}

// registerAsync calls register in the background.
func (f *processFleet) registerAsync(entry int) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		status, body := f.register(entry)
		out <- reply{status, body}
	}()
	return out
}

func (f *processFleet) leader() string {
	for _, m := range f.client().Status(f.t.Context()) {
		if m.Err == nil && m.Quorum.GetHasQuorum() && m.Quorum.GetLeader() != "" {
			return m.Quorum.GetLeader()
		}
	}
	return ""
}

func (f *processFleet) awaitLeader() string {
	f.t.Helper()
	f.g.Eventually(f.leader, 15*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
	return f.leader()
}

// startRegistry starts a quorum of three entries and one registry endpoint.
func startRegistry(t *testing.T) (*processFleet, *blockingService) {
	f := newFleet(t)
	s := newBlockingService(t)
	f.startQuorum(3)
	f.startRegistryEndpoint("registry-1", s.URL)
	f.awaitLeader()
	for i := range f.callerAddresses {
		f.awaitOK("http://" + f.callerAddresses[i] + "/readyz")
		f.awaitEndpoint("entry-"+string(rune('1'+i)), "registry-1")
	}
	return f, s
}

func TestCallRunsOnceAcrossTwoEntries(t *testing.T) {
	f, s := startRegistry(t)
	first := f.registerAsync(0)
	<-s.arrived
	status, body := f.register(1)
	f.g.Expect(status).To(Equal(http.StatusConflict), body)
	f.g.Expect(body).To(ContainSubstring("still_running"))
	close(s.release)
	f.g.Expect((<-first).status).To(Equal(http.StatusOK))
	status, body = f.register(2)
	f.g.Expect(status).To(Equal(http.StatusOK), body)
	f.g.Expect(body).To(Equal("registered\n"))
	f.g.Expect(s.count(certificate)).To(Equal(1))
}

func TestCallRunsOnceWhenEntryCrashes(t *testing.T) {
	f, s := startRegistry(t)
	f.registerAsync(0)
	<-s.arrived
	f.daemons["entry-1"].kill()
	close(s.release)
	// The killed entry may have been the quorum leader. Resent calls are refused
	// until another leader is elected.
	f.g.Eventually(func() string {
		_, body := f.register(1)
		return body
	}, 10*time.Second, 100*time.Millisecond).Should(ContainSubstring("still_running"))
	f.g.Expect(s.count(certificate)).To(Equal(1))
}

func TestCallRunsOnceWhenEndpointProcessCrashes(t *testing.T) {
	f, s := startRegistry(t)
	first := f.registerAsync(0)
	<-s.arrived
	f.daemons["registry-1"].kill()
	got := <-first
	f.g.Expect(got.status).To(BeNumerically(">=", 500), got.body)
	f.g.Expect(got.body).To(ContainSubstring(`"not_run":false`))
	close(s.release)
	f.daemons["registry-1"].start()
	status, body := f.register(1)
	f.g.Expect(status).To(Equal(http.StatusBadGateway), body)
	f.g.Expect(body).To(ContainSubstring("outcome_unknown"))
	f.g.Expect(s.count(certificate)).To(Equal(1))
}

func TestCallRunsOnceWhenLeaderCrashes(t *testing.T) {
	f, s := startRegistry(t)
	leader := f.awaitLeader()
	entry := 0
	if leader == "entry-1" {
		entry = 1
	}
	first := f.registerAsync(entry)
	<-s.arrived
	f.daemons[leader].kill()
	close(s.release)
	got := <-first
	f.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
	f.g.Eventually(func() string {
		_, body := f.register(entry)
		return body
	}, 10*time.Second, 100*time.Millisecond).Should(Equal("registered\n"))
	f.g.Expect(s.count(certificate)).To(Equal(1))
}

func TestCallWithoutQuorumIsRefusedImmediately(t *testing.T) {
	f, s := startRegistry(t)
	f.daemons["entry-2"].kill()
	f.daemons["entry-3"].kill()
	start := time.Now()
	status, body := f.register(0)
	f.g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	f.g.Expect(body).To(ContainSubstring(`"not_run":true`))
	f.g.Expect(body).To(ContainSubstring("no_quorum"))
	f.g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	f.g.Expect(s.count(certificate)).To(BeZero())

	f.daemons["entry-2"].start()
	close(s.release)
	f.g.Eventually(func() int {
		status, _ := f.register(0)
		return status
	}, 15*time.Second, 100*time.Millisecond).Should(Equal(http.StatusOK))
	f.g.Expect(s.count(certificate)).To(Equal(1))
}
