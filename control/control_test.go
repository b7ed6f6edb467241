package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/services"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/submit"
)

// testConfiguration returns a small valid configuration.
func testConfiguration(name string) *fleet.Configuration {
	return &fleet.Configuration{
		Name:           name,
		FailureDomains: []fleet.FailureDomain{{Name: "north", Region: "coast"}},
		Models:         []fleet.Model{{Name: "drafts", Endpoints: 1, MaxPrompt: 1000}},
		Limits:         fleet.DefaultLimits(),
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 1)
	c.leader()
	invalid := testConfiguration("faulty")
	invalid.Accounts = []fleet.Account{{Name: "a", Share: 0, Models: []string{"letters"}}}
	_, err := c.client().Accept(t.Context(), control.Change{ID: "faulty", Configuration: invalid})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeInvalidRequest))
	g.Expect(outcome.From(err).State).To(Equal(outcome.NotRun))
	g.Expect(err.Error()).To(ContainSubstring("accounts[1].share"))
}

func newClaim(key, request string) services.Claim {
	return services.Claim{Account: "a", Service: "s", Key: key, Digest: "d", Request: request, Remaining: time.Minute}
}

func newClaims(c *control.Client) control.Claims {
	return control.Claims{Client: c, Configuration: func() *fleet.Configuration { return testConfiguration("") }}
}

// membersExcept returns all members except m.
func (c *cluster) membersExcept(m settings.Member) []settings.Member {
	var others []settings.Member
	for _, o := range c.members {
		if o != m {
			others = append(others, o)
		}
	}
	return others
}

func TestResendThroughAnotherMemberReturnsFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	ctx := t.Context()
	change := control.Change{ID: "one", Configuration: testConfiguration("first"), Author: "ana"}
	first, err := c.client().Accept(ctx, change)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Verdict).To(Equal(revision.Accepted))

	c.stop(leader)
	c.leader()
	resent, err := c.client().Accept(ctx, change)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resent).To(Equal(first))

	conflicting, err := c.client().Accept(ctx, control.Change{ID: "two", Configuration: testConfiguration("second")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conflicting.Verdict).To(Equal(revision.Conflict))
	g.Expect(conflicting.Author).To(Equal("ana"))
	g.Expect(string(conflicting.Document)).To(ContainSubstring(`"first"`))
}

func TestCallWithoutQuorumFailsFastAsNotRun(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	for _, m := range c.membersExcept(leader) {
		c.stop(m)
	}
	client := c.client()
	g.Eventually(func() string {
		started := time.Now()
		_, err := client.NextFence(t.Context(), "t")
		e := outcome.From(err)
		return fmt.Sprint(e.Code, e.State, e.RetryAfter > 0, time.Since(started) < time.Second)
	}).WithTimeout(10 * time.Second).Should(Equal(fmt.Sprint(outcome.CodeNoQuorum, outcome.NotRun, true, true)))
}

func TestIsolatedLeaderGrantsNoClaim(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	c.isolate(c.membersExcept(leader)...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	client := c.client()
	go client.Serve(ctx)

	_, err := newClaims(client).Claim(ctx, newClaim("k", "r1"))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNoQuorum))

	// Whether or not the old leader rejoins with r1's claim in its log, r1 has been
	// released and another request may run the call.
	c.isolate()
	g.Eventually(func() error {
		grant, err := newClaims(client).Claim(ctx, newClaim("k", "r2"))
		if err == nil && grant.Recorded != nil {
			return fmt.Errorf("a call that never ran has a recorded answer")
		}
		return err
	}).WithContext(ctx).WithPolling(100 * time.Millisecond).Should(Succeed())
}

func TestIsolatedLeaderServesNoStaleRead(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	far := c.clientFrom(farClient)
	_, err := far.Configuration(t.Context(), fleet.Version{})
	g.Expect(err).NotTo(HaveOccurred())
	c.isolateWithFarClient(leader)
	near := c.client()
	g.Eventually(func() error {
		_, err := near.Accept(t.Context(), control.Change{ID: "new", Configuration: testConfiguration("new")})
		return err
	}).WithTimeout(10 * time.Second).Should(Succeed())

	update, err := far.Configuration(t.Context(), fleet.Version{})
	g.Expect(err).To(HaveOccurred(), "stale read: got version %v after 1.1 was accepted", update.Version)
}

func TestOutcomeIsRecordedAfterQuorumRecovers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	c.leader()
	client := c.client()
	go client.Serve(t.Context())
	grant, err := newClaims(client).Claim(t.Context(), newClaim("k", "r1"))
	g.Expect(err).NotTo(HaveOccurred())

	c.isolate(c.members...)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	reply := &submit.Reply{Status: 201, Body: []byte("registered")}
	g.Expect(newClaims(client).Record(ctx, newClaim("k", "r1"), grant, reply, nil)).NotTo(Succeed())
	c.isolate()
	g.Eventually(func() *submit.Reply {
		grant, _ := newClaims(client).Claim(t.Context(), newClaim("k", "r2"))
		return grant.Recorded
	}).WithTimeout(20 * time.Second).WithPolling(100 * time.Millisecond).Should(Equal(reply))
}

func TestIdentifyReturnsTheMembersAddress(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 1)
	m := c.leader()
	client := jacinthplankv1connect.NewControlServiceClient(c.network.Client(), c.network.URL(m.Address))
	r, err := client.Identify(t.Context(), connect.NewRequest(&pb.IdentifyRequest{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Msg.GetName()).To(Equal(m.Name))
	g.Expect(r.Msg.GetAddress()).To(Equal(m.Address))
	g.Expect(r.Msg.GetDisk()).NotTo(BeEmpty())
}

func TestMemberReplacementKeepsQuorum(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	client := c.client()
	for i := range 20 {
		_, err := client.NextFence(t.Context(), fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	old := c.membersExcept(leader)[0]
	added := settings.Member{Name: "c4", Address: freeAddress(t)}
	c.start(added, nil)
	defer c.stop(added)
	c.stop(old)

	g.Expect(client.ChangeMember(t.Context(), &pb.ChangeMemberRequest{
		Kind: pb.ChangeMemberRequest_KIND_REPLACE, Name: added.Name, Address: added.Address, Replaces: old.Name,
	})).To(Succeed())
	voters := func() []string { return c.running[leader.Name].member.Status().GetVoters() }
	g.Eventually(voters).Should(ConsistOf(leader.Name, c.membersExcept(leader)[1].Name, added.Name))

	// With another member gone, removing one of the two that are left must fail: only
	// one of the two remaining voters would respond.
	c.stop(c.membersExcept(leader)[1])
	err := client.ChangeMember(t.Context(), &pb.ChangeMemberRequest{Kind: pb.ChangeMemberRequest_KIND_REMOVE, Name: added.Name})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeInvalidRequest))
	g.Expect(client.NextFence(t.Context(), "0")).To(BeEquivalentTo(2))
}

func TestOnceRecordAnswersResendByOutcome(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 1)
	c.leader()
	records := newClaims(c.client())
	ctx := t.Context()
	for _, tc := range []struct {
		key     string
		failure *outcome.Error
		code    outcome.Code // of the resend; empty if it is granted
		state   outcome.State
	}{
		{"not run", outcome.Refuse(outcome.CodeEndpointLeaving, "x", "x"), "", outcome.NotRun},
		{"ran", outcome.Fail(outcome.CodeEngineFailed, outcome.Ran, "x", nil), outcome.CodeEngineFailed, outcome.Ran},
		{"unknown outcome", outcome.Fail(outcome.CodeTransport, outcome.Unknown, "x", nil), outcome.CodeOutcomeUnknown, outcome.Unknown},
	} {
		grant, err := records.Claim(ctx, newClaim(tc.key, "r1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = records.Claim(ctx, newClaim(tc.key, "r2"))
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeStillRunning))
		g.Expect(records.Record(ctx, newClaim(tc.key, "r1"), grant, nil, tc.failure)).To(Succeed())
		_, err = records.Claim(ctx, newClaim(tc.key, "r2"))
		if tc.code == "" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(outcome.From(err).Code).To(Equal(tc.code), tc.key)
		g.Expect(outcome.StateOf(err)).To(Equal(tc.state), tc.key)
	}
}
