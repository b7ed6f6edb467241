package quorum

import (
	"slices"
	"strings"
)

// bootstrap forms the initial configuration from blank disks. The first member by
// name is the founder. Each other member persists a promise to follow only one
// founder's disk, and the founder starts once it has all promises. A founder that
// lost its disk therefore can't create a second quorum next to the first one.
type bootstrap struct {
	self     Member
	members  []Member // initial members sorted by name, without disks
	promise  DiskIdentity
	promises map[string]Member // members that have promised, by name; used only by the founder
}

// outgoingMessage is a message and its receiver.
type outgoingMessage struct {
	to      Member
	message Message
}

func newBootstrap(self Member, members []Member, promise DiskIdentity) *bootstrap {
	f := &bootstrap{self: self, promise: promise, promises: map[string]Member{}}
	f.setMembers(members)
	return f
}

// setMembers replaces the initial members. Promises stay valid, as they are to this disk.
func (f *bootstrap) setMembers(members []Member) {
	f.members = slices.Clone(members)
	slices.SortFunc(f.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	if f.isFounder() {
		f.promises[f.self.Name] = f.self
	}
}

// isFounder reports whether this disk may found the quorum. One that has promised to follow
// another disk may not: with other initial members it would found a second quorum.
func (f *bootstrap) isFounder() bool {
	isFirst := len(f.members) > 0 && f.members[0].Name == f.self.Name
	return isFirst && (f.promise == "" || f.promise == f.self.Disk)
}

// helloMessages returns the messages that a blank disk repeatedly sends to the
// other initial members.
func (f *bootstrap) helloMessages() []outgoingMessage {
	var out []outgoingMessage
	for _, m := range f.members {
		if m.Name != f.self.Name {
			out = append(out, outgoingMessage{m, Message{Kind: Hello, From: f.self.Disk, Sender: f.self}})
		}
	}
	return out
}

// stepHello returns the promise in reply to a founder's Hello. The promise must be
// on disk before the reply is sent.
func (f *bootstrap) stepHello(m Message) (outgoingMessage, bool) {
	isFromFounder := !f.isFounder() && len(f.members) > 0 && m.Sender.Name == f.members[0].Name
	if !isFromFounder || m.From == "" || (f.promise != "" && f.promise != m.From) {
		return outgoingMessage{}, false
	}
	f.promise = m.From
	reply := Message{Kind: Promise, From: f.self.Disk, To: m.From, Sender: f.self, Promise: m.From}
	return outgoingMessage{m.Sender, reply}, true
}

// stepPromise records a promise and returns the initial configuration once all
// members have promised.
func (f *bootstrap) stepPromise(m Message) (Configuration, bool) {
	isForSelf := f.isFounder() && m.Promise == f.self.Disk && m.Sender.Disk == m.From
	isMember := slices.ContainsFunc(f.members, func(o Member) bool { return o.Name == m.Sender.Name })
	if !isForSelf || !isMember {
		return Configuration{}, false
	}
	f.promises[m.Sender.Name] = m.Sender
	return f.initialConfiguration()
}

// initialConfiguration returns the initial configuration, or false while promises
// are missing.
func (f *bootstrap) initialConfiguration() (Configuration, bool) {
	initial := f.promised()
	return initial, len(initial.Voters) > 0 && len(initial.Voters) == len(f.members)
}

// majorityConfiguration returns the configuration of the members that have promised, or
// false while they are no majority.
func (f *bootstrap) majorityConfiguration() (Configuration, bool) {
	initial := f.promised()
	return initial, f.isFounder() && 2*len(initial.Voters) > len(f.members)
}

// promised returns the members that have promised.
func (f *bootstrap) promised() Configuration {
	var c Configuration
	for _, m := range f.members {
		if member, ok := f.promises[m.Name]; ok {
			member.Address = m.Address
			c.Voters = append(c.Voters, member)
		}
	}
	return c
}
