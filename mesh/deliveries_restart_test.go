package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

// Guards against a new process of an entry that is never told of the endpoints, as an answer to a call
// with the latest updates only comes after the restart is known.
func TestLateAnswerIsNotThatOfNewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		p := m.add("p", answersAfter(stubRoundTrip))
		const before = 10
		m.announceAll(t.Context(), 0, before, time.Millisecond)
		go func() {
			time.Sleep(stubRoundTrip / 2)
			p.mu.Lock()
			p.announcements = 0
			p.mu.Unlock()
			m.memberChanged(membership.Change{After: membership.Record{Name: "p", Address: "p", Incarnation: 2}})
		}()
		m.announceAll(t.Context(), before, 1, 0)
		m.announceAll(t.Context(), before+1, 1, 0)
		g.Expect(p.announcements).To(Equal(before+2), "a new process knows none")
		g.Expect(m.undelivered()).To(BeZero())
	})
}
