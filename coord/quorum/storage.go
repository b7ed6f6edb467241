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

// storage is a member's disk: its identity, its log and one snapshot. It serves
// one goroutine, but for writeSnapshot.
type storage struct {
	folder   wal.Folder
	log      *wal.Log
	identity DiskIdentity
	promise  DiskIdentity

	// What the log on disk holds, to be written again when it is rotated.
	hard     HardState
	entries  entryLog
	snapshot uint64
	tail     int // entries kept before a snapshot
}

// openStorage reads a disk, or makes it a blank one with the identity fresh at
// its first use. Lost or damaged files are an error: such a disk must not vote.
func openStorage(folder wal.Folder, fresh DiskIdentity, tail int) (*storage, Saved, error) {
	s := &storage{folder: folder, tail: tail}
	isReady, err := s.readIdentity()
	if err != nil {
		return nil, Saved{}, err
	}
	hasLog, err := wal.Exists(folder)
	switch {
	case err != nil:
		return nil, Saved{}, err
	case isReady && !hasLog:
		return nil, Saved{}, &wal.CorruptError{File: identityFile, Reason: "the log of this disk is missing"}
	case s.identity == "" && hasLog:
		return nil, Saved{}, &wal.CorruptError{File: identityFile, Reason: "the identity of this disk is missing"}
	case !isReady:
		return s, Saved{}, s.format(fresh)
	}
	saved, err := s.read()
	return s, saved, err
}

// readIdentity reports whether the disk was made ready by an earlier start.
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
		return false, trace.Wrap(err)
	}
	s.identity, s.promise = DiskIdentity(in.GetDisk()), DiskIdentity(in.GetPromise())
	return in.GetReady(), nil
}

// format makes a blank disk. An identity without a log is a start that was cut
// off: nothing was promised by it yet.
func (s *storage) format(fresh DiskIdentity) error {
	s.identity = fresh
	if err := s.writeIdentity(false); err != nil {
		return err
	}
	first, err := s.firstBatch()
	if err != nil {
		return err
	}
	if s.log, err = wal.Create(s.folder, string(s.identity), first); err != nil {
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

// writePromise makes the promise to a founder last.
func (s *storage) writePromise(founder DiskIdentity) error {
	s.promise = founder
	return s.writeIdentity(true)
}

func (s *storage) read() (Saved, error) {
	log, batches, err := wal.Open(s.folder, string(s.identity))
	if err != nil {
		return Saved{}, err
	}
	s.log = log
	for i, data := range batches {
		if err := s.replay(i, data); err != nil {
			return Saved{}, err
		}
	}
	saved := Saved{
		HardState: s.hard, BaseIndex: s.entries.baseIndex, BaseTerm: s.entries.baseTerm,
		Entries: append([]Entry(nil), s.entries.entries...),
	}
	if s.snapshot > 0 {
		if saved.Snapshot, err = s.readSnapshot(); err != nil {
			return Saved{}, err
		}
	}
	// A sync may have failed before this start: what was read need not be on
	// disk, so that it is written anew.
	return saved, s.rotate(s.snapshot)
}

func (s *storage) replay(i int, data []byte) error {
	var batch quorumv1.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return trace.Wrap(err, "quorum: batch %d of the log", i)
	}
	if base := batch.GetBase(); base != nil {
		s.entries.reset(base.GetIndex(), base.GetTerm())
		s.snapshot = base.GetSnapshot()
	}
	if hard := batch.GetHardState(); hard != nil {
		s.hard = HardState{Term: hard.GetTerm(), Vote: DiskIdentity(hard.GetVote()), Cluster: hard.GetCluster()}
	}
	return s.keep(entriesFromProto(batch.GetEntries()))
}

// keep puts entries in place of those from their indexes on.
func (s *storage) keep(entries []Entry) error {
	for _, e := range entries {
		if e.Index > s.entries.lastIndex()+1 || e.Index <= s.entries.baseIndex {
			return trace.BadParameter("quorum: entry %d follows %d in the log", e.Index, s.entries.lastIndex())
		}
		if e.Index <= s.entries.lastIndex() {
			s.entries.truncate(e.Index)
		}
		s.entries.append(e)
	}
	return nil
}

// write writes and syncs what Readys ask for, in as few syncs as can be.
func (s *storage) write(readys []Ready) error {
	batch := &quorumv1.Batch{}
	isEmpty := true
	for _, r := range readys {
		if r.Snapshot != nil {
			if err := s.install(r); err != nil {
				return err
			}
			batch, isEmpty = &quorumv1.Batch{}, true
			continue
		}
		if err := s.keep(r.Entries); err != nil {
			return err
		}
		if r.HardState != nil {
			s.hard = *r.HardState
			batch.HardState = hardStateToProto(s.hard)
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

// install writes a leader's snapshot, which replaces the log.
func (s *storage) install(r Ready) error {
	if err := s.writeSnapshot(r.Snapshot); err != nil {
		return err
	}
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	s.entries.reset(r.Snapshot.Index, r.Snapshot.Term)
	if err := s.keep(r.Entries); err != nil {
		return err
	}
	return s.rotate(r.Snapshot.Index)
}

// compact drops the entries that the snapshot, which is on disk, holds. It
// reports false for a snapshot that is older than the log's.
func (s *storage) compact(snapshot *Snapshot) (bool, error) {
	if snapshot.Index <= s.snapshot {
		return false, nil
	}
	if snapshot.Index > uint64(s.tail) {
		s.entries.compact(min(snapshot.Index-uint64(s.tail), s.entries.lastIndex()))
	}
	return true, s.rotate(snapshot.Index)
}

func (s *storage) rotate(snapshot uint64) error {
	s.snapshot = snapshot
	first, err := s.firstBatch()
	if err != nil {
		return err
	}
	if err := s.log.Rotate(first); err != nil {
		return err
	}
	return s.removeSnapshots()
}

// firstBatch returns a batch that holds the whole state of the log.
func (s *storage) firstBatch() ([]byte, error) {
	data, err := proto.Marshal(&quorumv1.Batch{
		HardState: hardStateToProto(s.hard),
		Entries:   entriesToProto(s.entries.entries),
		Base: &quorumv1.Base{
			Index: s.entries.baseIndex, Term: s.entries.baseTerm, Snapshot: s.snapshot,
		},
	})
	return data, trace.Wrap(err)
}

// writeSnapshot writes a snapshot file beside the log. The log refers to it
// only after compact or install.
func (s *storage) writeSnapshot(snapshot *Snapshot) error {
	data, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	return wal.WriteFile(s.folder, string(s.identity), snapshotName(snapshot.Index), data)
}

func (s *storage) readSnapshot() (*Snapshot, error) {
	name := snapshotName(s.snapshot)
	data, err := wal.ReadFile(s.folder, string(s.identity), name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &wal.CorruptError{File: name, Reason: "the log refers to it and it is missing"}
	}
	if err != nil {
		return nil, err
	}
	return decodeSnapshot(data)
}

// removeSnapshots removes snapshots that are older than the log's.
func (s *storage) removeSnapshots() error {
	names, err := s.folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		isSnapshot := strings.HasPrefix(name, snapshotPrefix)
		if !isSnapshot || name >= snapshotName(s.snapshot) {
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
