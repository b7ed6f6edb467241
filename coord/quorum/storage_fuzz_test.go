package quorum

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// fuzzDisk is a disk whose files have correct checksums and the given contents.
func fuzzDisk(t *testing.T, identity, batch, next, snapshot []byte) wal.Folder {
	t.Helper()
	folder := wal.NewMemoryFolder()
	// The checksums of the others depend on the identity that is read.
	if err := wal.WriteFile(folder, "", identityFile, identity); err != nil {
		t.Fatal(err)
	}
	s := &storage{folder: folder}
	if _, err := s.readIdentity(); err != nil {
		return folder
	}
	log, err := wal.Create(folder, string(s.identity), batch)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(next); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	for _, index := range []uint64{3, 5} {
		if err := wal.WriteFile(folder, string(s.identity), snapshotName(index), snapshot); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// diskFile returns the payload of a file of a disk.
func diskFile(f *testing.F, folder wal.Folder, salt, name string) []byte {
	data, err := wal.ReadFile(folder, salt, name)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzOpenStorage guards against files of a disk, such as those of another version, that end the member
// that reads them, or with which it starts from a state that it doesn't have at its next start.
func FuzzOpenStorage(f *testing.F) {
	folder := wal.NewMemoryFolder()
	s, _, err := openStorage(folder, "d1", simulatedTail)
	if err != nil {
		f.Fatal(err)
	}
	configuration := Configuration{Voters: []Member{{Name: "a", Address: "1", Disk: "d1"}}}
	first := Entry{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(configuration)}
	writes := []Ready{
		{HardState: &HardState{Term: 1, Vote: "d1", Cluster: "c"}, Entries: append([]Entry{first}, sameEntries(2, 5, []byte("x"))...)},
		{Entries: sameEntries(6, 7, []byte("y"))},
	}
	var batches [][]byte
	for _, r := range writes {
		if err := s.write([]Ready{r}); err != nil {
			f.Fatal(err)
		}
		batch, err := s.firstBatch()
		if err != nil {
			f.Fatal(err)
		}
		batches = append(batches, batch)
	}
	saved := &Snapshot{Index: 5, Term: 1, Data: []byte("state"), Configuration: configuration}
	if err := s.writeSnapshot(saved); err != nil {
		f.Fatal(err)
	}
	if _, err := s.compact(saved); err != nil {
		f.Fatal(err)
	}
	compacted, err := s.firstBatch()
	if err != nil {
		f.Fatal(err)
	}
	identity, snapshot := diskFile(f, folder, "", identityFile), diskFile(f, folder, "d1", snapshotName(5))
	f.Add(identity, batches[0], batches[1], snapshot)
	f.Add(identity, batches[1], compacted, snapshot)
	f.Add(identity, compacted, []byte{}, snapshot)
	f.Add([]byte("\x0a\x01x"), []byte{}, []byte{0xff}, []byte{})
	f.Fuzz(func(t *testing.T, identity, batch, next, snapshot []byte) {
		folder := fuzzDisk(t, identity, batch, next, snapshot)
		var starts []PersistedState
		for range 2 {
			s, saved, err := openStorage(folder, "new", simulatedTail)
			if err != nil {
				if len(starts) > 0 {
					t.Errorf("opened once only: %v", err)
				}
				return
			}
			for i, e := range saved.Entries {
				if e.Index != saved.BaseIndex+uint64(i)+1 {
					t.Fatalf("entry %d follows %d", e.Index, saved.BaseIndex+uint64(i))
				}
			}
			starts = append(starts, saved)
			if err := s.log.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if !reflect.DeepEqual(starts[0], starts[1]) {
			t.Errorf("%+v became %+v", starts[0], starts[1])
		}
		for _, e := range starts[0].Entries {
			if checkEntry(e) != nil {
				return
			}
		}
		c := NewCore(CoreConfig{
			Self: "d1", HeartbeatTicks: 2, ElectionTicks: 10, JitterTicks: 10, MaxMessageBytes: 64, MaxInFlight: 8, TailLength: 4, TailBytes: 64,
			Rand: rand.New(rand.NewPCG(1, 1)),
		}, starts[0])
		for range 30 {
			c.Tick()
			c.Ready()
		}
	})
}

// FuzzEncodeMessage guards against a message that its receiver understands otherwise than its sender.
func FuzzEncodeMessage(f *testing.F) {
	configuration := Configuration{Voters: []Member{{Name: "a", Address: "1", Disk: "d1"}}, Learners: []Member{{Name: "b", Replaces: "d0"}}}
	ballot := Ballot{Number: 3, Disk: "d1"}
	for _, m := range []Message{
		{Kind: Append, From: "a", To: "b", Cluster: "c", Term: 2, Index: 1, Entries: []Entry{
			{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("x")},
			{Index: 3, Term: 2, Kind: EntryConfiguration, Data: encodeConfiguration(configuration)},
		}},
		{From: "a", Sender: Member{Name: "a", Address: "1"}, Promise: "d1", Reject: true, Round: 4, Match: 1 << 63},
		{From: "a", Snapshot: &Snapshot{Index: 4, Term: 1, Data: []byte("state"), Configuration: configuration}, Offset: 2, Total: 9},
		{From: "a", Ballot: ballot, Founding: foundingState{promised: ballot, accepted: ballot, decree: newDecree(ballot, configuration)}},
	} {
		data, err := EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		encoded, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeMessage(encoded)
		if err != nil {
			t.Fatal(err)
		}
		// A list without elements and an empty one are the same.
		twice, err := EncodeMessage(again)
		if err != nil || string(twice) != string(encoded) {
			t.Errorf("%+v became %+v: %v", m, again, err)
		}
	})
}
