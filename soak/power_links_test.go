package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLinksOfEntryWithoutPower guards against connections of an entry without power that end, which
// would tell the others of its loss, and against ones that outlive it.
func TestLinksOfEntryWithoutPower(t *testing.T) {
	g := NewWithT(t)
	ip := func(n byte) string { return net.IPv4(127, byte(1+os.Getpid()%254), 252, n).String() } // of no fleet
	caller, callee, front := ip(1), ip(2), ip(3)
	server, err := net.Listen("tcp", (&process{ip: callee}).address(peerPort))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l := newLinks()
	defer l.close()
	g.Expect(l.listen(front, callee)).To(Succeed())
	dial := func() net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
		c, err := dialer.Dial("tcp", (&process{ip: front}).address(peerPort))
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	exchange := func(c net.Conn) error {
		if err := c.SetDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			return err
		}
		if _, err := c.Write([]byte("a")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	c := dial()
	g.Expect(exchange(c)).To(Succeed())

	l.darken(callee)
	g.Expect((<-accepted).Close()).To(Succeed()) // as the kernel does for a process that is killed
	g.Expect(exchange(c)).To(MatchError(os.ErrDeadlineExceeded))
	other := dial() // the proxy accepts it
	g.Expect(exchange(other)).To(MatchError(os.ErrDeadlineExceeded))

	l.lighten(callee)
	g.Eventually(func() error { return exchange(c) }).Should(Satisfy(func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }))
	g.Expect(exchange(dial())).To(Succeed())
}
