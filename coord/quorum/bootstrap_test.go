package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestBootstrapRequiresPromiseFromEveryDisk(t *testing.T) {
	g := NewWithT(t)
	first := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	disk := func(name, disk string) *bootstrap {
		return newBootstrap(Member{Name: name, Disk: DiskIdentity(disk)}, first, "")
	}
	a1, a2, b, c := disk("a", "a1"), disk("a", "a2"), disk("b", "b1"), disk("c", "c1")
	hello := func(f *bootstrap) Message { return f.helloMessages()[0].message }

	fromB, ok := b.stepHello(hello(a1))
	g.Expect(ok).To(BeTrue())
	_, ok = a1.stepPromise(fromB.message)
	g.Expect(ok).To(BeFalse(), "c has not promised")

	_, ok = b.stepHello(hello(a2))
	g.Expect(ok).To(BeFalse(), "b has promised to follow the founder's first disk")
	_, ok = b.stepHello(hello(c))
	g.Expect(ok).To(BeFalse(), "c is not the founder")
	_, ok = a2.stepPromise(fromB.message)
	g.Expect(ok).To(BeFalse(), "the promise is for another disk")

	fromC, ok := c.stepHello(hello(a1))
	g.Expect(ok).To(BeTrue())
	configuration, ok := a1.stepPromise(fromC.message)
	g.Expect(ok).To(BeTrue())
	g.Expect(configuration.Voters).To(HaveLen(3))
}

// TestMajorityMayFound guards against a founder that leaves out members without a majority of
// the promises, or counts those of others.
func TestMajorityMayFound(t *testing.T) {
	g := NewWithT(t)
	first := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	a := newBootstrap(Member{Name: "a", Disk: "a1"}, first, "")
	_, ok := a.majorityConfiguration()
	g.Expect(ok).To(BeFalse())
	a.stepPromise(Message{Kind: Promise, From: "d1", To: "a1", Promise: "a1", Sender: Member{Name: "d", Disk: "d1"}})
	a.stepPromise(Message{Kind: Promise, From: "b1", To: "a2", Promise: "a2", Sender: Member{Name: "b", Disk: "b1"}})
	_, ok = a.majorityConfiguration()
	g.Expect(ok).To(BeFalse(), "d is no initial member, and b has promised to another disk")
	a.stepPromise(Message{Kind: Promise, From: "b1", To: "a1", Promise: "a1", Sender: Member{Name: "b", Disk: "b1"}})
	configuration, ok := a.majorityConfiguration()
	g.Expect(ok).To(BeTrue())
	g.Expect(configuration.Voters).To(HaveLen(2))

	b := newBootstrap(Member{Name: "b", Disk: "b1"}, first, "")
	b.promises = a.promises
	_, ok = b.majorityConfiguration()
	g.Expect(ok).To(BeFalse(), "b is not the founder")
}

// TestPromisedDiskFoundsNoQuorum guards against a second quorum: a disk that has promised to
// follow a founder restarts with initial members of which it is the first.
func TestPromisedDiskFoundsNoQuorum(t *testing.T) {
	g := NewWithT(t)
	b := newBootstrap(Member{Name: "b", Disk: "b1"}, []Member{{Name: "b"}}, "a1")
	_, ok := b.initialConfiguration()
	g.Expect(ok).To(BeFalse())

	alone := newBootstrap(Member{Name: "b", Disk: "b1"}, nil, "")
	_, ok = alone.initialConfiguration()
	g.Expect(ok).To(BeFalse())
	alone.setMembers([]Member{{Name: "b"}})
	_, ok = alone.initialConfiguration()
	g.Expect(ok).To(BeTrue())
}
