package mesh

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// damage inverts a byte in the middle of the newest file of an entry's disk whose name
// matches pattern. The entry must have ended.
func (f *testFleet) damage(g *WithT, i int, pattern string) {
	names, err := filepath.Glob(filepath.Join(f.folders[i], pattern))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).NotTo(BeEmpty())
	name := names[len(names)-1]
	data, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	data[len(data)/3] ^= 0xff
	g.Expect(os.WriteFile(name, data, 0o600)).To(Succeed())
}

// files returns the content of the quorum's files on an entry's disk.
func (f *testFleet) files(g *WithT, i int) map[string]string {
	entries, err := os.ReadDir(f.folders[i])
	g.Expect(err).NotTo(HaveOccurred())
	out := map[string]string{}
	for _, e := range entries {
		if e.Type().IsRegular() {
			data, err := os.ReadFile(filepath.Join(f.folders[i], e.Name()))
			g.Expect(err).NotTo(HaveOccurred())
			out[e.Name()] = string(data)
		}
	}
	return out
}

// expectRefused expects that an entry refuses its disk and says why.
func (f *testFleet) expectRefused(g *WithT, i int) {
	g.Eventually(func() DiskState { return f.entries[i].Disk().State }).
		WithTimeout(recoveryTimeout).WithPolling(time.Millisecond).Should(Equal(DiskRefused))
	var corrupt *wal.CorruptError
	g.Expect(errors.As(f.entries[i].Disk().Err, &corrupt)).To(BeTrue())
}

// TestDamagedDiskIsReplaced guards against a member that refuses its damaged disk for good,
// so that the next loss takes the majority.
func TestDamagedDiskIsReplaced(t *testing.T) {
	for _, pattern := range []string{"log-*", "identity"} {
		t.Run(pattern, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(t, testMembers+1)
			f.put(g, f.awaitLeader(g), routesDocument(1, 10))
			f.founded = true
			old := f.voters()[f.entries[1].options.Name]
			f.entries[1].end()
			f.damage(g, 1, pattern)
			f.startAgain(g, 1)
			f.expectVoters(g, 0, 1, 2)
			g.Expect(f.voters()[f.entries[1].options.Name]).NotTo(Equal(old))
			g.Expect(f.entries[1].Disk()).To(Equal(DiskHealth{State: DiskRunning}))

			// The next loss leaves a majority that holds the document.
			f.entries[0].end()
			successor := f.replace(0)
			f.expectVoters(g, 1, 2, successor)
			g.Eventually(func() uint64 { return f.entries[successor].Document().Number }).WithTimeout(recoveryTimeout).Should(Equal(uint64(1)))
		})
	}
}

// TestDamagedDiskIsKeptWithoutMajority guards against the loss of what may be the last copy:
// without a majority elsewhere, a damaged disk isn't emptied.
func TestDamagedDiskIsKeptWithoutMajority(t *testing.T) {
	for name, damaged := range map[string][]int{"one damaged, one away": {1}, "two damaged": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(t, testMembers+1)
			f.put(g, f.awaitLeader(g), routesDocument(1, 10))
			f.endAll()
			before := map[int]map[string]string{}
			for _, i := range damaged {
				f.damage(g, i, "log-*")
				before[i] = f.files(g, i)
			}
			f.startAgain(g, 0)
			f.startAgain(g, testMembers)
			for _, i := range damaged {
				f.startAgain(g, i)
				f.expectRefused(g, i)
			}
			g.Consistently(func() map[string]string {
				for _, i := range damaged {
					if files := f.files(g, i); !maps.Equal(files, before[i]) {
						return files
					}
				}
				return nil
			}).WithTimeout(4 * time.Second).WithPolling(20 * time.Millisecond).Should(BeNil())
			if len(damaged) > 1 {
				return
			}
			f.startAgain(g, 2)
			f.expectVoters(g, 0, 1, 2)
			g.Eventually(func() uint64 { return f.entries[1].Document().Number }).WithTimeout(recoveryTimeout).Should(Equal(uint64(1)))
		})
	}
}
