package powerloss_test

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/wal"
	"github.com/jacinthplank/jacinthplank/coord/wal/powerloss"
)

// fate returns one that keeps the same part of each write and all or no names and truncations.
func fate(from, to func(size int64) int64, keep bool) powerloss.Fate {
	either := func() bool { return keep }
	return powerloss.Fate{Name: either, Truncation: either, Write: func(size int64) (int64, int64) { return from(size), to(size) }}
}

func none(int64) int64       { return 0 }
func half(size int64) int64  { return size / 2 }
func whole(size int64) int64 { return size }
func write(f wal.File, s string) error {
	_, err := f.Write([]byte(s))
	return err
}

var (
	allKept = fate(none, whole, true)
	allLost = fate(none, none, false)
)

func open(t *testing.T, path string) wal.Folder {
	t.Helper()
	folder, err := powerloss.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// content returns all files by name, as a process that starts reads them.
func content(t *testing.T, path string) map[string]string {
	t.Helper()
	folder := open(t, path)
	defer func() { _ = folder.Close() }()
	return contentOf(t, folder)
}

func contentOf(t interface{ Fatal(...any) }, folder wal.Folder) map[string]string {
	names, err := folder.List()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, name := range names {
		data, err := folder.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = string(data)
	}
	return out
}

// TestLossOfPower guards against a loss of power that takes what was synced, or leaves what no disk
// leaves. Each case begins with a synced file "a" with the content "synced".
func TestLossOfPower(t *testing.T) {
	for name, c := range map[string]struct {
		change func(g Gomega, folder wal.Folder, a wal.File)
		fate   powerloss.Fate
		want   map[string]string
	}{
		"a write is lost": {
			func(g Gomega, _ wal.Folder, a wal.File) { g.Expect(write(a, "12")).To(Succeed()) },
			allLost,
			map[string]string{"a": "synced"},
		},
		"a write is kept": {
			func(g Gomega, _ wal.Folder, a wal.File) { g.Expect(write(a, "12")).To(Succeed()) },
			allKept,
			map[string]string{"a": "synced12"},
		},
		"the end of a write is kept": {
			func(g Gomega, _ wal.Folder, a wal.File) { g.Expect(write(a, "1234")).To(Succeed()) },
			fate(half, whole, false),
			map[string]string{"a": "synced\x00\x0034"},
		},
		"a synced write stays": {
			func(g Gomega, _ wal.Folder, a wal.File) {
				g.Expect(write(a, "12")).To(Succeed())
				g.Expect(a.Sync()).To(Succeed())
				g.Expect(write(a, "34")).To(Succeed())
			},
			allLost,
			map[string]string{"a": "synced12"},
		},
		"a truncation is lost": {
			func(g Gomega, _ wal.Folder, a wal.File) { g.Expect(a.Truncate(2)).To(Succeed()) },
			allLost,
			map[string]string{"a": "synced"},
		},
		"a truncation is kept": {
			func(g Gomega, _ wal.Folder, a wal.File) { g.Expect(a.Truncate(2)).To(Succeed()) },
			allKept,
			map[string]string{"a": "sy"},
		},
		"a write after a truncation that is lost": {
			func(g Gomega, _ wal.Folder, a wal.File) {
				g.Expect(a.Truncate(2)).To(Succeed())
				g.Expect(write(a, "12")).To(Succeed())
			},
			fate(none, whole, false),
			map[string]string{"a": "sy12ed"},
		},
		"a new file is lost": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				b, err := folder.Create("b")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(b, "12")).To(Succeed())
			},
			allLost,
			map[string]string{"a": "synced"},
		},
		"a new file that was synced stays": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				b, err := folder.Create("b")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(b, "12")).To(Succeed())
				g.Expect(b.Sync()).To(Succeed())
			},
			allLost,
			map[string]string{"a": "synced", "b": "12"},
		},
		"a removal is lost": {
			func(g Gomega, folder wal.Folder, _ wal.File) { g.Expect(folder.Remove("a")).To(Succeed()) },
			allLost,
			map[string]string{"a": "synced"},
		},
		"a removal is kept": {
			func(g Gomega, folder wal.Folder, _ wal.File) { g.Expect(folder.Remove("a")).To(Succeed()) },
			allKept,
			map[string]string{},
		},
		"a rename is kept": {
			func(g Gomega, folder wal.Folder, _ wal.File) { g.Expect(folder.Rename("a", "b")).To(Succeed()) },
			allKept,
			map[string]string{"b": "synced"},
		},
		"a removal stays once the folder was synced": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				g.Expect(folder.Remove("a")).To(Succeed())
				g.Expect(folder.Sync()).To(Succeed())
			},
			allLost,
			map[string]string{},
		},
		"a replacement by rename is lost": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				b, err := folder.Create("b")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(b, "12")).To(Succeed())
				g.Expect(b.Sync()).To(Succeed())
				g.Expect(folder.Rename("b", "a")).To(Succeed())
			},
			allLost,
			map[string]string{"a": "synced", "b": "12"},
		},
		"a replacement by rename stays once the folder was synced": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				b, err := folder.Create("b")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(b, "12")).To(Succeed())
				g.Expect(b.Sync()).To(Succeed())
				g.Expect(folder.Rename("b", "a")).To(Succeed())
				g.Expect(folder.Sync()).To(Succeed())
			},
			allLost,
			map[string]string{"a": "12"},
		},
		"a file that is created anew is lost": {
			func(g Gomega, folder wal.Folder, _ wal.File) {
				b, err := folder.Create("a")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(b, "12")).To(Succeed())
			},
			allLost,
			map[string]string{"a": "synced"},
		},
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted before: %t", name, restarted), func(t *testing.T) {
				g := NewWithT(t)
				path := t.TempDir()
				folder := open(t, path)
				a, err := folder.Create("a")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(write(a, "synced")).To(Succeed())
				g.Expect(a.Sync()).To(Succeed())
				g.Expect(folder.Sync()).To(Succeed())
				c.change(g, folder, a)
				want := contentOf(t, folder)
				g.Expect(folder.Close()).To(Succeed())
				if restarted {
					// What is not synced survives the process, and may be lost later.
					g.Expect(content(t, path)).To(Equal(want))
				}
				_, err = powerloss.Apply(path, c.fate)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(content(t, path)).To(Equal(c.want))
			})
		}
	}
}

// TestKillDuringChange guards against a record that no longer fits the files when the process is killed
// after it was written and before the change was made.
func TestKillDuringChange(t *testing.T) {
	for name, undo := range map[string]func(path string) error{
		"write":  func(path string) error { return os.Truncate(filepath.Join(path, "a"), 6) },
		"part":   func(path string) error { return os.Truncate(filepath.Join(path, "a"), 7) },
		"create": func(path string) error { return os.Remove(filepath.Join(path, "b")) },
		"record": func(path string) error {
			f, err := os.OpenFile(filepath.Join(path, "unsynced", "journal"), os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				return err
			}
			_, err = f.WriteString(`{"Last":`)
			return errors.Join(err, f.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := t.TempDir()
			folder := open(t, path)
			a, err := folder.Create("a")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(write(a, "synced")).To(Succeed())
			g.Expect(a.Sync()).To(Succeed())
			g.Expect(folder.Sync()).To(Succeed())
			g.Expect(write(a, "12")).To(Succeed())
			_, err = folder.Create("b")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(folder.Close()).To(Succeed())
			g.Expect(undo(path)).To(Succeed())
			_, err = powerloss.Apply(path, allLost)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(content(t, path)).To(Equal(map[string]string{"a": "synced"}))
		})
	}
}

// TestKillBeforeNameChange guards against a folder that has other names than its record after a kill
// without a loss of power.
func TestKillBeforeNameChange(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	folder := open(t, path)
	for _, name := range []string{"created", "removed", "renamed"} {
		f, err := folder.Create(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(write(f, name)).To(Succeed())
		g.Expect(f.Sync()).To(Succeed())
	}
	g.Expect(folder.Remove("removed")).To(Succeed())
	g.Expect(folder.Rename("renamed", "new")).To(Succeed())
	g.Expect(folder.Close()).To(Succeed())

	g.Expect(os.Remove(filepath.Join(path, "created"))).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(path, "removed"), nil, 0o600)).To(Succeed())
	g.Expect(os.Rename(filepath.Join(path, "new"), filepath.Join(path, "renamed"))).To(Succeed())
	g.Expect(content(t, path)).To(Equal(map[string]string{"created": "created", "new": "renamed"}))
}

// TestLogSurvivesLossesOfPower guards against a record that makes package wal lose a batch, over
// rotations, kills and losses of power in turn.
func TestLogSurvivesLossesOfPower(t *testing.T) {
	root := t.TempDir()
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		runs++
		path := filepath.Join(root, fmt.Sprint(runs))
		folder, err := powerloss.OpenFolder(path)
		g.Expect(err).NotTo(HaveOccurred())
		log, err := wal.Create(folder, "salt", []byte("0"))
		g.Expect(err).NotTo(HaveOccurred())
		acknowledged := []string{"0"}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			batch := fmt.Sprintf("batch %d", i)
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); action {
			case 0, 1:
				g.Expect(log.Close()).To(Succeed())
				g.Expect(folder.Close()).To(Succeed())
				if action == 0 {
					_, err = powerloss.Apply(path, powerloss.RandomFate(random))
					g.Expect(err).NotTo(HaveOccurred())
				}
				folder, err = powerloss.OpenFolder(path)
				g.Expect(err).NotTo(HaveOccurred())
				var batches [][]byte
				log, batches, err = wal.Open(folder, "salt")
				g.Expect(err).NotTo(HaveOccurred())
				var got []string
				for _, b := range batches {
					got = append(got, string(b))
				}
				g.Expect(got).To(Equal(acknowledged))
			case 2:
				g.Expect(log.Rotate([]byte(batch))).To(Succeed())
				acknowledged = []string{batch}
			default:
				g.Expect(log.Append([]byte(batch))).To(Succeed())
				acknowledged = append(acknowledged, batch)
			}
		}
		g.Expect(log.Close()).To(Succeed())
		g.Expect(folder.Close()).To(Succeed())
	})
}

// TestFolderWithoutRecord guards against files that are lost though they were there before the first
// recorded start, and against an error for a disk that was wiped.
func TestFolderWithoutRecord(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(path, "old"), []byte("synced"), 0o600)).To(Succeed())
	folder := open(t, path)
	g.Expect(folder.Close()).To(Succeed())
	_, err := powerloss.Apply(path, allLost)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content(t, path)).To(Equal(map[string]string{"old": "synced"}))

	g.Expect(os.RemoveAll(path)).To(Succeed())
	_, err = powerloss.Apply(path, allLost)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = os.Stat(path)
	g.Expect(err).To(MatchError(fs.ErrNotExist))
}
