package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// expectVoters expects that as many disks vote as wanted, and that each of them runs, once an entry
// that was lost no longer counts as lost.
func (s *soak) expectVoters(healed time.Time, settle time.Duration, when string) {
	time.Sleep(time.Until(healed.Add(max(settle, catchUpTime))))
	var report string
	leader, quorum := s.findLeader()
	if leader == nil {
		report = "there is no leader"
	} else {
		report = s.missingVoters(quorum.GetVoters(), quorum.GetSilent())
	}
	if report == "" {
		return
	}
	s.t.Errorf("%s, %s; %s", report, when, s.describeQuorum())
}

// missingVoters tells what is wrong about the voters.
func (s *soak) missingVoters(voters, silent []string) string {
	wanted := 2*s.fleet.shape.tolerated + 1
	if len(voters) < wanted {
		return fmt.Sprintf("%d voters, %v, of at least %d", len(voters), voters, wanted)
	}
	for i, name := range voters {
		p := slices.IndexFunc(s.fleet.all(), func(p *process) bool { return p.name == name && p.running() })
		if p < 0 || slices.Contains(silent, name) || slices.Contains(voters[:i], name) {
			return fmt.Sprintf("a disk of %s votes that doesn't run, voters %v, silent %v", name, voters, silent)
		}
	}
	return ""
}

// describeQuorum tells what each entry with a disk says of the quorum.
func (s *soak) describeQuorum() string {
	var out strings.Builder
	for _, p := range s.fleet.all()[:s.fleet.shape.disks] {
		status := statusOf(p)
		q, d := status.GetQuorum(), status.GetDisk()
		e := q.GetElection()
		fmt.Fprintf(&out, "\n%s: disk %s %s %s, %s of term %d, commit %d, leader %q, voters %v, learners %v, silence %d ms, attempts %d, granted %d, refused by %v, silent %v", p.name,
			d.GetState(), d.GetError(), d.GetKept(), q.GetRole(), q.GetTerm(), q.GetCommit(), q.GetLeader(), q.GetVoters(), q.GetLearners(), e.GetSilenceMs(), e.GetAttempts(), e.GetGranted(), e.GetRefusedBy(), e.GetSilentVoters())
	}
	return out.String()
}
