package mesh

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// move starts an entry again with its disk at another address.
func (f *testFleet) move(i int) {
	f.entries[i] = f.start(i, listen(f.t))
}

// TestDiskThatReturnsAtAnotherAddressVotes guards against messages and votes that go to the
// address that a voter had when it was added: voters whose addresses change while there is no
// leader elect none any more.
func TestDiskThatReturnsAtAnotherAddressVotes(t *testing.T) {
	for moved := 1; moved <= testMembers; moved++ {
		t.Run(fmt.Sprint(moved), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := newTestFleet(t, testMembers+2)
			f.awaitLeader(g)
			f.founded = true
			f.seeds = append(f.seeds, f.entries[testMembers].options.Address)
			// All voters are away for some time, so there is no leader that replaces one.
			for i := range testMembers {
				f.entries[i].end()
			}
			time.Sleep(time.Second)
			for i := range testMembers {
				if i < moved {
					f.move(i)
					continue
				}
				address := f.entries[i].options.Address
				var l net.Listener
				g.Eventually(func() (err error) {
					l, err = net.Listen("tcp", address)
					return err
				}).WithTimeout(5 * time.Second).Should(Succeed())
				f.entries[i] = f.start(i, l)
			}
			started := time.Now()
			g.Eventually(func() bool {
				for _, e := range f.entries[:testMembers] {
					if e.IsLeader() {
						return true
					}
				}
				return false
			}).WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
			t.Logf("leader after %v", time.Since(started))
			// Each disk hears the leader where it is now.
			g.Eventually(func() int {
				n := 0
				for _, e := range f.entries[:testMembers] {
					if node := e.quorum.currentNode(); node != nil && node.Status().HasQuorum {
						n++
					}
				}
				return n
			}).WithTimeout(10 * time.Second).WithPolling(20 * time.Millisecond).Should(Equal(testMembers))
			t.Logf("all hear it after %v", time.Since(started))
			// An entry without a disk finds the leader.
			f.put(g, f.entries[testMembers], routesDocument(1, 1))
		})
	}
}

// TestOnlyMovedDiskChangesItsAddress guards against messages to a disk that go to another one
// under the same name, and against an older report that arrives last.
func TestOnlyMovedDiskChangesItsAddress(t *testing.T) {
	g := NewWithT(t)
	var d diskAddresses
	member := quorum.Member{Name: "a", Disk: "old", Address: "1"}
	g.Expect(d.current(member)).To(Equal(member))
	d.note(facts{Name: "a", Disk: "new", Address: "2", Incarnation: 2})
	d.note(facts{Name: "a", Address: "3", Incarnation: 3})
	g.Expect(d.current(member)).To(Equal(member))
	d.note(facts{Name: "a", Disk: "old", Address: "4", Incarnation: 4})
	d.note(facts{Name: "a", Disk: "old", Address: "1", Incarnation: 1})
	g.Expect(d.current(member).Address).To(Equal("4"))
	s := quorum.Status{Leader: "a", LeaderAddress: "1", Voters: []quorum.Member{member}}
	g.Expect(d.currentStatus(s).LeaderAddress).To(Equal("4"))
	for i := range 10 * maxDiskAddresses {
		d.note(facts{Disk: quorum.DiskIdentity(fmt.Sprint(i)), Address: "5"})
	}
	g.Expect(len(d.byDisk)).To(BeNumerically("<=", maxDiskAddresses))
}
