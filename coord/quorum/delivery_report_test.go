package quorum

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

type discardingTransport struct{}

func (discardingTransport) Send(Member, [][]byte)     {}
func (discardingTransport) SendBulk(Member, [][]byte) {}

type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) []byte { return nil }
func (emptyMachine) Snapshot() ([]byte, error)   { return nil, nil }
func (emptyMachine) Restore([]byte) error        { return nil }

// TestLossIsKnownAfterManyReports guards against a member that is sent nothing for many seconds: the
// report that its entries were lost arrives while the core is busy, behind many reports on other
// members, and is dropped.
func TestLossIsKnownAfterManyReports(t *testing.T) {
	g := NewWithT(t)
	n, err := Start(Options{
		Name: "a", Members: []Member{{Name: "a"}}, Disk: wal.NewMemoryFolder(), StateMachine: emptyMachine{}, Transport: discardingTransport{},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer n.Stop()
	g.Eventually(func() bool { return n.Status().IsLeader }).Should(BeTrue())
	lostAt := make(chan uint64, 1)
	added := make(chan struct{})
	resume := make(chan struct{})
	go func() {
		n.coreCalls <- func() {
			n.core.leaderState.progress["b"] = &progress{state: replicating, next: 1, lastResponse: n.core.now}
			n.core.leaderState.progress["c"] = &progress{state: replicating, next: 1, lastResponse: n.core.now}
			close(added)
			<-resume
		}
		n.coreCalls <- func() {}
	}()
	<-added
	for range 1000 {
		n.ReportBulk("b", false)
	}
	n.ReportBulk("c", true)
	n.ReportBulk("c", false)
	close(resume)
	g.Eventually(func() uint64 {
		n.coreCalls <- func() { lostAt <- n.core.leaderState.progress["c"].lostAt }
		return <-lostAt
	}).Should(BeNumerically(">", 0))
}
