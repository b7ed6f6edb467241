package quorum

import "fmt"

// EntryKind is the type of the data in an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand       EntryKind = iota + 1 // a command for the state machine
	EntryEmpty                              // the first entry of a new leader's term
	EntryConfiguration                      // an encoded Configuration
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state, besides the entries, that must survive a restart.
type HardState struct {
	Term    uint64
	Vote    DiskIdentity // candidate voted for in Term; empty if none
	Cluster string       // quorum that the disk belongs to; empty on a blank disk
}

// Snapshot is the complete state of the state machine after applying the entry at Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	PreVote          MessageKind = iota + 1 // asks whether the receiver would grant its vote in Term
	PreVoteReply                            // granted unless Reject is set
	Vote                                    // requests a vote in Term
	VoteReply                               // granted unless Reject is set
	Append                                  // entries after Index and LogTerm; a heartbeat if there are none
	AppendReply                             // log matches the leader's and is synced up to Match; or Reject with a hint in Match and LogTerm
	InstallSnapshot                         // a chunk of a snapshot, replacing compacted entries
	TimeoutNow                              // start an election immediately
	Hello                                   // a disk that is not a member announces itself
	Promise                                 // a blank disk promises to follow only this founder
	SnapshotReply                           // Match bytes of the snapshot at Index have been received
	FoundingPrepare                         // asks an acceptor to promise to Ballot
	FoundingPromise                         // promised to Ballot, or Reject; Founding is the acceptor's state
	FoundingPropose                         // asks an acceptor to accept the configuration in Founding
	FoundingAccepted                        // accepted what Ballot proposed
	FoundingChosen                          // the configuration in Founding is chosen
)

var messageNames = [...]string{
	"none", "pre_vote", "pre_vote_reply", "vote", "vote_reply", "append", "append_reply",
	"install_snapshot", "timeout_now", "hello", "promise", "snapshot_reply",
	"founding_prepare", "founding_promise", "founding_propose", "founding_accepted", "founding_chosen",
}

// String returns the name used in counters and logs.
func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return fmt.Sprintf("message(%d)", uint8(k))
}

// Message is a message between members. From and To are disk identities, so that
// a message is never accepted by a different disk in the same instance.
type Message struct {
	Kind     MessageKind
	Cluster  string
	From     DiskIdentity
	To       DiskIdentity // empty only in Hello and requests to acceptors
	Term     uint64
	Index    uint64 // index preceding Entries, or the last index of a candidate's log
	LogTerm  uint64 // term of the entry at Index
	Commit   uint64
	Round    uint64 // heartbeat round, or request for votes, that is started or replied to
	Match    uint64
	Reject   bool
	Force    bool // consider the vote despite an active leader, which requested the election
	Entries  []Entry
	Snapshot *Snapshot    // Data holds one chunk
	Offset   uint64       // offset of the chunk in the snapshot, in bytes
	Total    uint64       // size of the snapshot, in bytes
	Sender   Member       // in Hello, Promise and messages about the founding
	Promise  DiskIdentity // in Promise: the founder
	Ballot   Ballot
	Founding foundingState
	Silences []memberSilence // in TimeoutNow
}
