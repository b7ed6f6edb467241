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

// Time limits of a membership change.
const (
	changeTimeout      = time.Minute
	changePollInterval = 100 * time.Millisecond
	identifyTimeout    = time.Second
)

// identifyFunc queries the process at an address for its member identity.
type identifyFunc func(ctx context.Context, address string) (quorum.Member, error)

// memberService changes the membership of the quorum. When it replaces a member
// that still responds, the new member becomes a voter before the old one is
// removed, so that the number of disks never drops. When it replaces a member
// that is gone, the old one is removed first: with four voters of which one is
// gone, losing the new disk as well would permanently leave no majority.
type memberService struct {
	log      Log
	identify identifyFunc
	logger   *slog.Logger
}

func (m *memberService) change(ctx context.Context, r *pb.ChangeMemberRequest) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := m.checkLeader(); err != nil {
		return err
	}
	switch r.GetKind() {
	case pb.ChangeMemberRequest_KIND_ADD:
		_, err := m.addVoter(ctx, r.GetName(), r.GetAddress())
		return err
	case pb.ChangeMemberRequest_KIND_REMOVE:
		return m.remove(ctx, r.GetName(), "")
	case pb.ChangeMemberRequest_KIND_REPLACE:
		return m.replace(ctx, r)
	default:
		return fmt.Errorf("%w: kind of change not set", quorum.ErrChangeInvalid)
	}
}

func (m *memberService) replace(ctx context.Context, r *pb.ChangeMemberRequest) error {
	added, err := m.addLearner(ctx, r.GetName(), r.GetAddress())
	if err != nil {
		return err
	}
	if m.isResponsive(ctx, r.GetReplaces(), added.Disk) {
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

// isResponsive reports whether the voter with the given name still responds and
// identifies itself with the disk it votes with. A voter on the disk exclude is
// ignored.
func (m *memberService) isResponsive(ctx context.Context, name string, exclude quorum.DiskIdentity) bool {
	for _, voter := range m.configuration().Voters {
		if voter.Name != name || voter.Disk == exclude {
			continue
		}
		member, err := m.identifyAt(ctx, voter.Address)
		return err == nil && member.Disk == voter.Disk
	}
	return false
}

// checkLeader returns an error unless this member is the leader.
func (m *memberService) checkLeader() error {
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

// addVoter adds the process at an address as a voter.
func (m *memberService) addVoter(ctx context.Context, name, address string) (quorum.Member, error) {
	member, err := m.addLearner(ctx, name, address)
	if err != nil {
		return member, err
	}
	return member, m.promote(ctx, member)
}

// addLearner adds the process at an address as a learner, unless it is already a
// learner or a voter.
func (m *memberService) addLearner(ctx context.Context, name, address string) (quorum.Member, error) {
	member, err := m.identifyAt(ctx, address)
	if err != nil {
		return member, err
	}
	if member.Name != name {
		return member, fmt.Errorf("%w: the member at %s is %s, not %s", quorum.ErrChangeInvalid, address, member.Name, name)
	}
	current := m.configuration()
	if _, isVoter := current.Voter(member.Disk); isVoter {
		return member, nil
	}
	if _, isLearner := current.Learner(member.Disk); !isLearner {
		return member, m.applyChange(ctx, quorum.Change{Kind: quorum.AddLearner, Member: member})
	}
	return member, nil
}

// promote makes a learner a voter once it has caught up.
func (m *memberService) promote(ctx context.Context, member quorum.Member) error {
	if _, isVoter := m.configuration().Voter(member.Disk); isVoter {
		return nil
	}
	return m.applyChange(ctx, quorum.Change{Kind: quorum.Promote, Member: member})
}

// remove removes the members with the given name, except the one on the disk
// keep. The remaining voters must have a responsive majority.
func (m *memberService) remove(ctx context.Context, name string, keep quorum.DiskIdentity) error {
	found := false
	for _, member := range m.configuration().Members() {
		if member.Name != name || member.Disk == keep {
			continue
		}
		found = true
		if err := m.checkRemainingVoters(ctx, member); err != nil {
			return err
		}
		if err := m.applyChange(ctx, quorum.Change{Kind: quorum.Remove, Member: member}); err != nil {
			return err
		}
	}
	if !found && keep == "" {
		return fmt.Errorf("%w: no member is named %s", quorum.ErrChangeInvalid, name)
	}
	return nil
}

// checkRemainingVoters returns an error unless a majority of the voters that
// remain after the removal respond with the disk they vote with.
func (m *memberService) checkRemainingVoters(ctx context.Context, leaving quorum.Member) error {
	current := m.configuration()
	if _, isVoter := current.Voter(leaving.Disk); !isVoter {
		return nil
	}
	remaining, answered := 0, 0
	for _, voter := range current.Voters {
		if voter.Disk == leaving.Disk {
			continue
		}
		remaining++
		if member, err := m.identifyAt(ctx, voter.Address); err == nil && member.Disk == voter.Disk {
			answered++
		}
	}
	if answered < remaining/2+1 {
		return fmt.Errorf("%w: without %s only %d of the %d remaining voters respond", quorum.ErrChangeInvalid, leaving.Name, answered, remaining)
	}
	return nil
}

// applyChange makes one membership change. It retries while another change is
// pending or the learner has not caught up.
func (m *memberService) applyChange(ctx context.Context, change quorum.Change) error {
	for {
		err := m.log.ChangeMember(ctx, change)
		if err == nil {
			m.logger.Info("quorum membership changed", "change", change.Kind.String(), "member", change.Member.Name, "disk", change.Member.Disk)
			return nil
		}
		if !errors.Is(err, quorum.ErrChangePending) && !errors.Is(err, quorum.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changePollInterval):
		}
	}
}

func (m *memberService) configuration() quorum.Configuration {
	s := m.log.Status()
	return quorum.Configuration{Voters: s.Voters, Learners: s.Learners}
}

func (m *memberService) identifyAt(ctx context.Context, address string) (quorum.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	member, err := m.identify(ctx, address)
	if err != nil {
		return member, fmt.Errorf("%w: no member responds at %s: %w", quorum.ErrChangeInvalid, address, trace.Unwrap(err))
	}
	member.Address = address
	return member, nil
}
