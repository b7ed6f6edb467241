package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

const roundInterval = time.Second

// fleet simulates members that exchange messages in rounds.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	tables  map[string]*membership.Table
	names   []string
	stopped map[string]bool
	drop    func(from, to string) bool
	sent    int // messages
	records int // records in them
	changes map[string][]membership.Change
}

func newFleet(seed uint64, watchers, others int) *fleet {
	f := &fleet{
		now:     time.Unix(1_800_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		tables:  map[string]*membership.Table{},
		stopped: map[string]bool{},
		drop:    func(string, string) bool { return false },
		changes: map[string][]membership.Change{},
	}
	for i := range watchers {
		f.start(fmt.Sprintf("entry-%d", i), true, 1)
	}
	for i := range others {
		f.start(fmt.Sprintf("endpoint-%d", i), false, 1)
	}
	return f
}

func (f *fleet) start(name string, watcher bool, incarnation uint64) {
	record := membership.Record{Name: name, Address: name + ":1", Watcher: watcher, Incarnation: incarnation}
	if f.tables[name] == nil {
		f.names = append(f.names, name)
	}
	f.tables[name] = membership.New(membership.Options{Self: record})
	f.stopped[name] = false
}

// step runs one round: every running member sends to its partners, and also to the
// first watcher while it has fewer than DefaultWatchers partners.
func (f *fleet) step() {
	f.now = f.now.Add(roundInterval)
	for _, i := range f.random.Perm(len(f.names)) {
		name := f.names[i]
		if f.stopped[name] {
			continue
		}
		t := f.tables[name]
		partners := t.Partners()
		if len(partners) < membership.DefaultWatchers && name != f.names[0] {
			partners = append(partners, f.names[0])
		}
		for _, to := range partners {
			f.exchange(name, to)
		}
		f.changes[name] = append(f.changes[name], t.Expire(f.now)...)
	}
}

func (f *fleet) exchange(from, to string) {
	a, b := f.tables[from], f.tables[to]
	request := a.Prepare(to)
	f.countMessage(request)
	if f.stopped[to] || f.drop(from, to) {
		return
	}
	f.changes[to] = append(f.changes[to], b.Receive(request, f.now)...)
	response := b.Prepare(from)
	f.countMessage(response)
	if f.drop(to, from) {
		return
	}
	f.changes[from] = append(f.changes[from], a.Receive(response, f.now)...)
}

func (f *fleet) countMessage(m membership.Message) {
	f.sent++
	f.records += len(m.Records)
}

// countMatching returns how many running members have a record of name that
// satisfies ok, and how many are running.
func (f *fleet) countMatching(name string, ok func(membership.Record) bool) (n, running int) {
	for _, other := range f.names {
		if f.stopped[other] {
			continue
		}
		running++
		if r, found := f.tables[other].Get(name); found && ok(r) {
			n++
		}
	}
	return n, running
}

func (f *fleet) allMatch(name string, ok func(membership.Record) bool) bool {
	n, running := f.countMatching(name, ok)
	return n == running
}

func (f *fleet) runUntil(limit int, done func() bool) (rounds int, ok bool) {
	for rounds = 1; rounds <= limit; rounds++ {
		f.step()
		if done() {
			return rounds, true
		}
	}
	return limit, false
}
