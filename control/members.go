package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// Bounds of a change of members.
const (
	changeTimeout   = time.Minute
	changePoll      = 100 * time.Millisecond
	identifyTimeout = time.Second
)

// identify asks the process at an address which member it is.
type identify func(ctx context.Context, address string) (quorum.Member, error)

// memberService changes the members of the quorum. In place of a member that
// still answers, the new one votes before the old one is removed, so that there
// are never fewer disks. In place of one that is gone, the old one is removed
// first: of four voters with one gone, the loss of the new disk would leave no
// majority for ever.
type memberService struct {
	log      Log
	identify identify
	logger   *slog.Logger
}

func (m *memberService) change(ctx context.Context, r *pb.ChangeMemberRequest) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := m.lead(); err != nil {
		return err
	}
	switch r.GetKind() {
	case pb.ChangeMemberRequest_KIND_ADD:
		_, err := m.add(ctx, r.GetName(), r.GetAddress())
		return err
	case pb.ChangeMemberRequest_KIND_REMOVE:
		return m.remove(ctx, r.GetName(), "")
	case pb.ChangeMemberRequest_KIND_REPLACE:
		return m.replace(ctx, r)
	default:
		return fmt.Errorf("%w: no kind of change", quorum.ErrChangeInvalid)
	}
}

func (m *memberService) replace(ctx context.Context, r *pb.ChangeMemberRequest) error {
	added, err := m.learn(ctx, r.GetName(), r.GetAddress())
	if err != nil {
		return err
	}
	if m.answers(ctx, r.GetReplaces(), added.Disk) {
		if err := m.promote(ctx, added); err != nil {
			return err
		}
		return m.remove(ctx, r.GetReplaces(), added.Disk)
	}
	if err := m.remove(ctx, r.GetReplaces(), added.Disk); err != nil {
		return err
	}
	return m.promote(ctx, added)
}

// answers reports whether a voter called name, on another disk than the one
// given, still answers with the disk it votes with.
func (m *memberService) answers(ctx context.Context, name string, other quorum.DiskIdentity) bool {
	for _, voter := range m.members().Voters {
		if voter.Name != name || voter.Disk == other {
			continue
		}
		there, err := m.ask(ctx, voter.Address)
		return err == nil && there.Disk == voter.Disk
	}
	return false
}

// lead returns an error when another member leads, or none.
func (m *memberService) lead() error {
	s := m.log.Status()
	switch {
	case s.IsLeader:
		return nil
	case s.Leader != "":
		return &quorum.ErrNotLeader{Leader: s.Leader, Address: s.LeaderAddress}
	default:
		return quorum.ErrNoQuorum
	}
}

// add makes the process at an address a voter.
func (m *memberService) add(ctx context.Context, name, address string) (quorum.Member, error) {
	member, err := m.learn(ctx, name, address)
	if err != nil {
		return member, err
	}
	return member, m.promote(ctx, member)
}

// learn makes the process at an address a learner, unless it is one or a voter.
func (m *memberService) learn(ctx context.Context, name, address string) (quorum.Member, error) {
	member, err := m.ask(ctx, address)
	if err != nil {
		return member, err
	}
	if member.Name != name {
		return member, fmt.Errorf("%w: the member at %s is %s, not %s", quorum.ErrChangeInvalid, address, member.Name, name)
	}
	now := m.members()
	if _, isVoter := now.Voter(member.Disk); isVoter {
		return member, nil
	}
	if _, isLearner := now.Learner(member.Disk); !isLearner {
		return member, m.step(ctx, quorum.Change{Kind: quorum.AddLearner, Member: member})
	}
	return member, nil
}

// promote makes a learner a voter once it is caught up.
func (m *memberService) promote(ctx context.Context, member quorum.Member) error {
	if _, isVoter := m.members().Voter(member.Disk); isVoter {
		return nil
	}
	return m.step(ctx, quorum.Change{Kind: quorum.Promote, Member: member})
}

// remove takes the members called name out, but for the disk to keep. The voters
// that stay must be able to go on without them.
func (m *memberService) remove(ctx context.Context, name string, keep quorum.DiskIdentity) error {
	found := false
	for _, member := range m.members().Members() {
		if member.Name != name || member.Disk == keep {
			continue
		}
		found = true
		if err := m.checkRest(ctx, member); err != nil {
			return err
		}
		if err := m.step(ctx, quorum.Change{Kind: quorum.Remove, Member: member}); err != nil {
			return err
		}
	}
	if !found && keep == "" {
		return fmt.Errorf("%w: no member is called %s", quorum.ErrChangeInvalid, name)
	}
	return nil
}

// checkRest asks the voters that would stay, of which a majority must answer
// with the disk they vote with.
func (m *memberService) checkRest(ctx context.Context, leaving quorum.Member) error {
	now := m.members()
	if _, isVoter := now.Voter(leaving.Disk); !isVoter {
		return nil
	}
	rest, answered := 0, 0
	for _, voter := range now.Voters {
		if voter.Disk == leaving.Disk {
			continue
		}
		rest++
		if there, err := m.ask(ctx, voter.Address); err == nil && there.Disk == voter.Disk {
			answered++
		}
	}
	if answered < rest/2+1 {
		return fmt.Errorf("%w: without %s only %d of %d voters answer", quorum.ErrChangeInvalid, leaving.Name, answered, rest)
	}
	return nil
}

// step makes one change, and waits while another is under way or a learner is
// not caught up.
func (m *memberService) step(ctx context.Context, change quorum.Change) error {
	for {
		err := m.log.ChangeMember(ctx, change)
		if err == nil {
			m.logger.Info("members changed", "change", change.Kind.String(), "member", change.Member.Name, "disk", change.Member.Disk)
			return nil
		}
		if !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changePoll):
		}
	}
}

func (m *memberService) members() quorum.Configuration {
	s := m.log.Status()
	return quorum.Configuration{Voters: s.Voters, Learners: s.Learners}
}

func (m *memberService) ask(ctx context.Context, address string) (quorum.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	member, err := m.identify(ctx, address)
	if err != nil {
		return member, fmt.Errorf("%w: no member answers at %s: %w", quorum.ErrChangeInvalid, address, trace.Unwrap(err))
	}
	member.Address = address
	return member, nil
}
