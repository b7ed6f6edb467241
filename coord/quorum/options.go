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

// Default timing. A member starts an election when it has not heard from a leader
// for ElectionTimeout plus a random duration below ElectionJitter.
const (
	DefaultTick       = 25 * time.Millisecond
	HeartbeatInterval = 100 * time.Millisecond
	ElectionTimeout   = 500 * time.Millisecond
	ElectionJitter    = 400 * time.Millisecond
	// FoundingTimeout is how long a founder waits for the promises of all initial members
	// with Options.FoundByMajority: four rounds of announcements.
	FoundingTimeout = 4 * helloInterval
)

// Limits.
const (
	MaxCommandBytes   = 8 << 20   // bytes of one command
	MaxMessageBytes   = 256 << 10 // bytes of entries in one message, unless a single entry is larger; 0.1 s of a link of 100 Mbit/s for five members
	maxInFlight       = 4096      // unacknowledged entries sent to one member
	minLinkBytes      = 1 << 20   // bytes per second that a member is expected to receive
	proposalQueueSize = 1024      // proposals queued to be appended
	messageQueueSize  = 4096      // received messages queued for the core
	maxUnsynced       = 64        // number of unsynced batches at which further proposals stay queued
	defaultLogBytes   = 16 << 20
	defaultTailLength = 2048 // maximum entries retained before a snapshot
	tailShare         = 2    // maximum bytes of these entries, as a divisor of Options.LogBytes
	helloInterval     = 500 * time.Millisecond
	repairInterval    = 100 * time.Millisecond // a fraction of the time in which a lost member is replaced
	identityBytes     = 8
)

// StateMachine is the state that the log is applied to. Its methods are called by
// one goroutine at a time. The state machine must synchronize concurrent readers
// itself.
type StateMachine interface {
	// Apply applies a command. It must be deterministic: the result may depend
	// only on the current state, index and cmd. The result is returned to the
	// caller of Propose.
	Apply(index uint64, cmd []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Transport sends messages. Send must not block: it uses a bounded queue and drops
// messages when the queue is full. It is called by several goroutines. The
// receiver passes each message to Node.Step.
type Transport interface {
	Send(to Member, msgs [][]byte)
}

// BulkTransport is a Transport that doesn't let votes, heartbeats and replies wait behind bulk
// messages, which hold entries of the log or a part of a snapshot. Both kinds may overtake each
// other; bulk messages to one member stay in order as far as possible. It calls Node.ReportBulk when
// they may not have arrived, and when none is on its way any more.
type BulkTransport interface {
	Transport
	// SendBulk sends bulk messages, as Send does others.
	SendBulk(to Member, msgs [][]byte)
}

// Options are the settings of a Node.
type Options struct {
	Name    string // name of this member
	Address string // address announced to the other members
	// Members are the names and addresses of the initial members, including this
	// one; each of them must come up once before the quorum is bootstrapped. Later,
	// a member with a blank disk announces itself to them. Empty for a member that
	// waits to be added. SetMembers replaces them.
	//
	// A quorum bootstrapped by a single member cannot detect that this member's
	// disk was replaced: list all members as soon as there are more.
	Members      []Member
	Folder       string        // data folder; created if missing
	Disk         wal.Folder    // used instead of Folder when set
	StateMachine StateMachine  // state that commands are applied to
	Transport    Transport     // may be nil for a single member
	Tick         time.Duration // 0 for DefaultTick
	Logger       *slog.Logger  // nil for none
	Seed         uint64        // seed of the election jitter; 0 for a random one
	// LogBytes are the bytes of log after which a snapshot is taken; 0 for 16 MiB. Half
	// as many are retained before the snapshot. Commands that arrive while a snapshot is
	// written wait when the log has twice LogBytes. While a log file is replaced, the disk
	// holds two of them, that is three and a half times LogBytes, and two snapshots.
	LogBytes int
	// Repair makes a leader replace an unresponsive voter whose name has
	// reappeared with another disk, once that disk has caught up.
	Repair bool
	// FoundByMajority lets the founder leave out initial members that have not promised
	// within FoundingTimeout, if the others are a majority. They join later as new ones.
	// It is safe only if a disk that was emptied never starts with the initial members
	// again: it could promise once more, to another founder.
	FoundByMajority bool
	// PreferAsLeader reports whether a member should become the leader when this one
	// transfers leadership; nil for no preference. It must not call the Node.
	PreferAsLeader func(Member) bool
	// OnRecovered is called by Start with each command that the log holds after the
	// snapshot; nil for none. These commands may not be committed.
	OnRecovered func(cmd []byte)
}

// Status is the state of a node and its quorum as seen by this node.
type Status struct {
	Name          string
	DiskIdentity  DiskIdentity
	Leader        string // empty when not known
	LeaderAddress string
	IsLeader      bool
	HasQuorum     bool // a leader was heard recently, or this member leads with an active quorum
	Term          uint64
	Commit        uint64 // index up to which entries are known to be committed
	Applied       uint64 // index up to which entries were applied locally
	Voters        []Member
	Learners      []Member
	Progress      map[DiskIdentity]MemberProgress // of the other members, on the leader only
	Role          Role
	MayWinTerm    bool             // votes of the current term are awaited, or this member leads in it
	LastIndex     uint64           // of the log; entries after Commit may or may not be committed
	Election      ElectionProgress // while no leader is heard
	Err           error            // why the node stopped, such as a disk failure
}

// ElectionProgress tells how a member without a leader tries to elect one.
type ElectionProgress struct {
	Silence      time.Duration // since a leader was last heard, or since the start
	Attempts     int           // elections that this member has started since then
	Granted      int           // votes of the current attempt, that of this member included
	Refused      int           // votes refused in the current attempt; the other voters have not replied
	RefusedBy    []string      // names of the voters that refused
	SilentVoters []string      // names of the voters that have not replied to the current attempt
	LateVotes    int           // votes granted after this member had given up the attempt
	SlowestReply time.Duration // to an attempt since a leader was last heard
	SlowestSync  time.Duration // of a write to the own disk since then, one in progress included
	Uncommitted  []Entry       // the last entries of the log that may or may not be committed

	silentTicks           uint64
	replyTicks, syncTicks int
}

// setDurations converts ticks to durations.
func (o Options) setDurations(e *ElectionProgress) {
	e.Silence = time.Duration(e.silentTicks) * o.Tick
	e.SlowestReply, e.SlowestSync = time.Duration(e.replyTicks)*o.Tick, time.Duration(e.syncTicks)*o.Tick
}

// MemberProgress is the leader's view of another member.
type MemberProgress struct {
	Silence    time.Duration // since the member last replied to this leader, or since this leader's election
	HasReplied bool          // to this leader
	// TotalSilence is the silence to this leader and to those that handed over to it in turn, the first
	// of which the member has replied to; 0 if unknown.
	TotalSilence time.Duration
	// IsOverdue is set if the member has not replied to this leader in the time that its first reply
	// takes, by the replies to the earlier leaders and to this one's election.
	IsOverdue bool
	CaughtUp  bool // the member has synced the committed entries, except for a few
}

func (o Options) check() error {
	switch {
	case o.Name == "" || !utf8.ValidString(o.Name+o.Address):
		return errors.New("quorum: options without a name, or with a name or address that is not valid UTF-8")
	case o.StateMachine == nil:
		return errors.New("quorum: options without a state machine")
	case o.Folder == "" && o.Disk == nil:
		return errors.New("quorum: options without a data folder or disk")
	case o.Transport == nil && len(o.Members) > 1:
		return errors.New("quorum: options with several members but without a transport")
	}
	return nil
}

// withDefaults replaces unset options by their defaults.
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

// tail returns the limits of the entries retained before a snapshot.
func (o Options) tail() tailLimits {
	return tailLimits{entries: defaultTailLength, bytes: o.LogBytes / tailShare}
}

func (o Options) coreConfig(self DiskIdentity, random *mathrand.Rand) CoreConfig {
	_, reports := o.Transport.(BulkTransport)
	return CoreConfig{
		Self:            self,
		HeartbeatTicks:  o.ticks(HeartbeatInterval),
		ElectionTicks:   o.ticks(ElectionTimeout),
		JitterTicks:     o.ticks(ElectionJitter),
		MaxMessageBytes: MaxMessageBytes,
		MaxInFlight:     maxInFlight,
		ReportsDelivery: reports,
		BytesPerTick:    int(minLinkBytes * o.Tick.Seconds()),
		TailLength:      defaultTailLength,
		TailBytes:       o.tail().bytes,
		Rand:            random,
	}
}

// newDiskIdentity returns a random identity, unique among all disks.
func newDiskIdentity() DiskIdentity {
	var id [identityBytes]byte
	_, _ = rand.Read(id[:])
	return DiskIdentity(hex.EncodeToString(id[:]))
}
