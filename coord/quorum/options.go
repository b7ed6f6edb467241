package quorum

import (
	"errors"
	"log/slog"
	"time"
)

// Default timing. An election starts after ElectionTimeout plus a random part
// below ElectionJitter without a leader.
const (
	DefaultTick     = 25 * time.Millisecond
	Heartbeat       = 100 * time.Millisecond
	ElectionTimeout = 500 * time.Millisecond
	ElectionJitter  = 400 * time.Millisecond
	MaxCommandBytes = 8 << 20 // bytes of one command
	MaxMessageBytes = 1 << 20 // bytes of entries in one message, but for a larger single entry
)

// Machine is what the log is applied to. Its methods are called by one
// goroutine at a time. Reads by others need the machine's own lock.
type Machine interface {
	// Apply applies a command. It must depend on nothing but the machine's
	// state, index and cmd. The result goes to the caller of Propose.
	Apply(index uint64, cmd []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Transport sends messages. Send must not block: it queues within a bound and
// drops what exceeds it. The receiver hands each message to Node.Step.
type Transport interface {
	Send(to Member, msgs [][]byte)
}

// Options are the settings of a Node.
type Options struct {
	Name      string        // name of this member
	Address   string        // address told to the others
	Members   []Member      // names and addresses of the first members; empty to join a running quorum
	Folder    string        // data folder; made when it is missing
	Machine   Machine       // what commands are applied to
	Transport Transport     // may be nil for a single member
	Tick      time.Duration // 0 for DefaultTick
	Logger    *slog.Logger  // nil for none
	Seed      uint64        // seed of the election jitter; 0 for a random one
	// Repair makes a leader replace a voter whose name returned with another
	// disk, once that disk is caught up.
	Repair   bool
	LogBytes int // bytes of log after which a snapshot is taken; 0 for 16 MiB
}

// Status is what a node knows of itself and its quorum.
type Status struct {
	Name          string
	DiskIdentity  DiskIdentity
	Leader        string // empty when not known
	LeaderAddress string
	IsLeader      bool
	HasQuorum     bool // a leader was heard, or this is one that a quorum answers
	Term          uint64
	Commit        uint64 // index up to which entries are known to be committed
	Applied       uint64 // index up to which they were applied here
	Voters        []Member
	Learners      []Member
	Err           error // why the node no longer takes part, such as a failed disk
}

func (o Options) check() error {
	switch {
	case o.Name == "":
		return errors.New("quorum: options without a name")
	case o.Machine == nil:
		return errors.New("quorum: options without a machine")
	}
	return nil
}
