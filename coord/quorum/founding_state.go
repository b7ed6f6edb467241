package quorum

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	quorumv1 "github.com/jacinthplank/jacinthplank/coord/gen/jacinthplank/quorum/v1"
)

// Ballot is an attempt of a disk to found a quorum.
type Ballot struct {
	Number uint64
	Disk   DiskIdentity
}

func (b Ballot) isZero() bool { return b == Ballot{} }

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), strings.Compare(string(b.Disk), string(other.Disk)))
}

// decree is what acceptors decide on: the identity of the quorum and its first configuration.
type decree struct {
	quorum        string
	configuration Configuration
}

func (d decree) isZero() bool { return d.quorum == "" }

// newDecree returns a decree that is proposed for the first time. The ballot makes it unique.
func newDecree(b Ballot, c Configuration) decree {
	return decree{quorum: fmt.Sprintf("%s-%d", b.Disk, b.Number), configuration: c}
}

// foundingState is what a disk has promised and accepted. It must be on disk before any message
// that depends on it is sent.
type foundingState struct {
	promised Ballot
	accepted Ballot // zero if nothing was accepted
	decree   decree // that was accepted, or is proposed or chosen in a message
}

func (s foundingState) isZero() bool {
	return s.promised.isZero() && s.accepted.isZero() && s.decree.isZero()
}

func ballotToProto(b Ballot) *quorumv1.Ballot {
	if b.isZero() {
		return nil
	}
	return &quorumv1.Ballot{Number: b.Number, Disk: string(b.Disk)}
}

func ballotFromProto(in *quorumv1.Ballot) Ballot {
	return Ballot{Number: in.GetNumber(), Disk: DiskIdentity(in.GetDisk())}
}

func foundingToProto(s foundingState) *quorumv1.Founding {
	if s.isZero() {
		return nil
	}
	out := &quorumv1.Founding{Promised: ballotToProto(s.promised), Accepted: ballotToProto(s.accepted), Quorum: s.decree.quorum}
	if !s.decree.isZero() {
		out.Configuration = configurationToProto(s.decree.configuration)
	}
	return out
}

// foundingFromProto fails on a decree that is incomplete, or that was accepted without a promise.
func foundingFromProto(in *quorumv1.Founding) (foundingState, error) {
	s := foundingState{
		promised: ballotFromProto(in.GetPromised()), accepted: ballotFromProto(in.GetAccepted()),
		decree: decree{quorum: in.GetQuorum(), configuration: configurationFromProto(in.GetConfiguration())},
	}
	hasVoters := len(s.decree.configuration.Voters) > 0
	switch {
	case s.decree.isZero() == hasVoters:
		return foundingState{}, trace.BadParameter("quorum: founding with %d voters of the quorum %q", len(s.decree.configuration.Voters), s.decree.quorum)
	case !s.accepted.isZero() && (s.decree.isZero() || s.accepted.compare(s.promised) > 0):
		return foundingState{}, trace.BadParameter("quorum: founding accepted in ballot %v after a promise to %v", s.accepted, s.promised)
	}
	return s, nil
}
