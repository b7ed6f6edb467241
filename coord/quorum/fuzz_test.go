package quorum

import "testing"

func FuzzDecodeMessage(f *testing.F) {
	data, _ := EncodeMessage(Message{
		Kind: Append, From: "a", To: "b", Cluster: "c", Term: 2, Index: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("x")}},
	})
	f.Add(data)
	data, _ = EncodeMessage(Message{Kind: TimeoutNow, From: "a", To: "b", Cluster: "c", Term: 1, Silences: []memberSilence{{"a", 1, 1}}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		// A message that can be decoded must not crash a member.
		s := newSimulation(t, 1, 3)
		s.bootstrap()
		core := s.members[1].core
		m.To, m.Cluster = core.config.Self, s.members[0].core.hardState.Cluster
		core.Step(m)
		core.Ready()
	})
}
