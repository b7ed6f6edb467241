package mesh

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// fullBacklog listens without accepting, and fills the queue of the kernel: handshakes of further
// connections get no answer, as with a machine that is dark. It returns the address and a
// function that ends it.
func fullBacklog(t *testing.T) (address string, end func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	var queued []net.Conn
	for range 20 {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address, func() {
				for _, conn := range queued {
					_ = conn.Close() // nothing was sent
				}
				_ = syscall.Close(fd) // the address is used again
			}
		}
		queued = append(queued, conn)
	}
	t.Fatal("the kernel answers handshakes although the queue is full")
	return "", nil
}

// TestMemberIsReachedAfterHandshakesHung guards against votes that don't reach a member that is
// back, as calls still wait for the handshakes of the time before.
func TestMemberIsReachedAfterHandshakesHung(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	address, end := fullBacklog(t)
	m := idleMesh("a", nil)
	t.Cleanup(m.Stop)
	to := quorum.Member{Name: "b", Address: address, Disk: "d"}
	vote := func(term uint64) string {
		data, err := quorum.EncodeMessage(quorum.Message{Kind: quorum.Vote, From: "a", To: "d", Cluster: "c", Term: term})
		g.Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	send := func(messages ...string) {
		for _, message := range messages {
			m.transport.Send(to, [][]byte{[]byte(message)})
		}
	}
	for range 50 {
		send("heartbeat", vote(1))
		time.Sleep(100 * time.Millisecond)
	}
	end()
	var l net.Listener
	g.Eventually(func() (err error) {
		l, err = net.Listen("tcp", address)
		return err
	}).WithTimeout(5 * time.Second).WithPolling(10 * time.Millisecond).Should(Succeed())
	stub := serveQuorumStub(t, l)
	back := time.Now()
	send(vote(2))
	g.Eventually(func() bool { send("after"); return stub.has(vote(2)) && stub.has("after") }).
		WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
	t.Logf("reached after %v", time.Since(back))
	g.Expect(time.Since(back)).To(BeNumerically("<", healedWithin))
}
