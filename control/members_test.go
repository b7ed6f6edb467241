package control

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// fakeLog is a Log that records membership changes and applies them.
type fakeLog struct {
	Log
	voters, learners []quorum.Member
	steps            []string
}

func (l *fakeLog) Status() quorum.Status {
	return quorum.Status{IsLeader: true, Voters: slices.Clone(l.voters), Learners: slices.Clone(l.learners)}
}

func (l *fakeLog) ChangeMember(_ context.Context, c quorum.Change) error {
	same := func(m quorum.Member) bool { return m.Disk == c.Member.Disk }
	l.steps = append(l.steps, c.Kind.String()+" "+string(c.Member.Disk))
	l.learners = slices.DeleteFunc(l.learners, same)
	l.voters = slices.DeleteFunc(l.voters, same)
	switch c.Kind {
	case quorum.AddLearner:
		l.learners = append(l.learners, c.Member)
	case quorum.Promote:
		l.voters = append(l.voters, c.Member)
	}
	return nil
}

func TestReplacementOrderDependsOnOldMember(t *testing.T) {
	for _, c := range []struct {
		oldUnreachable bool
		steps          []string
	}{
		{false, []string{"add_learner d4", "promote d4", "remove d3"}},
		{true, []string{"add_learner d4", "remove d3", "promote d4"}},
	} {
		g := NewWithT(t)
		log := &fakeLog{}
		byAddress := map[string]quorum.Member{}
		for _, n := range []string{"1", "2", "3", "4"} {
			m := quorum.Member{Name: "c" + n, Address: n, Disk: quorum.DiskIdentity("d" + n)}
			byAddress[n] = m
			if n != "4" {
				log.voters = append(log.voters, m)
			}
		}
		if c.oldUnreachable {
			delete(byAddress, "3")
		}
		service := memberService{log: log, logger: slog.New(slog.DiscardHandler), identify: func(_ context.Context, address string) (quorum.Member, error) {
			m, ok := byAddress[address]
			if !ok {
				return m, errors.New("no process at this address")
			}
			return m, nil
		}}
		err := service.change(t.Context(), &pb.ChangeMemberRequest{
			Kind: pb.ChangeMemberRequest_KIND_REPLACE, Name: "c4", Address: "4", Replaces: "c3",
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(log.steps).To(Equal(c.steps))
		var voters []string
		for _, v := range log.voters {
			voters = append(voters, string(v.Disk))
		}
		g.Expect(voters).To(ConsistOf("d1", "d2", "d4"))
		g.Expect(log.learners).To(BeEmpty())
	}
}
