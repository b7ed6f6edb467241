package quorum

import "fmt"

// check checks the guarantees at member i.
func (s *simulation) check(i int) {
	m := s.members[i]
	c := m.core
	if c.Term() < m.lastTerm {
		s.reporter.Fatalf("term of %s went from %d to %d", m.name, m.lastTerm, c.Term())
	}
	m.lastTerm = c.Term()
	s.checkLog(m)
	s.checkCommitted(m)
	if c.role == Leader {
		s.checkLeader(m)
	}
}

// checkLog checks log matching: entries with the same index and term are equal, and
// so are their predecessors.
func (s *simulation) checkLog(m *simulatedMember) {
	for _, e := range m.core.log.entries {
		prevTerm, ok := m.core.log.term(e.Index - 1)
		if !ok {
			continue
		}
		content := fmt.Sprintf("%d %q after term %d", e.Kind, e.Data, prevTerm)
		key := [2]uint64{e.Index, e.Term}
		if previous, ok := s.seenEntries[key]; ok && previous != content {
			s.reporter.Fatalf("entry %d of term %d is %s on %s and %s elsewhere", e.Index, e.Term, content, m.name, previous)
		}
		s.seenEntries[key] = content
	}
}

// checkCommitted checks that m's committed entries equal those of other members.
func (s *simulation) checkCommitted(m *simulatedMember) {
	for _, e := range m.core.log.entries {
		if e.Index > m.core.commit {
			return
		}
		previous, ok := s.committed[e.Index]
		if ok && (previous.Term != e.Term || string(previous.Data) != string(e.Data)) {
			s.reporter.Fatalf("committed entry %d is of term %d on %s and was of term %d", e.Index, e.Term, m.name, previous.Term)
		}
		s.committed[e.Index] = e
	}
}

// checkLeader checks election safety and leader completeness.
func (s *simulation) checkLeader(m *simulatedMember) {
	c := m.core
	if previous, ok := s.termLeaders[c.Term()]; ok && previous != c.config.Self {
		s.reporter.Fatalf("term %d has the leaders %s and %s", c.Term(), previous, c.config.Self)
	}
	_, isKnown := s.termLeaders[c.Term()]
	s.termLeaders[c.Term()] = c.config.Self
	if isKnown {
		return
	}
	for index, e := range s.committed {
		isOlder := e.Term < c.Term() && index > c.log.baseIndex
		if isOlder && !c.log.matches(index, e.Term) {
			s.reporter.Fatalf("leader %s of term %d lacks the committed entry %d of term %d", m.name, c.Term(), index, e.Term)
		}
	}
}
