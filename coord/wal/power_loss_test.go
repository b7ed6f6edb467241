package wal_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// fates are what may be left of a write when power is lost before its sync is complete.
var fates = map[string]func(size int) (from, to int){
	"present":    func(size int) (int, int) { return 0, size },
	"missing":    func(int) (int, int) { return 0, 0 },
	"start kept": func(size int) (int, int) { return 0, size / 2 },
	"end kept":   func(size int) (int, int) { return size / 2, size },
	"inner kept": func(size int) (int, int) { return 1, size - 1 },
}

// TestPowerLossDuringAppend guards against a log that is refused as corrupt, or loses a synced
// batch, because the mark of a batch and the next batch are written between two syncs and
// each of them may survive without the other.
func TestPowerLossDuringAppend(t *testing.T) {
	for markName, mark := range fates {
		for batchName, batch := range fates {
			t.Run(fmt.Sprintf("mark %s, batch %s", markName, batchName), func(t *testing.T) {
				g := NewWithT(t)
				folder, _ := newLog(g, "first", "second")
				_, log, err := openLog(folder)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(log.Append([]byte("third"))).To(Succeed())
				folder.SetFault(func(op, _ string) error {
					if op == "sync" {
						return errors.New("power failure")
					}
					return nil
				})
				g.Expect(log.Append([]byte("fourth"))).NotTo(Succeed())
				folder.SetFault(nil)
				writes := 0
				folder.CrashWrites(func(size int) (int, int) {
					writes++
					return []func(int) (int, int){mark, batch}[writes-1](size)
				})
				g.Expect(writes).To(Equal(2))

				batches, log, err := openLog(folder)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(batches).To(Or(Equal([]string{"first", "second", "third"}), Equal([]string{"first", "second", "third", "fourth"})))
				g.Expect(log.Append([]byte("fifth"))).To(Succeed())
				again, _, err := openLog(folder)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(again).To(Equal(append(batches, "fifth")))
			})
		}
	}
}

// TestBatchesSurvivePowerLosses appends and loses power at random moments: while a batch is
// written or synced, before the next one, and while the log is opened again.
func TestBatchesSurvivePowerLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		folder := wal.NewMemoryFolder()
		log, err := wal.Create(folder, salt, []byte("0"))
		g.Expect(err).NotTo(HaveOccurred())
		acknowledged := []string{"0"}
		powerLoss := func() {
			folder.SetFault(nil)
			folder.CrashWrites(func(size int) (int, int) {
				from := rapid.IntRange(0, size).Draw(t, "from")
				return from, rapid.IntRange(from, size).Draw(t, "to")
			})
			var batches []string
			batches, log, err = openLog(folder)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(batches[:len(acknowledged)]).To(Equal(acknowledged))
			g.Expect(len(batches)).To(BeNumerically("<=", len(acknowledged)+1))
			acknowledged = batches
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			batch := fmt.Sprintf("%d-%s", i, rapid.StringN(0, 50, -1).Draw(t, "batch"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				powerLoss()
			case 1:
				operation := rapid.SampledFrom([]string{"write", "sync"}).Draw(t, "operation")
				folder.SetFault(func(op, _ string) error {
					if op == operation {
						return wal.ErrPartialWrite
					}
					return nil
				})
				g.Expect(log.Append([]byte(batch))).NotTo(Succeed())
				powerLoss()
			default:
				g.Expect(log.Append([]byte(batch))).To(Succeed())
				acknowledged = append(acknowledged, batch)
			}
		}
	})
}
