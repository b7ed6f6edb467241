package quorum_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// meteredLink counts the bytes that a member sends to a dark one.
type meteredLink struct {
	link
	dark  string
	bytes *atomic.Int64
}

func (l meteredLink) Send(to quorum.Member, msgs [][]byte) {
	if to.Name == l.dark {
		for _, m := range msgs {
			l.bytes.Add(int64(len(m)))
		}
	}
	l.link.Send(to, msgs)
}

// TestNewLeaderSendsLittleToDarkMember guards against a new leader that sends its last entry
// again and again to a member that doesn't answer: transports queue what can't be sent, and
// configurations of 1 MB fill the memory of the process.
func TestNewLeaderSendsLittleToDarkMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(g, 3, quorum.Options{Seed: 1})
		defer c.stop()
		leader := c.leader(memberNames(c)...)
		time.Sleep(time.Second)
		g.Expect(c.propose(leader, "x")).To(Succeed())
		for _, m := range c.members {
			c.kill(m.Name)
		}
		var sent atomic.Int64
		for _, name := range []string{"m0", "m1"} {
			c.startWith(name, meteredLink{link{c.network, name}, "m2", &sent})
		}
		const commandBytes = 900 << 10
		g.Expect(c.propose(c.leader("m0", "m1"), strings.Repeat("x", commandBytes))).To(Succeed())
		time.Sleep(5 * time.Second)
		t.Logf("%d bytes sent to the dark member in 5 s", sent.Load())
		g.Expect(sent.Load()).To(BeNumerically("<", 10*commandBytes))
	})
}
