package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// fatalReporter reports a violation and ends the test.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// simulation is a cluster of Cores on simulated disks and a simulated network. Its
// methods drive all events, and check looks for violations of the algorithm's
// guarantees after each event.
type simulation struct {
	bytesPerTick int // of CoreConfig
	reporter     fatalReporter
	random       *rand.Rand
	members      []*simulatedMember // one live member for each name
	inFlight     []inFlightMessage
	cutLinks     map[[2]int]bool
	diskCount    int

	committed      map[uint64]Entry        // by index; entries that any member considered committed
	termLeaders    map[uint64]DiskIdentity // leader by term, for election safety
	seenEntries    map[[2]uint64]string    // by index and term; entry and its predecessor's term
	minReadIndex   map[[2]uint64]uint64    // by member and read ID; minimum index of the answer
	answeredReads  int                     // number of answered reads
	snapshotStates map[string]bool         // data of all snapshots taken
}

type inFlightMessage struct {
	from, to int
	data     []byte
}

// simulatedMember is one instance with its disk, which may be replaced.
type simulatedMember struct {
	name       string
	index      int
	core       *Core
	storage    *storage
	folder     *wal.MemoryFolder
	unsynced   []Ready
	bootstrap  *bootstrap
	applied    uint64
	lastTerm   uint64
	lastReadID uint64
}

func newSimulation(f fatalReporter, seed uint64, size int) *simulation {
	s := &simulation{
		reporter: f, random: rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]int]bool{}, committed: map[uint64]Entry{}, termLeaders: map[uint64]DiskIdentity{},
		seenEntries: map[[2]uint64]string{}, minReadIndex: map[[2]uint64]uint64{}, snapshotStates: map[string]bool{},
	}
	var initial []Member
	for i := range size {
		initial = append(initial, Member{Name: fmt.Sprintf("m%d", i), Address: fmt.Sprint(i)})
	}
	for i, m := range initial {
		s.members = append(s.members, &simulatedMember{name: m.Name, index: i})
		s.replaceDisk(i, initial)
	}
	return s
}

// replaceDisk restarts a member with a blank disk.
func (s *simulation) replaceDisk(i int, initial []Member) {
	s.members[i].folder = wal.NewMemoryFolder()
	s.start(i, initial)
}

// simulatedTail limits the tail of short commands by their number, and that of long
// ones and of configurations by their bytes.
var simulatedTail = tailLimits{entries: 4, bytes: 4*entryOverhead + 32}

// start starts a member from the contents of its disk.
func (s *simulation) start(i int, initial []Member) {
	m := s.members[i]
	s.diskCount++
	newIdentity := DiskIdentity(fmt.Sprintf("%s-%04d", m.name, s.diskCount))
	storage, saved, err := openStorage(m.folder, newIdentity, simulatedTail)
	if err != nil {
		s.reporter.Fatalf("start of %s: %v", m.name, err)
		return
	}
	self := Member{Name: m.name, Address: fmt.Sprint(i), Disk: storage.identity}
	m.storage, m.unsynced, m.applied, m.lastTerm = storage, nil, 0, 0
	m.bootstrap = newBootstrap(self, initial, storage.promise)
	m.core = NewCore(CoreConfig{
		Self: storage.identity, HeartbeatTicks: 2, ElectionTicks: 10, JitterTicks: 10,
		MaxMessageBytes: 64, MaxInFlight: 8, BytesPerTick: s.bytesPerTick, TailLength: simulatedTail.entries, TailBytes: simulatedTail.bytes, Rand: s.random,
	}, saved)
	if saved.Snapshot != nil {
		m.applied = saved.Snapshot.Index
	}
}

// bootstrap creates the quorum without the handshake, which has tests of its own.
func (s *simulation) bootstrap() {
	var initial Configuration
	for _, m := range s.members {
		initial.Voters = append(initial.Voters, m.bootstrap.self)
	}
	s.members[0].core.Bootstrap(initial)
	s.handleReady(0)
	s.sync(0, 1)
}

// handleReady carries out the work that a member's Core requests, except for disk
// writes, which wait for sync.
func (s *simulation) handleReady(i int) {
	m := s.members[i]
	r := m.core.Ready()
	s.send(i, r.Messages)
	if r.Sequence > 0 {
		m.unsynced = append(m.unsynced, r)
	}
	if r.Snapshot != nil {
		m.applied = r.Snapshot.Index
		if !s.snapshotStates[string(r.Snapshot.Data)] {
			s.reporter.Fatalf("%s restores a snapshot that no member took", m.name)
		}
	}
	for _, e := range r.Committed {
		if e.Index != m.applied+1 {
			s.reporter.Fatalf("%s applies %d after %d", m.name, e.Index, m.applied)
		}
		m.applied = e.Index
	}
	for _, read := range r.Reads {
		s.checkRead(i, read)
	}
	s.check(i)
}

// send puts messages on the network.
func (s *simulation) send(from int, messages []Message) {
	for _, m := range messages {
		data, err := EncodeMessage(m)
		if err != nil {
			s.reporter.Fatalf("%v", err)
		}
		for to, member := range s.members {
			if member.core.config.Self == m.To && !s.cutLinks[[2]int{from, to}] {
				s.inFlight = append(s.inFlight, inFlightMessage{from, to, data})
			}
		}
	}
}

// deliver delivers the in-flight message at position.
func (s *simulation) deliver(position int) {
	packet := s.inFlight[position]
	s.inFlight = slices.Delete(s.inFlight, position, position+1)
	if s.cutLinks[[2]int{packet.from, packet.to}] {
		return
	}
	m, err := DecodeMessage(packet.data)
	if err != nil {
		s.reporter.Fatalf("%v", err)
	}
	s.members[packet.to].core.Step(m)
	s.handleReady(packet.to)
}

// sync completes the oldest count writes of a member.
func (s *simulation) sync(i, count int) {
	m := s.members[i]
	count = min(count, len(m.unsynced))
	if count == 0 {
		return
	}
	writes := m.unsynced[:count]
	m.unsynced = m.unsynced[count:]
	if err := m.storage.write(writes); err != nil {
		s.reporter.Fatalf("write of %s: %v", m.name, err)
	}
	for _, w := range writes {
		s.send(i, w.AfterSync)
	}
	m.core.Synced(writes[count-1].Sequence)
	s.handleReady(i)
}

func (s *simulation) tick(i int) {
	s.members[i].core.Tick()
	s.handleReady(i)
}

// crash restarts a member, which loses its unsynced writes.
func (s *simulation) crash(i int) {
	s.members[i].folder.Crash(func(int) int { return 0 })
	s.start(i, nil)
	s.check(i)
}

// canLoseDisk reports whether a majority of every configuration in use remains
// without this member's disk. Those before the last committed one are out of use, though
// members that were cut off may still have them, and blank disks have none.
func (s *simulation) canLoseDisk(i int) bool {
	var inUse uint64
	for index, e := range s.committed {
		if e.Kind == EntryConfiguration {
			inUse = max(inUse, index)
		}
	}
	for _, m := range s.members {
		c := m.core.Configuration()
		if n := len(m.core.configurations); inUse > 0 && (n == 0 || m.core.configurations[n-1].index < inUse) {
			continue
		}
		remaining := 0
		for k, other := range s.members {
			if _, ok := c.Voter(other.core.config.Self); ok && k != i {
				remaining++
			}
		}
		if remaining < c.Quorum() {
			return false
		}
	}
	return true
}

// repair announces blank disks to all members and lets the leaders take repair steps.
func (s *simulation) repair() {
	for i, blank := range s.members {
		if _, ok := blank.core.Configuration().Member(blank.core.config.Self); ok {
			continue
		}
		for k, m := range s.members {
			if k == i || s.cutLinks[[2]int{i, k}] {
				continue
			}
			m.core.Step(Message{Kind: Hello, From: blank.core.config.Self, Sender: blank.bootstrap.self})
		}
	}
	for i, m := range s.members {
		unknownPeers := m.core.TakeUnknownPeers()
		if m.core.role != Leader {
			continue
		}
		if change, ok := m.core.nextRepair(unknownPeers); ok {
			_, _, _ = m.core.ChangeMember(change)
			s.handleReady(i)
		}
	}
}

// compact takes a snapshot of a member's applied state and compacts its log.
func (s *simulation) compact(i int) {
	m := s.members[i]
	index := m.applied
	term, ok := m.core.log.term(index)
	if !ok || index == 0 || len(m.unsynced) > 0 {
		return
	}
	var configuration Configuration
	for _, at := range m.core.configurations {
		if at.index <= index {
			configuration = at.configuration
		}
	}
	snapshot := &Snapshot{Index: index, Term: term, Configuration: configuration, Data: s.snapshotData(m, index)}
	if err := m.storage.writeSnapshot(snapshot); err != nil {
		s.reporter.Fatalf("%v", err)
	}
	isNew, err := m.storage.compact(snapshot)
	if err != nil {
		s.reporter.Fatalf("%v", err)
	}
	if isNew {
		m.core.Compact(snapshot)
	}
	s.check(i)
}

// snapshotData returns the data of a snapshot, which needs several messages and
// differs between members and starts.
func (s *simulation) snapshotData(m *simulatedMember, index uint64) []byte {
	state := strings.Repeat(fmt.Sprintf("%s %d %d;", m.name, index, s.diskCount), 60)
	s.snapshotStates[state] = true
	return []byte(state)
}

func (s *simulation) propose(i int, command string) {
	if _, _, err := s.members[i].core.Propose([]byte(command)); err == nil {
		s.handleReady(i)
	}
}

// read starts a read, whose answer must cover all entries committed so far.
func (s *simulation) read(i int) {
	m := s.members[i]
	m.lastReadID++
	if m.core.ReadIndex(m.lastReadID) != nil {
		return
	}
	s.minReadIndex[[2]uint64{uint64(i), m.lastReadID}] = s.lastCommitted()
	s.handleReady(i)
}

func (s *simulation) checkRead(i int, r ReadResult) {
	minIndex := s.minReadIndex[[2]uint64{uint64(i), r.ID}]
	if r.Err != nil {
		return
	}
	s.answeredReads++
	if r.Index < minIndex {
		s.reporter.Fatalf("%s answers a read at %d, though %d was committed before it", s.members[i].name, r.Index, minIndex)
	}
}

func (s *simulation) lastCommitted() uint64 {
	var last uint64
	for index := range s.committed {
		last = max(last, index)
	}
	return last
}

func (s *simulation) leader() (int, bool) {
	newest, found := 0, false
	for i, m := range s.members {
		if m.core.role == Leader && (!found || m.core.Term() > s.members[newest].core.Term()) {
			newest, found = i, true
		}
	}
	return newest, found
}

// settle runs the cluster without faults for the given number of ticks.
func (s *simulation) settle(ticks int) {
	s.cutLinks = map[[2]int]bool{}
	for range ticks {
		for i := range s.members {
			s.tick(i)
		}
		for range 20 {
			for i := range s.members {
				s.sync(i, len(s.members[i].unsynced))
			}
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
		}
		s.repair()
	}
}
