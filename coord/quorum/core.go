package quorum

import "math/rand/v2"

// Role is what a member does in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// CoreConfig is what a Core is made with. Times are in ticks.
type CoreConfig struct {
	Self           DiskIdentity
	HeartbeatTicks int
	ElectionTicks  int // shortest time without a leader before an election
	JitterTicks    int // a random time below this is added
	MaxBytes       int // bytes of entries in one message
	MaxInFlight    int // entries sent to one member and not acknowledged
	TailLength     int // entries kept before a snapshot, for members that are behind
	Rand           *rand.Rand
}

// Saved is what a disk holds: the state that a Core starts from.
type Saved struct {
	HardState HardState
	Snapshot  *Snapshot // nil for none
	BaseIndex uint64    // index and term of the entry before Entries
	BaseTerm  uint64
	Entries   []Entry
}

// Ready is what a Core wants done, in this order: Messages may be sent at once.
// HardState, Snapshot and Entries are written and synced together; then
// AfterSync is sent and Core.Synced called with Sequence. Committed is applied
// at any time.
type Ready struct {
	Messages  []Message
	HardState *HardState
	Snapshot  *Snapshot // replaces the log and the machine's state
	Entries   []Entry   // replace those from the first one's index on
	AfterSync []Message
	Sequence  uint64 // not 0 when there is something to sync
	Committed []Entry
	Reads     []ReadResult
}

// IsEmpty reports whether there is nothing to do.
func (r Ready) IsEmpty() bool {
	return len(r.Messages) == 0 && r.Sequence == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && r.Snapshot == nil
}

// configurationAt is a configuration that has effect from an entry on.
type configurationAt struct {
	index         uint64
	configuration Configuration
}

// write is a batch that was handed to the disk and not reported as synced.
type write struct {
	sequence uint64
	last     uint64 // last index that is on disk after it
	hard     bool   // it holds the hard state
}

// Core is one member of a quorum as a state machine without I/O. It is driven
// by Tick, Step, Propose, ReadIndex, ChangeMember, Transfer, Compact and
// Synced; Ready returns what is to be done. It serves one goroutine.
type Core struct {
	config CoreConfig
	rand   *rand.Rand

	hard     HardState
	log      entryLog
	snapshot *Snapshot
	members  []configurationAt // ascending; the last one has effect

	role    Role
	leader  DiskIdentity // empty when not known
	now     uint64       // ticks since the start
	elapsed int          // ticks since the leader was heard or the election began
	timeout int          // ticks after which the next election begins
	votes   map[DiskIdentity]bool

	commit    uint64
	handed    uint64 // last entry handed to the disk
	synced    uint64 // last entry known to be on disk
	delivered uint64 // last entry handed to the machine
	writes    []write
	sequence  uint64
	hardDirty bool // the hard state waits to be handed to the disk
	install   *Snapshot

	leading   leadership
	incoming  *incoming // nil when no snapshot is on its way here
	messages  []Message
	afterSync []Message
	readsDone []ReadResult
	strangers []Member // senders of Hello that are no members
}

// NewCore returns a follower with what its disk holds.
func NewCore(config CoreConfig, saved Saved) *Core {
	c := &Core{config: config, rand: config.Rand, hard: saved.HardState, snapshot: saved.Snapshot}
	c.log = entryLog{baseIndex: saved.BaseIndex, baseTerm: saved.BaseTerm, entries: saved.Entries}
	if s := saved.Snapshot; s != nil {
		c.members = []configurationAt{{s.Index, s.Configuration}}
		c.commit, c.delivered = s.Index, s.Index
	}
	for _, e := range saved.Entries {
		c.noteConfiguration(e)
	}
	c.handed = c.log.lastIndex()
	c.synced = c.handed
	c.resetTimeout()
	if c.isVoter() {
		// Nobody may lead after all members were stopped together. Where somebody
		// does, the other members refuse the pre-vote.
		c.timeout = c.config.ElectionTicks/startDivisor + c.rand.IntN(c.config.JitterTicks)
	}
	if c.isVoter() && len(c.Configuration().Voters) == 1 {
		c.elapsed = c.timeout
	}
	return c
}

// startDivisor of the election timeout is how long a member that starts waits for
// a leader, plus jitter.
const startDivisor = 4

// Found makes a blank disk the first member of a new quorum. The configuration
// must have the disks of all first members, each of which has promised to
// follow this founder only.
func (c *Core) Found(first Configuration) {
	c.hard = HardState{Term: 1, Cluster: string(c.config.Self)}
	c.hardDirty = true
	c.append(Entry{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(first)})
	c.elapsed = c.timeout
}

// IsBlank reports whether the disk belongs to no quorum yet.
func (c *Core) IsBlank() bool { return c.hard.Cluster == "" }

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Leader returns the leader's disk, empty when it isn't known.
func (c *Core) Leader() DiskIdentity { return c.leader }

// Commit returns the index up to which entries are known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// HasQuorum reports whether a leader was heard within the election timeout, or
// this is a leader whose quorum answered within it.
func (c *Core) HasQuorum() bool {
	return c.role == Leader || (c.leader != "" && c.elapsed < c.config.ElectionTicks)
}

// Configuration returns the members that have effect.
func (c *Core) Configuration() Configuration {
	if len(c.members) == 0 {
		return Configuration{}
	}
	return c.members[len(c.members)-1].configuration
}

// Strangers returns, once, the senders of Hello that are no members.
func (c *Core) Strangers() []Member {
	s := c.strangers
	c.strangers = nil
	return s
}

// Tick tells that one tick of time has passed.
func (c *Core) Tick() {
	c.now++
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.isVoter() {
		c.preCampaign()
	}
}

// append adds entries to the log.
func (c *Core) append(entries ...Entry) {
	c.log.append(entries...)
	for _, e := range entries {
		c.noteConfiguration(e)
	}
}

// truncate drops the entries from index on, which are not committed.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.handed = min(c.handed, index-1)
	c.synced = min(c.synced, index-1)
	for i := range c.writes {
		c.writes[i].last = min(c.writes[i].last, index-1)
	}
	for len(c.members) > 0 && c.members[len(c.members)-1].index >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

func (c *Core) noteConfiguration(e Entry) {
	if e.Kind != EntryConfiguration {
		return
	}
	if len(c.members) > 0 && e.Index <= c.members[len(c.members)-1].index {
		return
	}
	configuration, err := decodeConfiguration(e.Data)
	if err != nil {
		return
	}
	c.members = append(c.members, configurationAt{e.Index, configuration})
}

func (c *Core) isVoter() bool {
	_, ok := c.Configuration().Voter(c.config.Self)
	return ok
}

// isHardStateSynced reports whether term and vote are on disk.
func (c *Core) isHardStateSynced() bool {
	if c.hardDirty {
		return false
	}
	for _, w := range c.writes {
		if w.hard {
			return false
		}
	}
	return true
}

// send sends m at once, or after the disk has the term that m carries.
func (c *Core) send(m Message) {
	m = c.address(m)
	if c.isHardStateSynced() {
		c.messages = append(c.messages, m)
		return
	}
	c.afterSync = append(c.afterSync, m)
}

// sendAfterSync sends m after the disk has everything up to now.
func (c *Core) sendAfterSync(m Message) {
	c.afterSync = append(c.afterSync, c.address(m))
}

func (c *Core) address(m Message) Message {
	m.From = c.config.Self
	m.Cluster = c.hard.Cluster
	return m
}

// self returns this member, with its address for receivers that don't know it.
func (c *Core) self() Member {
	m, _ := c.Configuration().Member(c.config.Self)
	return m
}

// resetTimeout begins a new wait for a leader.
func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.config.ElectionTicks + c.rand.IntN(c.config.JitterTicks)
}

// Unsynced returns how many writes were handed out and not reported as synced.
func (c *Core) Unsynced() int { return len(c.writes) }
