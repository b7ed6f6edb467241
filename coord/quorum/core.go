package quorum

import "math/rand/v2"

// Role is the Raft role of a member in its current term.
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

// CoreConfig configures a Core. Durations are in ticks.
type CoreConfig struct {
	Self            DiskIdentity
	HeartbeatTicks  int
	ElectionTicks   int // minimum time without a leader before an election
	JitterTicks     int // exclusive upper bound of the random jitter added to timeouts
	MaxMessageBytes int // maximum bytes of entries in one message
	MaxInFlight     int // maximum unacknowledged entries per member
	BytesPerTick    int // bytes that a link carries at least; 0: any number
	// ReportsDelivery is set if the transport reports what has arrived or was lost.
	ReportsDelivery bool
	TailLength      int // maximum entries retained before a snapshot, for lagging members
	TailBytes       int // maximum bytes of the retained entries
	Rand            *rand.Rand
}

// PersistedState is the state read from disk from which a Core starts.
type PersistedState struct {
	HardState HardState
	Snapshot  *Snapshot // nil if there is none
	BaseIndex uint64    // index and term of the entry before Entries
	BaseTerm  uint64
	Entries   []Entry
}

// Ready is the pending work of a Core. Messages may be sent immediately.
// HardState, Snapshot and Entries must be written and synced together; then
// AfterSync is sent and Core.Synced is called with Sequence. Committed may be
// applied at any time.
type Ready struct {
	Messages  []Message
	HardState *HardState
	Snapshot  *Snapshot // replaces the log and the state of the state machine
	Entries   []Entry   // replace the log from the index of the first one on
	AfterSync []Message
	Sequence  uint64 // non-zero if there is something to sync
	Committed []Entry
	Reads     []ReadResult
}

// IsEmpty reports whether there is no pending work.
func (r Ready) IsEmpty() bool {
	return len(r.Messages) == 0 && r.Sequence == 0 && len(r.Committed) == 0 && len(r.Reads) == 0 && r.Snapshot == nil
}

// indexedConfiguration is a configuration and the index of the entry from which
// it takes effect.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// pendingWrite is a batch that was submitted to the disk but not yet reported as
// synced.
type pendingWrite struct {
	sequence     uint64
	since        uint64 // tick at which it was submitted
	lastIndex    uint64 // last index on disk once the batch is synced
	hasHardState bool   // the batch includes the hard state
}

// Core is the Raft state machine of one member. It does no I/O. It is driven by
// Tick, Step, Propose, ReadIndex, ChangeMember, Transfer, Compact and Synced;
// Ready returns the pending work. It is not safe for concurrent use.
type Core struct {
	config CoreConfig
	rand   *rand.Rand

	hardState      HardState
	log            entryLog
	snapshot       *Snapshot
	configurations []indexedConfiguration // in ascending order; the last one is in effect

	role    Role
	leader  DiskIdentity // empty if unknown
	now     uint64       // ticks since the start
	elapsed int          // ticks since the last leader message or the start of the election
	timeout int          // value of elapsed at which the next election starts
	// votes are the replies to this member's candidacy in the current term, nil without one.
	votes    map[DiskIdentity]bool
	preVotes map[DiskIdentity]bool // as a pre-candidate

	requests    []voteRequest // that a majority has not replied to, oldest first
	lastRequest uint64        // number of the last one
	// lastVoteRequest is the request of the last attempt, without receiver.
	lastVoteRequest Message
	voteRequestSent uint64 // tick at which it was last sent
	replyTicks      int    // estimate of the time in which a majority replies to a request
	syncTicks       int    // estimate of the time in which a write of this member is synced
	replyWait       int    // ticks of timeout that allow for both
	hasElection     bool   // it waits for the outcome of the election of the current term

	withdrawnRequest uint64          // replies to pre-vote requests up to this number don't count
	lastPreVote      receivedRequest // the last request for a pre-vote that was handled
	yields           int             // elections put off for other candidates since a leader was last heard

	matched     uint64 // last entry known to be that of the leader of matchedTerm
	matchedTerm uint64

	leaderHeard uint64 // tick at which a leader, which may be this member, was last heard
	attempts    int    // elections started since then
	observer    voteObserver

	commit            uint64
	submitted         uint64 // last entry submitted to the disk
	synced            uint64 // last entry known to be on disk
	delivered         uint64 // last entry delivered to the state machine
	pendingWrites     []pendingWrite
	sequence          uint64
	hardStateDirty    bool      // the hard state has changed since it was last submitted
	snapshotToInstall *Snapshot // received snapshot to submit to the disk

	leaderState    leaderState
	inherited      inheritedSilences
	incoming       *incomingSnapshot // nil if no snapshot is being received
	messages       []Message
	afterSync      []Message
	completedReads []ReadResult
	unknownPeers   []Member // senders of Hello that are not members
}

// NewCore returns a follower with the state read from its disk.
func NewCore(config CoreConfig, saved PersistedState) *Core {
	c := &Core{config: config, rand: config.Rand, hardState: saved.HardState, snapshot: saved.Snapshot}
	c.log = entryLog{baseIndex: saved.BaseIndex, baseTerm: saved.BaseTerm, entries: saved.Entries}
	if s := saved.Snapshot; s != nil {
		c.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
		c.commit, c.delivered = s.Index, s.Index
	}
	for _, e := range saved.Entries {
		c.recordConfiguration(e)
	}
	c.submitted = c.log.lastIndex()
	c.synced = c.submitted
	c.resetTimeout()
	if c.isVoter() {
		// If all members were stopped together, there is no leader to wait for. If
		// there is one, the other members reject the pre-vote.
		c.timeout = c.config.ElectionTicks/startupTimeoutDivisor + c.rand.IntN(max(c.config.JitterTicks/startupJitterDivisor, 1))
	}
	if c.isVoter() && len(c.Configuration().Voters) == 1 {
		c.elapsed = c.timeout
	}
	return c
}

// A starting member waits for a leader for these fractions of the election timeout
// and of its jitter.
const (
	startupTimeoutDivisor = 8
	startupJitterDivisor  = 4
)

// Bootstrap initializes a blank disk as the founder of a new quorum. The
// configuration must include the disks of all initial members, each of which has
// promised to follow only this founder.
func (c *Core) Bootstrap(initial Configuration) {
	c.hardState = HardState{Term: 1, Cluster: string(c.config.Self)}
	c.hardStateDirty = true
	c.append(Entry{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(initial)})
	c.elapsed = c.timeout
}

// IsBlank reports whether the disk does not belong to a quorum yet.
func (c *Core) IsBlank() bool { return c.hardState.Cluster == "" }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Leader returns the disk of the leader, or an empty identity if it is unknown.
func (c *Core) Leader() DiskIdentity { return c.leader }

// MayWinTerm reports whether this member leads in the current term or may still be elected in it.
func (c *Core) MayWinTerm() bool { return c.role == Leader || c.votes != nil }

// Commit returns the index of the last entry known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// HasQuorum reports whether a leader sent a message within the election timeout,
// or this member is a leader that received replies from a quorum within it.
func (c *Core) HasQuorum() bool {
	return c.role == Leader || (c.leader != "" && c.elapsed < c.config.ElectionTicks)
}

// Configuration returns the configuration in effect.
func (c *Core) Configuration() Configuration {
	if len(c.configurations) == 0 {
		return Configuration{}
	}
	return c.configurations[len(c.configurations)-1].configuration
}

// TakeUnknownPeers returns and clears the senders of Hello that are not members.
func (c *Core) TakeUnknownPeers() []Member {
	peers := c.unknownPeers
	c.unknownPeers = nil
	return peers
}

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.now++
	c.elapsed++
	c.tickEstimates()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.timeout {
		c.repeatVoteRequest()
		return
	}
	// A member that does not vote, or whose disk is slow, reports no leader that is silent.
	c.leader = ""
	// A request that waits for the sync of the last term would only add to the disk's work.
	if c.isVoter() && c.isHardStateSynced() {
		c.preCampaign()
	}
}

// append appends entries to the log and records the configurations in them.
func (c *Core) append(entries ...Entry) {
	c.log.append(entries...)
	for _, e := range entries {
		c.recordConfiguration(e)
	}
}

// truncate drops the entries from index on, which must not be committed.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.submitted = min(c.submitted, index-1)
	c.synced = min(c.synced, index-1)
	for i := range c.pendingWrites {
		c.pendingWrites[i].lastIndex = min(c.pendingWrites[i].lastIndex, index-1)
	}
	for len(c.configurations) > 0 && c.configurations[len(c.configurations)-1].index >= index {
		c.configurations = c.configurations[:len(c.configurations)-1]
	}
}

func (c *Core) recordConfiguration(e Entry) {
	if e.Kind != EntryConfiguration {
		return
	}
	if len(c.configurations) > 0 && e.Index <= c.configurations[len(c.configurations)-1].index {
		return
	}
	configuration, err := decodeConfiguration(e.Data)
	if err != nil {
		return
	}
	c.configurations = append(c.configurations, indexedConfiguration{e.Index, configuration})
}

func (c *Core) isVoter() bool {
	_, ok := c.Configuration().Voter(c.config.Self)
	return ok
}

// isHardStateSynced reports whether the current term and vote are on disk.
func (c *Core) isHardStateSynced() bool {
	if c.hardStateDirty {
		return false
	}
	for _, w := range c.pendingWrites {
		if w.hasHardState {
			return false
		}
	}
	return true
}

// send queues m for immediate sending, or until after the next sync if the
// current term is not on disk yet.
func (c *Core) send(m Message) {
	m = c.withSource(m)
	if c.isHardStateSynced() {
		c.messages = append(c.messages, m)
		return
	}
	c.afterSync = append(c.afterSync, m)
}

// sendAfterSync queues m until all state changed so far is on disk.
func (c *Core) sendAfterSync(m Message) {
	c.afterSync = append(c.afterSync, c.withSource(m))
}

func (c *Core) withSource(m Message) Message {
	m.From = c.config.Self
	m.Cluster = c.hardState.Cluster
	return m
}

// self returns this member, including its address for receivers that don't know
// it.
func (c *Core) self() Member {
	m, _ := c.Configuration().Member(c.config.Self)
	return m
}

// resetTimeout restarts the election timer with a new random timeout.
func (c *Core) resetTimeout() {
	c.elapsed, c.replyWait, c.hasElection = 0, 0, false
	c.timeout = c.config.ElectionTicks + c.rand.IntN(c.config.JitterTicks)
}

// UnsyncedWrites returns the number of writes submitted but not yet reported as
// synced.
func (c *Core) UnsyncedWrites() int { return len(c.pendingWrites) }
