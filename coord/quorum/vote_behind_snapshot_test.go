package quorum_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// TestVotesDontWaitForSnapshots guards against an election that waits until the voters have
// written their snapshots: a vote is synced behind entries that wait for the snapshot in progress.
func TestVotesDontWaitForSnapshots(t *testing.T) {
	const snapshotTime = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := &cluster{
			g:        g,
			network:  &network{nodes: map[string]*quorum.Node{}, cutLinks: map[[2]string]bool{}, frozen: map[string]bool{}},
			disks:    map[string]wal.Folder{},
			machines: map[string]*register{},
			options:  quorum.Options{Seed: 1, LogBytes: 16 << 10},
		}
		for i := range 3 {
			name := fmt.Sprintf("m%d", i)
			c.members = append(c.members, quorum.Member{Name: name, Address: "addr-" + name})
			c.disks[name] = slowSnapshots{c.newSlowDisk(), snapshotTime}
		}
		for _, m := range c.members {
			c.start(m.Name)
		}
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		proposed := 0
		for ctx.Err() == nil {
			if _, err := c.node(leader).Propose(ctx, bytes.Repeat([]byte("x"), 1000)); err == nil {
				proposed++
			}
		}
		c.network.isolate(leader, true)
		lostAt := time.Now()
		others := c.others(leader)
		c.leader(others...)
		t.Logf("%d commands, next leader after %v", proposed, time.Since(lostAt))
		g.Expect(time.Since(lostAt)).To(BeNumerically("<=", 2*time.Second))
	})
}
