package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// operatorTimeout is the time that an entry has for an operator's call.
const operatorTimeout = 900 * time.Millisecond

// silentMember accepts connections and never answers, like a process that is frozen.
func silentMember(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // nothing is sent
	return l.Addr().String()
}

// leadingMember leads the quorum; each answer takes delay.
func leadingMember(t *testing.T, delay time.Duration, puts *atomic.Int64) string {
	mux := http.NewServeMux()
	handle(mux, procedurePut, func(_ context.Context, r *putRequest) (*putResponse, error) {
		puts.Add(1)
		time.Sleep(delay)
		return &putResponse{Answer: &document.Answer{Verdict: document.Accepted, Number: r.Number}}, nil
	})
	handle(mux, procedureRead, func(context.Context, *readRequest) (*readResponse, error) {
		time.Sleep(delay)
		return &readResponse{Number: 1, Read: true}, nil
	})
	handle(mux, procedureDocument, func(context.Context, *documentRequest) (*documentResponse, error) {
		s := &documentSource{}
		s.add(routesDocument(1, 1))
		return s.response(&documentRequest{})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// callerOf returns a mesh that knows the members of a quorum, in this order, from another entry.
func callerOf(members ...string) *Mesh {
	m := idleMesh("caller", nil)
	voters := make([]quorum.Member, 0, len(members))
	for _, address := range members {
		voters = append(voters, quorum.Member{Name: address, Address: address})
	}
	m.peers["a"] = &peer{name: "a", facts: facts{Voters: voters}}
	return m
}

// TestSilentMembersLeaveTimeForTheLeader guards against a change or a read that fails because
// the time of the operator is spent on members that don't answer. The leader's disk is slow.
func TestSilentMembersLeaveTimeForTheLeader(t *testing.T) {
	const slowedSync = 150 * time.Millisecond
	for name, order := range map[string]func(leader, a, b string) []string{
		"first":  func(leader, a, b string) []string { return []string{leader, a, b} },
		"second": func(leader, a, b string) []string { return []string{a, leader, b} },
		"last":   func(leader, a, b string) []string { return []string{a, b, leader} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var puts atomic.Int64
			m := callerOf(order(leadingMember(t, slowedSync, &puts), silentMember(t), silentMember(t))...)
			for call, do := range map[string]func(ctx context.Context) error{
				"put":  func(ctx context.Context) error { _, err := m.Put(ctx, routesDocument(1, 1)); return err },
				"read": func(ctx context.Context) error { _, err := m.Read(ctx); return err },
			} {
				m.quorum.hint = leaderHint{}
				ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
				g.Expect(do(ctx)).To(Succeed(), call)
				cancel()
			}
			g.Expect(puts.Load()).To(BeEquivalentTo(1))
		})
	}
}

// denyingMember denies to lead and names an address, which may be empty.
func denyingMember(t *testing.T, leader string) string {
	mux := http.NewServeMux()
	handle(mux, procedurePut, func(context.Context, *putRequest) (*putResponse, error) {
		return &putResponse{Failure: "not the leader", leadership: leadership{Denied: true, Denial: Denial{Leader: leader}}}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestOutcomeIsUnknownWhileACallMayTakeEffect guards against a change that is reported as not
// made although a member that didn't answer may have appended it.
func TestOutcomeIsUnknownWhileACallMayTakeEffect(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	put := func(m *Mesh) error {
		ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
		defer cancel()
		_, err := m.Put(ctx, routesDocument(1, 1))
		return err
	}
	g.Expect(put(callerOf(denyingMember(t, ""), denyingMember(t, "")))).To(And(MatchError(errNoQuorum), Not(MatchError(ErrOutcomeUnknown))))
	g.Expect(put(callerOf(denyingMember(t, ""), silentMember(t), denyingMember(t, "")))).To(MatchError(ErrOutcomeUnknown))
}

// TestSilentMembersAreCalledLast guards against calls that wait for the same silent members
// again each time.
func TestSilentMembersAreCalledLast(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var puts atomic.Int64
	leader, a, b := leadingMember(t, 0, &puts), silentMember(t), silentMember(t)
	denying := denyingMember(t, leader)
	// A round tells nothing if a member that answers did so only after memberHedgeDelay: on a busy
	// machine it counts as silent, or the next one is called too.
	wasSound := func() bool {
		m := callerOf(a, b, denying, leader)
		m.quorum.hint = leaderHint{}.report(a, 1, time.Now(), time.Minute)
		started := time.Now()
		_, err := m.Put(t.Context(), routesDocument(1, 1))
		g.Expect(err).NotTo(HaveOccurred())
		if time.Since(started) >= 3*memberHedgeDelay { // two of them pass with the silent ones
			return false
		}
		g.Expect(m.quorum.memberAddresses()).To(Equal([]string{leader, denying, a, b}))
		m.quorum.noteResult(a, false)
		g.Expect(m.quorum.memberAddresses()).To(Equal([]string{leader, a, denying, b}), "it has answered")
		started = time.Now()
		_, err = m.Put(t.Context(), routesDocument(1, 1))
		g.Expect(err).NotTo(HaveOccurred())
		return time.Since(started) < memberHedgeDelay
	}
	g.Eventually(wasSound).WithTimeout(time.Minute).Should(BeTrue())
}

// answeringMember leads the quorum and answers each put with a verdict.
func answeringMember(t *testing.T, verdict document.Verdict) string {
	mux := http.NewServeMux()
	handle(mux, procedurePut, func(_ context.Context, r *putRequest) (*putResponse, error) {
		return &putResponse{Answer: &document.Answer{Verdict: verdict, Number: r.Number}}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestSlowLeaderGetsItsTime guards against calls without a pause to the other members while the
// leader, which they name, syncs slowly: each of them carries a whole document.
func TestSlowLeaderGetsItsTime(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var denied atomic.Int64
	var mu sync.Mutex
	var puts []time.Time // when the leader got them
	mux := http.NewServeMux()
	handle(mux, procedurePut, func(_ context.Context, r *putRequest) (*putResponse, error) {
		mu.Lock()
		puts = append(puts, time.Now())
		mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		return &putResponse{Answer: &document.Answer{Verdict: document.Accepted, Number: r.Number}}, nil
	})
	leading := httptest.NewServer(mux)
	t.Cleanup(leading.Close)
	leader := leading.Listener.Addr().String()
	members := []string{leader}
	for range 5 {
		mux := http.NewServeMux()
		handle(mux, procedurePut, func(context.Context, *putRequest) (*putResponse, error) {
			denied.Add(1)
			return &putResponse{Failure: "not the leader", leadership: leadership{Denied: true, Denial: Denial{Leader: leader}}}, nil
		})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		members = append(members, server.Listener.Addr().String())
	}
	started := time.Now()
	_, err := callerOf(members...).Put(t.Context(), routesDocument(1, 1))
	g.Expect(err).NotTo(HaveOccurred())
	took := time.Since(started)
	mu.Lock()
	defer mu.Unlock()
	// On a busy machine a call may end by its time limit before the answer. Only then is it made again.
	for i, at := range puts {
		g.Expect(at.Sub(started)).To(BeNumerically(">=", time.Duration(i)*memberCallTimeout), "put %d to the leader", i)
	}
	// Between two calls to the leader, each of the others may be called at once.
	g.Expect(denied.Load()).To(BeNumerically("<=", int(took/memberHedgeDelay)+(len(puts)-1)*(len(members)-1)))
}
