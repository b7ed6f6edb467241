package quorum

import (
	"slices"
	"strings"
)

// founding makes the first configuration out of blank disks. The first member
// by name is the founder. Each other one promises, on its disk, to follow one
// founder's disk only, and the founder begins once it has all promises. So a
// founder that lost its disk can't found a second quorum beside the first.
type founding struct {
	self     Member
	members  []Member // first members by name, without disks
	promise  DiskIdentity
	promised map[string]Member // the founder's: who promised, by name
}

// outgoing is a message with its receiver.
type outgoing struct {
	to      Member
	message Message
}

func newFounding(self Member, members []Member, promise DiskIdentity) *founding {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	f := &founding{self: self, members: sorted, promise: promise, promised: map[string]Member{}}
	if f.isFounder() {
		f.promised[self.Name] = self
	}
	return f
}

func (f *founding) isFounder() bool {
	return len(f.members) > 0 && f.members[0].Name == f.self.Name
}

// hellos returns what a blank disk tells the others again and again.
func (f *founding) hellos() []outgoing {
	var out []outgoing
	for _, m := range f.members {
		if m.Name != f.self.Name {
			out = append(out, outgoing{m, Message{Kind: Hello, From: f.self.Disk, Sender: f.self}})
		}
	}
	return out
}

// stepHello answers a founder. The promise in the answer has to be on disk
// before the answer is sent.
func (f *founding) stepHello(m Message) (outgoing, bool) {
	isFromFounder := !f.isFounder() && len(f.members) > 0 && m.Sender.Name == f.members[0].Name
	if !isFromFounder || m.From == "" || (f.promise != "" && f.promise != m.From) {
		return outgoing{}, false
	}
	f.promise = m.From
	reply := Message{Kind: Promise, From: f.self.Disk, To: m.From, Sender: f.self, Promise: m.From}
	return outgoing{m.Sender, reply}, true
}

// stepPromise returns the first configuration once all have promised.
func (f *founding) stepPromise(m Message) (Configuration, bool) {
	isOurs := f.isFounder() && m.Promise == f.self.Disk && m.Sender.Disk == m.From
	isMember := slices.ContainsFunc(f.members, func(o Member) bool { return o.Name == m.Sender.Name })
	if !isOurs || !isMember {
		return Configuration{}, false
	}
	f.promised[m.Sender.Name] = m.Sender
	return f.complete()
}

// complete returns the first configuration when nobody is missing.
func (f *founding) complete() (Configuration, bool) {
	var first Configuration
	for _, m := range f.members {
		promised, ok := f.promised[m.Name]
		if !ok {
			return Configuration{}, false
		}
		promised.Address = m.Address
		first.Voters = append(first.Voters, promised)
	}
	return first, len(first.Voters) > 0
}
