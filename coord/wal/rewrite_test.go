package wal_test

import (
	"bytes"
	"errors"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// TestRewriteKeepsLog guards against a log that is damaged by being written again in place, on
// either kind of folder, and against one that a rotation without room has made unusable.
func TestRewriteKeepsLog(t *testing.T) {
	directory, err := wal.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, folder := range map[string]wal.Folder{"directory": directory, "memory": wal.NewMemoryFolder()} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first, second := bytes.Repeat([]byte("1"), 3<<20), bytes.Repeat([]byte("2"), 100)
			log, err := wal.Create(folder, "salt", first)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(log.Append(second)).To(Succeed())
			g.Expect(log.Rewrite()).To(Succeed())
			g.Expect(log.Append([]byte("3"))).To(Succeed())
			g.Expect(log.Close()).To(Succeed())

			log, batches, err := wal.Open(folder, "salt")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(batches).To(Equal([][]byte{first, second, []byte("3")}))
			g.Expect(log.Close()).To(Succeed())
			g.Expect(log.Rewrite()).NotTo(Succeed(), "after Close")
		})
	}
}

func TestRotationWithoutRoomLeavesLogInUse(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync"} {
		g := NewWithT(t)
		folder := wal.NewMemoryFolder()
		log, err := wal.Create(folder, "salt", []byte("1"))
		g.Expect(err).NotTo(HaveOccurred())
		folder.SetFault(func(op, _ string) error {
			if op == operation {
				return syscall.ENOSPC
			}
			return nil
		})
		g.Expect(wal.IsFull(log.Rotate([]byte("2")))).To(BeTrue(), operation)
		folder.SetFault(nil)
		g.Expect(folder.List()).To(HaveLen(1), "no temporary file is left: "+operation)
		g.Expect(log.Append([]byte("3"))).To(Succeed(), operation)
		_, batches, err := wal.Open(folder, "salt")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batches).To(Equal([][]byte{[]byte("1"), []byte("3")}))
	}
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	log, err := wal.Create(folder, "salt", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	folder.SetFault(func(string, string) error { return errors.New("input/output error") })
	g.Expect(log.Rotate([]byte("2"))).NotTo(Succeed())
	folder.SetFault(nil)
	g.Expect(log.Append([]byte("3"))).NotTo(Succeed(), "after a failure of the disk")
}
