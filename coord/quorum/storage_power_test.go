package quorum

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// diskScript uses a disk in every way that a member does and records what it was told to be
// durable.
type diskScript struct {
	folder  *wal.MemoryFolder
	storage *storage

	identity  DiskIdentity // after the first open
	promise   DiskIdentity
	term      uint64
	lastIndex uint64
	snapshot  uint64
	attempted uint64 // last entry given to a write, acknowledged or not
}

// run performs the steps until the first error.
func (d *diskScript) run() error {
	steps := []func() error{
		d.open,
		func() error { return d.writePromise("d0") },
		func() error { return d.append(1, 3) },
		func() error { return d.append(4, 4) },
		func() error { return d.compact(3) },
		func() error { return d.append(5, 5) },
		func() error { return d.append(6, 7) },
		d.reopen,
		func() error { return d.append(8, 8) },
		func() error { return d.install(20) },
		func() error { return d.append(21, 21) },
		func() error { return d.compact(21) },
		func() error { return d.append(22, 22) },
		d.reopen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *diskScript) open() error {
	s, _, err := openStorage(d.folder, "d1", simulatedTail)
	if err != nil {
		return err
	}
	d.storage, d.identity = s, s.identity
	return nil
}

func (d *diskScript) reopen() error {
	if err := d.storage.close(); err != nil {
		return err
	}
	d.storage = nil
	return d.open()
}

func (d *diskScript) writePromise(to DiskIdentity) error {
	if err := d.storage.writePromise(to); err != nil {
		return err
	}
	d.promise = to
	return nil
}

func (d *diskScript) append(first, last uint64) error {
	d.attempted = last
	r := Ready{HardState: &HardState{Term: last, Vote: "d1"}, Entries: sameEntries(first, last, []byte("x"))}
	if err := d.storage.write([]Ready{r}); err != nil {
		return err
	}
	d.lastIndex, d.term = last, last
	return nil
}

func (d *diskScript) compact(index uint64) error {
	s := &Snapshot{Index: index, Term: 1, Data: []byte("state")}
	if err := d.storage.writeSnapshot(s); err != nil {
		return err
	}
	if _, err := d.storage.compact(s); err != nil {
		return err
	}
	d.snapshot = index
	return nil
}

func (d *diskScript) install(index uint64) error {
	d.attempted = index
	if err := d.storage.write([]Ready{{Snapshot: &Snapshot{Index: index, Term: 1, Data: []byte("state")}}}); err != nil {
		return err
	}
	d.lastIndex, d.snapshot = index, index
	return nil
}

// check opens the disk and expects everything that was durable. It returns the error of the
// open, which checks nothing.
func (d *diskScript) check() error {
	s, saved, err := openStorage(d.folder, "d2", simulatedTail)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer func() { _ = s.close() }()
	last := s.entries.lastIndex()
	snapshot := uint64(0)
	if saved.Snapshot != nil {
		snapshot = saved.Snapshot.Index
	}
	switch {
	case d.identity != "" && s.identity != d.identity:
		return errors.New("identity lost")
	case d.promise != "" && s.promise != d.promise:
		return errors.New("promise lost")
	case saved.HardState.Term < d.term:
		return fmt.Errorf("term %d, durable was %d", saved.HardState.Term, d.term)
	case last < d.lastIndex || last > max(d.lastIndex, d.attempted):
		return fmt.Errorf("last entry %d, durable was %d, written %d", last, d.lastIndex, d.attempted)
	case snapshot < d.snapshot:
		return fmt.Errorf("snapshot %d, durable was %d", snapshot, d.snapshot)
	}
	return nil
}

// failAfter makes all operations fail after the first n of them and returns the number of
// operations so far.
func failAfter(folder *wal.MemoryFolder, n int, fault error) (operations *int) {
	operations = new(int)
	folder.SetFault(func(string, string) error {
		*operations++
		if *operations > n {
			return fault
		}
		return nil
	})
	return operations
}

// choices enumerates all sequences of decisions.
type choices struct {
	taken []int // of each decision
	sizes []int // number of options of each decision
	next  int
}

func (c *choices) choose(options int) int {
	if c.next == len(c.taken) {
		c.taken, c.sizes = append(c.taken, 0), append(c.sizes, options)
	}
	c.next++
	return c.taken[c.next-1]
}

// advance selects the next sequence, false after the last one.
func (c *choices) advance() bool {
	c.next = 0
	for i := len(c.taken) - 1; i >= 0; i-- {
		if c.taken[i]+1 < c.sizes[i] {
			c.taken[i]++
			c.taken, c.sizes = c.taken[:i+1], c.sizes[:i+1]
			return true
		}
	}
	return false
}

// writeFates are what may be left of a write of size bytes that was not synced.
var writeFates = []func(size int) (from, to int){
	func(int) (int, int) { return 0, 0 },
	func(size int) (int, int) { return 0, size },
	func(size int) (int, int) { return 0, size / 2 },
	func(size int) (int, int) { return size / 2, size },
}

// losePower lets choose decide the fate of each unsynced change of the disk.
func losePower(folder *wal.MemoryFolder, choose func(options int) int) {
	folder.SetFault(nil)
	isKept := func() bool { return choose(2) == 1 }
	folder.PowerLoss(func(size int) (int, int) { return writeFates[choose(len(writeFates))](size) }, isKept, isKept)
}

var errPowerLoss = errors.New("power loss")

var everyFate = flag.Bool("quorum.every-fate", false, "TestPowerLossAtEveryOperation plays each fate of the second loss")

// TestPowerLossAtEveryOperation guards against a disk that is refused, or loses what was
// durable, after a loss of power at any operation on it, with any fate of each change that
// was not synced: writes, truncations, new, renamed and removed files. A second loss of power
// follows at any operation of the start after the first one, with random fates.
func TestPowerLossAtEveryOperation(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	cases := 0
	for n, done := 0, false; !done; n++ {
		for c := (&choices{}); ; {
			d := &diskScript{folder: wal.NewMemoryFolder()}
			failAfter(d.folder, n, errPowerLoss)
			done = d.run() == nil
			losePower(d.folder, c.choose)
			afterFirst := c.next
			operations := failAfter(d.folder, c.choose(maxStartOperations), errPowerLoss)
			err := d.check()
			if interrupted := *operations > c.taken[afterFirst]; interrupted {
				choose := random.IntN
				if *everyFate {
					choose = c.choose
				}
				losePower(d.folder, choose)
			} else {
				g.Expect(err).NotTo(HaveOccurred(), "loss of power after %d operations, fates %v", n, c.taken)
				g.Expect(*operations).To(BeNumerically("<", maxStartOperations))
				c.sizes[afterFirst] = 0 // the start has no further operation to be interrupted at
			}
			d.folder.SetFault(nil)
			g.Expect(d.check()).To(Succeed(), "loss of power after %d operations, fates %v", n, c.taken)
			cases++
			if !c.advance() {
				break
			}
		}
	}
	t.Logf("%d cases", cases)
}

// maxStartOperations is more than a start needs operations on its disk.
const maxStartOperations = 30

// TestFullDiskAtEveryOperation guards against a disk that is refused as damaged, or loses what
// was durable, because it was full at any operation, during a rotation, a snapshot or a start.
// It is opened again while it is full, as its entry does, and once there is room.
func TestFullDiskAtEveryOperation(t *testing.T) {
	for _, partial := range []bool{false, true} {
		g := NewWithT(t)
		for n, done := 0, false; !done; n++ {
			d := &diskScript{folder: wal.NewMemoryFolder()}
			operations := 0
			d.folder.SetFault(func(operation, _ string) error {
				operations++
				switch {
				case operations <= n:
					return nil
				case operation == "write" && partial:
					return wal.ErrPartialWrite
				case operation == "write" || operation == "create":
					return syscall.ENOSPC
				}
				return nil
			})
			done = d.run() == nil
			if d.storage != nil {
				g.Expect(d.storage.close()).To(Succeed())
			}
			for range 3 {
				var corrupt *wal.CorruptError
				g.Expect(errors.As(d.check(), &corrupt)).To(BeFalse(), "full after %d operations", n)
			}
			d.folder.SetFault(nil)
			g.Expect(d.check()).To(Succeed(), "full after %d operations", n)
		}
	}
}
