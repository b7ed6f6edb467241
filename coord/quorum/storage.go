package quorum

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	quorumv1 "github.com/jacinthplank/jacinthplank/coord/gen/jacinthplank/quorum/v1"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

const (
	identityFile   = "identity"
	snapshotPrefix = "snapshot-"
)

// storage is a member's disk: its identity, its log and one snapshot. Except for
// writeSnapshot it must be used by one goroutine only.
type storage struct {
	folder   wal.Folder
	log      *wal.Log
	identity DiskIdentity
	promise  DiskIdentity

	// Contents of the log on disk, written again when the log is rotated.
	hardState     HardState
	entries       entryLog
	snapshotIndex uint64
	tail          tailLimits
}

// openStorage loads a disk. At its first use it formats the disk with newIdentity.
// Missing or damaged files are an error: a member with such a disk must not vote.
// After an error the caller closes the folder.
func openStorage(folder wal.Folder, newIdentity DiskIdentity, tail tailLimits) (*storage, PersistedState, error) {
	s := &storage{folder: folder, tail: tail}
	saved, err := s.open(newIdentity)
	if err != nil {
		if s.log != nil {
			_ = s.log.Close() // the error of the open is returned
		}
		return nil, PersistedState{}, err
	}
	return s, saved, nil
}

func (s *storage) open(newIdentity DiskIdentity) (PersistedState, error) {
	isReady, err := s.readIdentity()
	if err != nil {
		return PersistedState{}, err
	}
	hasLog, err := wal.Exists(s.folder)
	switch {
	case err != nil:
		return PersistedState{}, err
	case isReady && !hasLog:
		return PersistedState{}, &wal.CorruptError{File: identityFile, Reason: "the disk has an identity file but no log"}
	case s.identity == "" && hasLog:
		return PersistedState{}, &wal.CorruptError{File: identityFile, Reason: "the disk has a log but no identity file"}
	case !isReady:
		return PersistedState{}, s.format(newIdentity)
	}
	return s.load()
}

// readIdentity reads the identity file and reports whether an earlier start
// completed formatting the disk.
func (s *storage) readIdentity() (isReady bool, err error) {
	data, err := wal.ReadFile(s.folder, "", identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var in quorumv1.Identity
	if err := proto.Unmarshal(data, &in); err != nil {
		return false, &wal.CorruptError{File: identityFile, Reason: err.Error()}
	}
	s.identity, s.promise = DiskIdentity(in.GetDisk()), DiskIdentity(in.GetPromise())
	return in.GetReady(), nil
}

// format initializes a blank disk. An identity that is not marked ready comes from
// an interrupted start: the member has promised nothing under it, so it may be
// overwritten.
func (s *storage) format(newIdentity DiskIdentity) error {
	s.identity = newIdentity
	if err := s.writeIdentity(false); err != nil {
		return err
	}
	batch, err := s.firstBatch()
	if err != nil {
		return err
	}
	if s.log, err = wal.Create(s.folder, string(s.identity), batch); err != nil {
		return err
	}
	return s.writeIdentity(true)
}

func (s *storage) writeIdentity(isReady bool) error {
	data, err := proto.Marshal(&quorumv1.Identity{
		Disk: string(s.identity), Promise: string(s.promise), Ready: isReady,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(s.folder, "", identityFile, data)
}

// writePromise persists the promise to follow a founder.
func (s *storage) writePromise(founder DiskIdentity) error {
	s.promise = founder
	return s.writeIdentity(true)
}

func (s *storage) load() (PersistedState, error) {
	if err := wal.RemoveIncomplete(s.folder, snapshotPrefix); err != nil {
		return PersistedState{}, err
	}
	log, batches, err := wal.Open(s.folder, string(s.identity))
	if err != nil {
		return PersistedState{}, err
	}
	s.log = log
	for i, data := range batches {
		if err := s.replay(data); err != nil {
			return PersistedState{}, &wal.CorruptError{File: s.log.Name(), Reason: fmt.Sprintf("batch %d: %v", i, err)}
		}
	}
	// The log may have been written with other limits.
	s.entries.compactTail(s.snapshotIndex, s.entries.lastIndex(), s.tail)
	saved := PersistedState{
		HardState: s.hardState, BaseIndex: s.entries.baseIndex, BaseTerm: s.entries.baseTerm,
		Entries: append([]Entry(nil), s.entries.entries...),
	}
	if s.snapshotIndex > 0 {
		if saved.Snapshot, err = s.readSnapshot(); err != nil {
			return PersistedState{}, err
		}
	}
	return saved, s.renew()
}

// renew writes the log again: a sync may have failed before this start, so what was read may
// not be on disk. On a disk that is too full for a copy the log is written in place. A disk
// without room for a vote is an error, so that its member is silent and gets replaced.
func (s *storage) renew() error {
	// No snapshot is being written: those that the log doesn't refer to are of earlier starts.
	if err := s.removeSnapshotsExcept(func(name string) bool { return name == snapshotName(s.snapshotIndex) }); err != nil {
		return err
	}
	err := s.rotate(s.snapshotIndex)
	if !wal.IsFull(err) {
		return err
	}
	if err := s.log.Rewrite(); err != nil {
		return err
	}
	hardState := s.hardState
	return s.write([]Ready{{HardState: &hardState}})
}

func (s *storage) replay(data []byte) error {
	var batch quorumv1.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return trace.Wrap(err)
	}
	if base := batch.GetBase(); base != nil {
		s.entries.reset(base.GetIndex(), base.GetTerm())
		s.snapshotIndex = base.GetSnapshot()
	}
	if hardState := batch.GetHardState(); hardState != nil {
		s.hardState = HardState{Term: hardState.GetTerm(), Vote: DiskIdentity(hardState.GetVote()), Cluster: hardState.GetCluster()}
	}
	return s.truncateAndAppend(entriesFromProto(batch.GetEntries()))
}

// truncateAndAppend appends entries to the in-memory log, replacing existing entries
// from the same index on.
func (s *storage) truncateAndAppend(entries []Entry) error {
	for _, e := range entries {
		if e.Index > s.entries.lastIndex()+1 || e.Index <= s.entries.baseIndex {
			return trace.BadParameter("quorum: log entry %d does not fit a log that ends at entry %d", e.Index, s.entries.lastIndex())
		}
		if e.Index <= s.entries.lastIndex() {
			s.entries.truncate(e.Index)
		}
		s.entries.append(e)
	}
	return nil
}

// write writes and syncs the contents of Readys with as few syncs as possible.
func (s *storage) write(readys []Ready) error {
	batch := &quorumv1.Batch{}
	isEmpty := true
	for _, r := range readys {
		if r.Snapshot != nil {
			if err := s.installSnapshot(r); err != nil {
				return err
			}
			batch, isEmpty = &quorumv1.Batch{}, true
			continue
		}
		if err := s.truncateAndAppend(r.Entries); err != nil {
			return err
		}
		if r.HardState != nil {
			s.hardState = *r.HardState
			batch.HardState = hardStateToProto(s.hardState)
		}
		batch.Entries = append(batch.Entries, entriesToProto(r.Entries)...)
		isEmpty = isEmpty && r.HardState == nil && len(r.Entries) == 0
	}
	if isEmpty {
		return nil
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.log.Append(data)
}

// installSnapshot writes a snapshot received from the leader, which replaces the
// log.
func (s *storage) installSnapshot(r Ready) error {
	if err := s.writeSnapshot(r.Snapshot); err != nil {
		return err
	}
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	s.entries.reset(r.Snapshot.Index, r.Snapshot.Term)
	if err := s.truncateAndAppend(r.Entries); err != nil {
		return err
	}
	return s.rotate(r.Snapshot.Index)
}

// compact drops the entries covered by snapshot, which must be on disk, except for
// the last ones within the limits. It returns false if snapshot is not newer than the one
// that the log refers to.
func (s *storage) compact(snapshot *Snapshot) (bool, error) {
	if snapshot.Index <= s.snapshotIndex {
		return false, s.removeSnapshots()
	}
	s.entries.compactTail(snapshot.Index, s.entries.lastIndex(), s.tail)
	return true, s.rotate(snapshot.Index)
}

func (s *storage) rotate(snapshotIndex uint64) error {
	s.snapshotIndex = snapshotIndex
	batch, err := s.firstBatch()
	if err != nil {
		return err
	}
	if err := s.log.Rotate(batch); err != nil {
		return err
	}
	return s.removeSnapshots()
}

// isMostlyReplaced reports whether a rotation would halve the log file: entries in it were
// replaced, or the hard state was written often. Snapshots follow committed entries only.
func (s *storage) isMostlyReplaced() bool {
	return int64(entryBytes(s.entries.entries)) < s.log.Size()/2
}

// firstBatch returns the first batch of a new log file: the complete state of the
// log.
func (s *storage) firstBatch() ([]byte, error) {
	data, err := proto.Marshal(&quorumv1.Batch{
		HardState: hardStateToProto(s.hardState),
		Entries:   entriesToProto(s.entries.entries),
		Base: &quorumv1.Base{
			Index: s.entries.baseIndex, Term: s.entries.baseTerm, Snapshot: s.snapshotIndex,
		},
	})
	return data, trace.Wrap(err)
}

// writeSnapshot writes a snapshot file next to the log. The log refers to it only
// after compact or installSnapshot.
func (s *storage) writeSnapshot(snapshot *Snapshot) error {
	data, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return wal.WriteFile(s.folder, string(s.identity), snapshotName(snapshot.Index), data)
}

func (s *storage) readSnapshot() (*Snapshot, error) {
	name := snapshotName(s.snapshotIndex)
	data, err := wal.ReadFile(s.folder, string(s.identity), name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &wal.CorruptError{File: name, Reason: "the snapshot that the log refers to is missing"}
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := decodeSnapshot(data)
	if err != nil {
		return nil, &wal.CorruptError{File: name, Reason: err.Error()}
	}
	return snapshot, nil
}

// removeSnapshots removes complete snapshots older than the one that the log refers
// to. It leaves one that another goroutine is writing.
func (s *storage) removeSnapshots() error {
	return s.removeSnapshotsExcept(func(name string) bool { return name >= snapshotName(s.snapshotIndex) })
}

// removeSnapshotsExcept removes the complete snapshots that isNeeded doesn't name.
func (s *storage) removeSnapshotsExcept(isNeeded func(name string) bool) error {
	names, err := s.folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		isSnapshot := strings.HasPrefix(name, snapshotPrefix) && !wal.IsIncomplete(name)
		if !isSnapshot || isNeeded(name) {
			continue
		}
		if err := s.folder.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *storage) close() error {
	return trace.NewAggregate(s.log.Close(), s.folder.Close())
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func hardStateToProto(h HardState) *quorumv1.HardState {
	return &quorumv1.HardState{Term: h.Term, Vote: string(h.Vote), Cluster: h.Cluster}
}
