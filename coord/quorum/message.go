package quorum

import "fmt"

// EntryKind is what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand       EntryKind = iota + 1 // a command for the machine
	EntryEmpty                              // the first entry of a leader's term
	EntryConfiguration                      // a Configuration
)

// Entry is an entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a member must not forget beside the entries.
type HardState struct {
	Term    uint64
	Vote    DiskIdentity // whom it voted for in Term
	Cluster string       // the quorum that it belongs to; empty on a blank disk
}

// Snapshot is the state of the machine after the entry at Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// MessageKind is what a message says.
type MessageKind uint8

// Kinds of messages.
const (
	PreVote         MessageKind = iota + 1 // would you vote for me in Term?
	PreVoteReply                           // Reject tells
	Vote                                   // vote for me in Term
	VoteReply                              // Reject tells
	Append                                 // entries after Index and LogTerm; a heartbeat when there are none
	AppendReply                            // the log is the leader's up to Match, synced; or Reject with a hint in Match and LogTerm
	InstallSnapshot                        // a piece of a snapshot, in place of entries that are gone
	TimeoutNow                             // start an election at once
	Hello                                  // a blank disk tells of itself
	Promise                                // a blank disk will follow this founder only
	SnapshotReply                          // Match bytes of the snapshot at Index were received
)

var messageNames = [...]string{
	"none", "pre_vote", "pre_vote_reply", "vote", "vote_reply", "append", "append_reply",
	"install_snapshot", "timeout_now", "hello", "promise", "snapshot_reply",
}

// String returns the name used in counters and logs.
func (k MessageKind) String() string {
	if int(k) < len(messageNames) {
		return messageNames[k]
	}
	return fmt.Sprintf("message(%d)", uint8(k))
}

// Message is what members send to each other. From and To are disks, so that a
// message never reaches another disk in the same instance.
type Message struct {
	Kind     MessageKind
	Cluster  string
	From     DiskIdentity
	To       DiskIdentity // empty in Hello only
	Term     uint64
	Index    uint64 // index before the entries, or the last of a candidate's log
	LogTerm  uint64 // term of the entry at Index
	Commit   uint64
	Round    uint64 // heartbeat round that is confirmed or asked for
	Match    uint64
	Reject   bool
	Force    bool // vote though a leader is alive: it asked for the election
	Entries  []Entry
	Snapshot *Snapshot    // its Data is the piece
	Offset   uint64       // bytes of the snapshot before the piece
	Total    uint64       // bytes of the snapshot
	Sender   Member       // in Hello and Promise
	Promise  DiskIdentity // in Promise: the founder
}
