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

// behind is how many changes the daemon that restarts has missed.
const behind = 500

// restarted returns a store that is behind, and the author of what it missed.
func restarted(g *WithT, accounts int) (*distribution.Store, *author) {
	a := &author{}
	for range 10 {
		a.accept(accounts)
	}
	s := distribution.NewStore()
	apply(g, s, a.register.After(revision.Version{}))
	for range behind {
		a.accept(accounts)
	}
	return s, a
}

// BenchmarkCatchUp compares the ways in which a daemon that restarts 500 changes
// behind can learn what it lacks.
func BenchmarkCatchUp(b *testing.B) {
	for _, accounts := range []int{10, 380, 3800} {
		b.Run(fmt.Sprintf("deltas/accounts=%d", accounts), func(b *testing.B) { catchUp(b, accounts, false) })
		b.Run(fmt.Sprintf("snapshot/accounts=%d", accounts), func(b *testing.B) { catchUp(b, accounts, true) })
		b.Run(fmt.Sprintf("hash-tree/accounts=%d", accounts), func(b *testing.B) { compareTrees(b, accounts) })
	}
}

func catchUp(b *testing.B, accounts int, whole bool) {
	g := NewWithT(b)
	_, a := restarted(g, accounts)
	have := revision.Version{Epoch: 1, Revision: 10}
	u := a.register.After(have)
	size := len(u.Document)
	if whole {
		u.Document, u.Deltas = a.register.Document, nil
		size = len(u.Document)
	}
	for _, d := range u.Deltas {
		size += len(d.Patch)
	}
	for b.Loop() {
		b.StopTimer()
		s := startingAt(g, accounts)
		b.StartTimer()
		apply(g, s, u)
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(1, "round-trips")
}

// startingAt returns a store as the daemon's cache gives it back.
func startingAt(g *WithT, accounts int) *distribution.Store {
	a := &author{}
	for range 10 {
		a.accept(accounts)
	}
	s := distribution.NewStore()
	apply(g, s, a.register.After(revision.Version{}))
	return s
}

// Shape of the hash tree: items are leaves, in order of their names.
const (
	fanOut     = 16
	hashBytes  = 8
	indexBytes = 4
)

// tree is the hashes of a document's items, level by level, leaves first.
type tree struct {
	items  [][]byte
	levels [][][sha256.Size]byte
}

func treeOf(c *fleet.Configuration) tree {
	var t tree
	var leaves [][sha256.Size]byte
	for _, account := range c.Accounts {
		text, _ := json.Marshal(account)
		t.items = append(t.items, text)
		leaves = append(leaves, sha256.Sum256(text))
	}
	t.levels = append(t.levels, leaves)
	for len(leaves) > 1 {
		var above [][sha256.Size]byte
		for i := 0; i < len(leaves); i += fanOut {
			sum := sha256.New()
			for _, leaf := range leaves[i:min(i+fanOut, len(leaves))] {
				sum.Write(leaf[:])
			}
			above = append(above, [sha256.Size]byte(sum.Sum(nil)))
		}
		leaves = above
		t.levels = append(t.levels, leaves)
	}
	return t
}

// compareTrees walks two trees from their roots, a round trip for each level,
// and counts the hashes and items that have to be sent.
func compareTrees(b *testing.B, accounts int) {
	g := NewWithT(b)
	s, a := restarted(g, accounts)
	size, trips := 0, 0
	for b.Loop() {
		size, trips = hashBytes, 1
		mine, theirs := treeOf(s.Current()), treeOf(&a.configuration)
		differ := []int{0}
		for level := len(theirs.levels) - 2; level >= 0; level-- {
			var next []int
			trips++
			for _, parent := range differ {
				for i := parent * fanOut; i < min((parent+1)*fanOut, len(theirs.levels[level])); i++ {
					size += hashBytes
					if mine.levels[level][i] != theirs.levels[level][i] {
						next = append(next, i)
					}
				}
			}
			size += indexBytes * len(next)
			differ = next
		}
		trips++
		for _, i := range differ {
			size += len(theirs.items[i])
		}
	}
	b.ReportMetric(float64(size), "B")
	b.ReportMetric(float64(trips), "round-trips")
}
