package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// foundingModel plays the founding of a quorum by the disks of seeds, with disks of other entries
// and seeds without a disk.
type foundingModel struct {
	t        *rapid.T
	random   *rand.Rand
	timing   foundingTiming
	seeds    []string // addresses, of which the first ones have a disk
	withDisk int
	disks    []*modelDisk // those of the seeds, then others
	inFlight []Message    // with Promise as the receiver's address
	cutLinks map[[2]string]bool
	formats  int

	accepted map[Ballot]map[DiskIdentity]bool // disks that have synced an acceptance, by ballot
	proposed map[Ballot]decree
	chosen   decree
}

// modelDisk is an entry with its disk.
type modelDisk struct {
	address      string
	disk         DiskIdentity
	synced       foundingState
	unsynced     []foundingWrite
	founding     *founding
	isFirstStart bool
}

// foundingWrite is a state to write, if any, and the messages to send after it.
type foundingWrite struct {
	state    *foundingState
	messages []outgoingMessage
}

func newFoundingModel(t *rapid.T, withDisk, without, others int) *foundingModel {
	m := &foundingModel{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), withDisk: withDisk, cutLinks: map[[2]string]bool{},
		accepted: map[Ballot]map[DiskIdentity]bool{}, proposed: map[Ballot]decree{},
	}
	m.timing = foundingTiming{delay: 2, step: rapid.IntRange(1, 3).Draw(t, "step"), repeat: 1, wait: rapid.IntRange(1, 6).Draw(t, "wait")}
	for i := range withDisk + without {
		m.seeds = append(m.seeds, fmt.Sprintf("s%d", i))
	}
	for i := range withDisk + others {
		address := fmt.Sprintf("x%d", i)
		if i < withDisk {
			address = m.seeds[i]
		}
		m.disks = append(m.disks, &modelDisk{address: address})
		m.format(m.disks[i], true)
	}
	return m
}

// format starts an entry with a blank disk.
func (m *foundingModel) format(d *modelDisk, isFirstStart bool) {
	m.formats++
	d.disk, d.synced = DiskIdentity(fmt.Sprintf("%s-%03d", d.address, m.formats)), foundingState{}
	m.start(d, isFirstStart)
}

// start starts an entry from what its disk holds.
func (m *foundingModel) start(d *modelDisk, isFirstStart bool) {
	d.unsynced, d.isFirstStart = nil, isFirstStart
	d.founding = newFounding(Member{Name: "name-" + d.address, Address: d.address, Disk: d.disk}, m.timing, d.synced)
	m.learnSeeds(d, len(m.seeds)-m.withDisk)
}

// learnSeeds lets an entry learn that all but some seeds without a disk have none.
func (m *foundingModel) learnSeeds(d *modelDisk, unknown int) {
	var acceptors []Member
	if d.isFirstStart {
		for _, s := range m.seeds[:m.withDisk+unknown] {
			acceptors = append(acceptors, Member{Address: s})
		}
	}
	d.founding.setAcceptors(acceptors)
}

// handle takes over what a disk has to write and send.
func (m *foundingModel) handle(d *modelDisk) {
	state, messages := d.founding.take()
	if state != nil || len(messages) > 0 {
		d.unsynced = append(d.unsynced, foundingWrite{state, messages})
	}
	m.noteChoice(d.founding.chosen)
}

func (m *foundingModel) noteChoice(d decree) {
	switch {
	case d.isZero():
	case m.chosen.isZero():
		m.chosen = d
	case m.chosen.quorum != d.quorum || string(encodeConfiguration(m.chosen.configuration)) != string(encodeConfiguration(d.configuration)):
		m.t.Fatalf("two quorums are chosen: %v and %v", m.chosen, d)
	}
}

// write makes a state durable and checks what the acceptors have decided by it.
func (m *foundingModel) write(d *modelDisk, s foundingState) {
	if s.promised.compare(d.synced.promised) < 0 || s.accepted.compare(d.synced.accepted) < 0 {
		m.t.Fatalf("%s goes back from %v to %v", d.disk, d.synced, s)
	}
	d.synced = s
	if s.accepted.isZero() {
		return
	}
	if before, ok := m.proposed[s.accepted]; ok && before.quorum != s.decree.quorum {
		m.t.Fatalf("ballot %v proposes %v and %v", s.accepted, before, s.decree)
	}
	m.proposed[s.accepted] = s.decree
	if m.accepted[s.accepted] == nil {
		m.accepted[s.accepted] = map[DiskIdentity]bool{}
	}
	m.accepted[s.accepted][d.disk] = true
	if 2*len(m.accepted[s.accepted]) > m.withDisk {
		m.noteChoice(s.decree)
	}
}

// sync completes the oldest writes of a disk.
func (m *foundingModel) sync(d *modelDisk, count int) {
	for range min(count, len(d.unsynced)) {
		w := d.unsynced[0]
		d.unsynced = d.unsynced[1:]
		if w.state != nil {
			m.write(d, *w.state)
		}
		for _, o := range w.messages {
			if !m.cutLinks[[2]string{d.address, o.to.Address}] {
				message := o.message
				message.Promise = DiskIdentity(o.to.Address)
				m.inFlight = append(m.inFlight, message)
			}
		}
	}
}

// crash ends an entry in the middle of its oldest write, which may have reached the disk.
func (m *foundingModel) crash(d *modelDisk, isWritten, isFirstStart bool) {
	for _, w := range d.unsynced {
		if w.state != nil {
			if isWritten {
				m.write(d, *w.state)
			}
			break
		}
	}
	m.start(d, isFirstStart && d.isFirstStart)
}

// deliver delivers a message and may keep a copy of it.
func (m *foundingModel) deliver(position int, keep bool) {
	message := m.inFlight[position]
	if !keep {
		m.inFlight = slices.Delete(m.inFlight, position, position+1)
	}
	to := string(message.Promise)
	data, err := EncodeMessage(message)
	if err != nil {
		m.t.Fatalf("%v", err)
	}
	if message, err = DecodeMessage(data); err != nil {
		m.t.Fatalf("%v", err)
	}
	for _, d := range m.disks {
		if d.address == to && !m.cutLinks[[2]string{message.Sender.Address, to}] {
			d.founding.step(message)
			m.handle(d)
		}
	}
}

func (m *foundingModel) tick(d *modelDisk) {
	d.founding.tick()
	m.handle(d)
}

// announce lets a disk announce itself to all that it reaches.
func (m *foundingModel) announce(d *modelDisk) {
	for _, to := range m.disks {
		if to != d && !m.cutLinks[[2]string{d.address, to.address}] {
			to.founding.hear(d.founding.self)
		}
	}
}

// settle runs all entries without faults.
func (m *foundingModel) settle(ticks int) {
	m.cutLinks = map[[2]string]bool{}
	for range ticks {
		for _, d := range m.disks {
			m.tick(d)
		}
		for range 6 {
			for _, d := range m.disks {
				m.sync(d, len(d.unsynced))
			}
			for n := len(m.inFlight); n > 0; n-- {
				m.deliver(0, false)
			}
		}
	}
}

// run runs all entries for some ticks, during which some disks and messages are late, and some
// messages lost or delivered twice. With crashes, some entries are killed in the middle of a write.
func (m *foundingModel) run(ticks int, crashes bool) {
	for range ticks {
		if crashes && m.random.IntN(2) == 0 {
			m.crash(m.disks[m.random.IntN(len(m.disks))], m.random.IntN(2) == 0, true)
		}
		for _, d := range m.disks {
			m.tick(d)
		}
		for range 2 {
			for _, d := range m.disks {
				if m.random.IntN(3) > 0 {
					m.sync(d, 1+m.random.IntN(3))
				}
			}
			for n := len(m.inFlight); n > 0; n-- {
				position := m.random.IntN(len(m.inFlight))
				switch m.random.IntN(10) {
				case 0, 1, 2:
				case 3:
					m.inFlight = slices.Delete(m.inFlight, position, position+1)
				default:
					m.deliver(position, m.random.IntN(10) == 0)
				}
			}
		}
	}
}

// split cuts the entries into two parts, or some links.
func (m *foundingModel) split() {
	side := map[string]bool{}
	for _, d := range m.disks {
		side[d.address] = m.random.IntN(2) == 0
	}
	isPartition := m.random.IntN(2) == 0
	for a := range side {
		for b := range side {
			isCut := side[a] != side[b]
			if !isPartition {
				isCut = a != b && m.random.IntN(3) == 0
			}
			m.cutLinks[[2]string{a, b}] = isCut
			m.cutLinks[[2]string{b, a}] = isCut
		}
	}
}

// mayStillFound reports whether a majority of the seeds with a disk were never told that this is
// not the first start.
func (m *foundingModel) mayStillFound() bool {
	count := 0
	for _, d := range m.disks[:m.withDisk] {
		if d.isFirstStart {
			count++
		}
	}
	return 2*count > m.withDisk
}

// TestOneQuorumIsFounded plays foundings with messages that are lost, late, out of order and
// delivered twice, cuts in each direction, processes killed and power lost before and after each
// sync, emptied disks, and proposers that know different numbers of acceptors. It guards against
// two configurations that are chosen, two that one ballot proposes, a disk that goes back behind
// its promise, and a founding that never ends once the faults do.
func TestOneQuorumIsFounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		without := rapid.IntRange(0, 2).Draw(t, "seeds without disk")
		m := newFoundingModel(t, rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "seeds with disk"), without, rapid.IntRange(0, 2).Draw(t, "other disks"))
		disk := func(t *rapid.T) *modelDisk { return m.disks[rapid.IntRange(0, len(m.disks)-1).Draw(t, "disk")] }
		deliverSome := func(t *rapid.T) {
			for n := rapid.IntRange(1, 8).Draw(t, "messages"); n > 0 && len(m.inFlight) > 0; n-- {
				m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "copy") == 0)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick all": func(*rapid.T) {
				for _, d := range m.disks {
					m.tick(d)
				}
			},
			"tick": func(t *rapid.T) {
				d := disk(t)
				for range rapid.IntRange(1, 12).Draw(t, "ticks") {
					m.tick(d)
				}
			},
			"deliver": deliverSome,
			"run":     func(t *rapid.T) { m.run(rapid.IntRange(1, 8).Draw(t, "ticks"), false) },
			"storm":   func(t *rapid.T) { m.run(rapid.IntRange(1, 20).Draw(t, "ticks"), true) },
			"storm 2": func(t *rapid.T) { m.run(rapid.IntRange(1, 20).Draw(t, "ticks"), true) },
			"split":   func(*rapid.T) { m.split() },
			"lose": func(t *rapid.T) {
				if len(m.inFlight) > 0 {
					i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
					m.inFlight = slices.Delete(m.inFlight, i, i+1)
				}
			},
			"sync": func(t *rapid.T) { m.sync(disk(t), rapid.IntRange(1, 3).Draw(t, "writes")) },
			"sync all": func(*rapid.T) {
				for _, d := range m.disks {
					m.sync(d, len(d.unsynced))
				}
			},
			"announce": func(t *rapid.T) { m.announce(disk(t)) },
			"cut": func(t *rapid.T) {
				m.cutLinks[[2]string{disk(t).address, disk(t).address}] = true
			},
			"cut off": func(t *rapid.T) {
				d := disk(t)
				for _, other := range m.disks {
					m.cutLinks[[2]string{d.address, other.address}] = other != d
					m.cutLinks[[2]string{other.address, d.address}] = other != d
				}
			},
			"join": func(*rapid.T) { m.cutLinks = map[[2]string]bool{} },
			"crash": func(t *rapid.T) {
				m.crash(disk(t), rapid.Bool().Draw(t, "written"), rapid.IntRange(0, 7).Draw(t, "told otherwise") > 0)
			},
			"empty": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
					m.format(disk(t), false)
				}
			},
			"learn seeds": func(t *rapid.T) { m.learnSeeds(disk(t), rapid.IntRange(0, without).Draw(t, "unknown")) },
		})
		if !m.mayStillFound() {
			return
		}
		for _, d := range m.disks {
			m.learnSeeds(d, 0)
		}
		m.settle(200)
		if m.chosen.isZero() {
			t.Fatalf("no quorum is chosen after the faults")
		}
	})
}
