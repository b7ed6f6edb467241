package quorum

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"log/slog"
	"math"
	mathrand "math/rand/v2"
	"time"
	"unicode/utf8"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// Default timing. An election starts after ElectionTimeout plus a random part
// below ElectionJitter without a leader.
const (
	DefaultTick     = 25 * time.Millisecond
	Heartbeat       = 100 * time.Millisecond
	ElectionTimeout = 500 * time.Millisecond
	ElectionJitter  = 400 * time.Millisecond
)

// Bounds.
const (
	MaxCommandBytes   = 8 << 20 // bytes of one command
	MaxMessageBytes   = 1 << 20 // bytes of entries in one message, but for a larger single entry
	maxInFlight       = 4096    // entries sent to one member and not acknowledged
	proposalQueue     = 1024    // proposals that wait to be appended
	messageQueue      = 4096    // messages that wait to be taken
	maxUnsynced       = 64      // batches that wait for the disk before proposals have to
	defaultLogBytes   = 16 << 20
	defaultTailLength = 2048 // entries kept before a snapshot
	helloInterval     = 500 * time.Millisecond
	identityBytes     = 8
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
// drops what exceeds it. It is called by several goroutines. The receiver hands
// each message to Node.Step.
type Transport interface {
	Send(to Member, msgs [][]byte)
}

// Options are the settings of a Node.
type Options struct {
	Name    string // name of this member
	Address string // address told to the others
	// Members are the names and addresses of the first members, this one
	// included; all of them have to be up once to found the quorum. Later they
	// are whom a blank disk tells that it is there. Empty for a disk that waits
	// to be added.
	//
	// A quorum that was founded by a single member can't tell that this
	// member's disk was replaced: list all members as soon as there are more.
	Members   []Member
	Folder    string        // data folder; made when it is missing
	Disk      wal.Folder    // in place of Folder when set
	Machine   Machine       // what commands are applied to
	Transport Transport     // may be nil for a single member
	Tick      time.Duration // 0 for DefaultTick
	Logger    *slog.Logger  // nil for none
	Seed      uint64        // seed of the election jitter; 0 for a random one
	LogBytes  int           // bytes of log after which a snapshot is taken; 0 for 16 MiB
	// Repair makes a leader replace a voter that is silent and whose name
	// returned with another disk, once that disk is caught up.
	Repair bool
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
	case o.Name == "" || !utf8.ValidString(o.Name+o.Address):
		return errors.New("quorum: options without a name, or with one that is not UTF-8")
	case o.Machine == nil:
		return errors.New("quorum: options without a machine")
	case o.Folder == "" && o.Disk == nil:
		return errors.New("quorum: options without a folder")
	case o.Transport == nil && len(o.Members) > 1:
		return errors.New("quorum: options with members and without a transport")
	}
	return nil
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.LogBytes == 0 {
		o.LogBytes = defaultLogBytes
	}
	if o.Seed == 0 {
		var seed [8]byte
		_, _ = rand.Read(seed[:])
		o.Seed = binary.LittleEndian.Uint64(seed[:])
	}
	return o
}

func (o Options) ticks(d time.Duration) int {
	return max(1, int(math.Round(float64(d)/float64(o.Tick))))
}

func (o Options) coreConfig(self DiskIdentity, random *mathrand.Rand) CoreConfig {
	return CoreConfig{
		Self:           self,
		HeartbeatTicks: o.ticks(Heartbeat),
		ElectionTicks:  o.ticks(ElectionTimeout),
		JitterTicks:    o.ticks(ElectionJitter),
		MaxBytes:       MaxMessageBytes,
		MaxInFlight:    maxInFlight,
		TailLength:     defaultTailLength,
		Rand:           random,
	}
}

// newDiskIdentity makes an identity that no other disk has.
func newDiskIdentity() DiskIdentity {
	var id [identityBytes]byte
	_, _ = rand.Read(id[:])
	return DiskIdentity(hex.EncodeToString(id[:]))
}
