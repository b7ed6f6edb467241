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

// memberService changes the members of the quorum in an order that never leaves
// fewer disks than before: a new member is added, caught up and made a voter
// before an old one is removed.
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
	added, err := m.add(ctx, r.GetName(), r.GetAddress())
	if err != nil {
		return err
	}
	return m.remove(ctx, r.GetReplaces(), added.Disk)
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

// add makes the process at an address a voter. A step that was taken before is
// not taken again.
func (m *memberService) add(ctx context.Context, name, address string) (quorum.Member, error) {
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
		if err := m.step(ctx, quorum.Change{Kind: quorum.AddLearner, Member: member}); err != nil {
			return member, err
		}
	}
	return member, m.step(ctx, quorum.Change{Kind: quorum.Promote, Member: member})
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
