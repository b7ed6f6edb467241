package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/services"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/submit"
)

// configuration is a small valid configuration.
func configuration(name string) *fleet.Configuration {
	return &fleet.Configuration{
		Name:           name,
		FailureDomains: []fleet.FailureDomain{{Name: "north", Region: "coast"}},
		Models:         []fleet.Model{{Name: "drafts", Endpoints: 1, MaxPrompt: 1000}},
		Limits:         fleet.DefaultLimits(),
	}
}

func TestAConfigurationThatNoDaemonCouldUseIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 1)
	c.leader()
	faulty := configuration("faulty")
	faulty.Accounts = []fleet.Account{{Name: "a", Share: 0, Models: []string{"letters"}}}
	_, err := c.client().Accept(t.Context(), control.Change{ID: "faulty", Configuration: faulty})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeInvalidRequest))
	g.Expect(outcome.From(err).State).To(Equal(outcome.NotRun))
	g.Expect(err.Error()).To(ContainSubstring("accounts[1].share"))
}

func claimOf(key, request string) services.Claim {
	return services.Claim{Account: "a", Service: "s", Key: key, Digest: "d", Request: request, Remaining: time.Minute}
}

func claims(c *control.Client) control.Claims {
	return control.Claims{Client: c, Configuration: func() *fleet.Configuration { return configuration("") }}
}

// others returns the members but one.
func (c *cluster) others(m settings.Member) []settings.Member {
	var others []settings.Member
	for _, o := range c.members {
		if o != m {
			others = append(others, o)
		}
	}
	return others
}

func TestAResendThroughAnotherMemberGetsTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	ctx := t.Context()
	change := control.Change{ID: "one", Configuration: configuration("first"), Author: "ana"}
	first, err := c.client().Accept(ctx, change)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Verdict).To(Equal(revision.Accepted))

	c.stop(leader)
	c.leader()
	again, err := c.client().Accept(ctx, change)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))

	lost, err := c.client().Accept(ctx, control.Change{ID: "two", Configuration: configuration("second")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lost.Verdict).To(Equal(revision.Conflict))
	g.Expect(lost.Author).To(Equal("ana"))
	g.Expect(string(lost.Document)).To(ContainSubstring(`"first"`))
}

func TestWithoutAQuorumACallIsRefusedAtOnceAsNotRun(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	for _, m := range c.others(leader) {
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

func TestAnIsolatedLeaderGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	c.setCut(c.others(leader)...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	client := c.client()
	go client.Serve(ctx)

	_, err := claims(client).Claim(ctx, claimOf("k", "r1"))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNoQuorum))

	// The old leader comes back with r1's claim in its log, or without it: in
	// either case r1 was given back, and another request may run the call.
	c.setCut()
	g.Eventually(func() error {
		grant, err := claims(client).Claim(ctx, claimOf("k", "r2"))
		if err == nil && grant.Recorded != nil {
			return fmt.Errorf("a call that never ran has a recorded answer")
		}
		return err
	}).WithContext(ctx).WithPolling(100 * time.Millisecond).Should(Succeed())
}

func TestAnIsolatedLeaderTellsNothingOld(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	far := c.clientFrom(farClient)
	_, err := far.Configuration(t.Context(), fleet.Version{})
	g.Expect(err).NotTo(HaveOccurred())
	c.setCutWith(leader)
	near := c.client()
	g.Eventually(func() error {
		_, err := near.Accept(t.Context(), control.Change{ID: "new", Configuration: configuration("new")})
		return err
	}).WithTimeout(10 * time.Second).Should(Succeed())

	update, err := far.Configuration(t.Context(), fleet.Version{})
	g.Expect(err).To(HaveOccurred(), "version %v was read where 1.1 is accepted", update.Version)
}

func TestAnOutcomeIsRecordedAfterTheQuorumComesBack(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	c.leader()
	client := c.client()
	go client.Serve(t.Context())
	grant, err := claims(client).Claim(t.Context(), claimOf("k", "r1"))
	g.Expect(err).NotTo(HaveOccurred())

	c.setCut(c.members...)
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	reply := &submit.Reply{Status: 201, Body: []byte("registered")}
	g.Expect(claims(client).Record(short, claimOf("k", "r1"), grant, reply, nil)).NotTo(Succeed())
	c.setCut()
	g.Eventually(func() *submit.Reply {
		grant, _ := claims(client).Claim(t.Context(), claimOf("k", "r2"))
		return grant.Recorded
	}).WithTimeout(20 * time.Second).WithPolling(100 * time.Millisecond).Should(Equal(reply))
}

func TestAMemberIsReplacedInASafeOrder(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	client := c.client()
	for i := range 20 {
		_, err := client.NextFence(t.Context(), fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	old := c.others(leader)[0]
	added := settings.Member{Name: "c4", Address: freeAddress(t)}
	c.start(added, nil)
	defer c.stop(added)
	c.stop(old)

	g.Expect(client.ChangeMember(t.Context(), &pb.ChangeMemberRequest{
		Kind: pb.ChangeMemberRequest_KIND_REPLACE, Name: added.Name, Address: added.Address, Replaces: old.Name,
	})).To(Succeed())
	voters := func() []string { return c.running[leader.Name].member.Status().GetVoters() }
	g.Eventually(voters).Should(ConsistOf(leader.Name, c.others(leader)[1].Name, added.Name))

	// With one more gone, the two that are left may not shrink to one of two.
	c.stop(c.others(leader)[1])
	err := client.ChangeMember(t.Context(), &pb.ChangeMemberRequest{Kind: pb.ChangeMemberRequest_KIND_REMOVE, Name: added.Name})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeInvalidRequest))
	g.Expect(client.NextFence(t.Context(), "0")).To(BeEquivalentTo(2))
}

func TestOnceRecordsTellWhatBecameOfACall(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 1)
	c.leader()
	records := claims(c.client())
	ctx := t.Context()
	for _, ending := range []struct {
		key     string
		failure *outcome.Error
		code    outcome.Code // of a resend, empty when it is granted
		state   outcome.State
	}{
		{"not run", outcome.Refuse(outcome.CodeLeaving, "x", "x"), "", outcome.NotRun},
		{"ran", outcome.Fail(outcome.CodeEngineFailed, outcome.Ran, "x", nil), outcome.CodeEngineFailed, outcome.Ran},
		{"no word", outcome.Fail(outcome.CodeTransport, outcome.Unknown, "x", nil), outcome.CodeOutcomeUnknown, outcome.Unknown},
	} {
		grant, err := records.Claim(ctx, claimOf(ending.key, "r1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = records.Claim(ctx, claimOf(ending.key, "r2"))
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeStillRunning))
		g.Expect(records.Record(ctx, claimOf(ending.key, "r1"), grant, nil, ending.failure)).To(Succeed())
		_, err = records.Claim(ctx, claimOf(ending.key, "r2"))
		if ending.code == "" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(outcome.From(err).Code).To(Equal(ending.code), ending.key)
		g.Expect(outcome.StateOf(err)).To(Equal(ending.state), ending.key)
	}
}
