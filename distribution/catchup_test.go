package distribution_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// missedChanges is the number of changes that a restarting daemon has missed.
const missedChanges = 500

// newOutdatedStore returns a store that is missedChanges behind, and the author of
// the changes.
func newOutdatedStore(g *WithT, accounts int) (*distribution.Store, *author) {
	a := &author{}
	for range 10 {
		a.publish(accounts)
	}
	s := distribution.NewStore()
	mustApply(g, s, a.register.After(revision.Version{}))
	for range missedChanges {
		a.publish(accounts)
	}
	return s, a
}

// BenchmarkCatchUp compares deltas, snapshots and hash trees for updating a daemon
// that restarts 500 changes behind.
func BenchmarkCatchUp(b *testing.B) {
	for _, accounts := range []int{10, 380, 3800} {
		b.Run(fmt.Sprintf("deltas/accounts=%d", accounts), func(b *testing.B) { benchmarkUpdate(b, accounts, false) })
		b.Run(fmt.Sprintf("snapshot/accounts=%d", accounts), func(b *testing.B) { benchmarkUpdate(b, accounts, true) })
		b.Run(fmt.Sprintf("hash-tree/accounts=%d", accounts), func(b *testing.B) { benchmarkHashTree(b, accounts) })
	}
}

func benchmarkUpdate(b *testing.B, accounts int, snapshot bool) {
	g := NewWithT(b)
	_, a := newOutdatedStore(g, accounts)
	have := revision.Version{Epoch: 1, Revision: 10}
	u := a.register.After(have)
	size := len(u.Document)
	if snapshot {
		u.Document, u.Deltas = a.register.Document, nil
		size = len(u.Document)
	}
	for _, d := range u.Deltas {
		size += len(d.Patch)
	}
	for b.Loop() {
		b.StopTimer()
		s := newCachedStore(g, accounts)
		b.StartTimer()
		mustApply(g, s, u)
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(1, "round-trips")
}

// newCachedStore returns a store in the state restored from the daemon's cache.
func newCachedStore(g *WithT, accounts int) *distribution.Store {
	a := &author{}
	for range 10 {
		a.publish(accounts)
	}
	s := distribution.NewStore()
	mustApply(g, s, a.register.After(revision.Version{}))
	return s
}

// Parameters of the hash tree, whose leaves are the items ordered by name.
const (
	fanOut     = 16
	hashBytes  = 8
	indexBytes = 4
)

// hashTree holds the items of a document and the hashes of each tree level, leaves
// first.
type hashTree struct {
	items  [][]byte
	levels [][][sha256.Size]byte
}

func newHashTree(c *fleet.Configuration) hashTree {
	var t hashTree
	var leaves [][sha256.Size]byte
	for _, account := range c.Accounts {
		text, _ := json.Marshal(account)
		t.items = append(t.items, text)
		leaves = append(leaves, sha256.Sum256(text))
	}
	t.levels = append(t.levels, leaves)
	for len(leaves) > 1 {
		var parents [][sha256.Size]byte
		for i := 0; i < len(leaves); i += fanOut {
			sum := sha256.New()
			for _, leaf := range leaves[i:min(i+fanOut, len(leaves))] {
				sum.Write(leaf[:])
			}
			parents = append(parents, [sha256.Size]byte(sum.Sum(nil)))
		}
		leaves = parents
		t.levels = append(t.levels, leaves)
	}
	return t
}

// benchmarkHashTree compares two trees from the root with one round trip per level,
// and counts the bytes of the hashes and items to send.
func benchmarkHashTree(b *testing.B, accounts int) {
	g := NewWithT(b)
	s, a := newOutdatedStore(g, accounts)
	size, roundTrips := 0, 0
	for b.Loop() {
		size, roundTrips = hashBytes, 1
		local, remote := newHashTree(s.Current()), newHashTree(&a.configuration)
		differing := []int{0}
		for level := len(remote.levels) - 2; level >= 0; level-- {
			var next []int
			roundTrips++
			for _, parent := range differing {
				for i := parent * fanOut; i < min((parent+1)*fanOut, len(remote.levels[level])); i++ {
					size += hashBytes
					if local.levels[level][i] != remote.levels[level][i] {
						next = append(next, i)
					}
				}
			}
			size += indexBytes * len(next)
			differing = next
		}
		roundTrips++
		for _, i := range differing {
			size += len(remote.items[i])
		}
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(float64(roundTrips), "round-trips")
}
