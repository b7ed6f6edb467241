package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

const round = time.Second

// fleet is a set of tables that exchange messages in rounds.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	tables  map[string]*membership.Table
	names   []string
	stopped map[string]bool
	cut     func(from, to string) bool
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
		cut:     func(string, string) bool { return false },
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

// step lets every member send to its partners once, or to the first watcher
// when it knows none yet.
func (f *fleet) step() {
	f.now = f.now.Add(round)
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
	f.count(request)
	if f.stopped[to] || f.cut(from, to) {
		return
	}
	f.changes[to] = append(f.changes[to], b.Receive(request, f.now)...)
	answer := b.Prepare(from)
	f.count(answer)
	if f.cut(to, from) {
		return
	}
	f.changes[from] = append(f.changes[from], a.Receive(answer, f.now)...)
}

func (f *fleet) count(m membership.Message) {
	f.sent++
	f.records += len(m.Records)
}

// knowing counts the running members whose record of name satisfies ok.
func (f *fleet) knowing(name string, ok func(membership.Record) bool) (n, running int) {
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

func (f *fleet) everyoneKnows(name string, ok func(membership.Record) bool) bool {
	n, running := f.knowing(name, ok)
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
