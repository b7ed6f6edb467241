package main

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// newGrownFleet returns six machines with a disk in three zones, and one without. Paths between
// the first one and the others go through the links that are returned.
func newGrownFleet(f *fleet, trouble bool) []*link {
	f.tolerate = 2
	zones := []string{"dar-a", "dar-b", "dar-c"}
	for i := range 6 {
		f.add("front-"+zones[i%3]+"-"+string('1'+rune(i/3)), zones[i%3], 11+i, true)
	}
	f.add("front-dar-b-3", "dar-b", 17, false)
	first, second, third := f.machines[0], f.machines[1], f.machines[2]
	toFirst, toSecond, toThird := f.ipOf(10), f.ipOf(22), f.ipOf(23)
	f.choosePorts(toFirst, toSecond, toThird)
	seed := func(ip string) string { return ip + first.control()[len(first.ip):] }
	first.seeds = []string{first.control(), seed(toSecond), seed(toThird)}
	for _, m := range f.machines[1:] {
		m.seeds = []string{seed(toFirst), second.control(), third.control()}
	}
	peers := []int{f.ports.peers}
	return []*link{
		newLink(toFirst, first.ip, peers, trouble), newLink(toSecond, second.ip, peers, trouble), newLink(toThird, third.ip, peers, trouble),
	}
}

// promoted returns the names of the machines that the log of a machine calls voters.
func promoted(m *machine) []string {
	files, _ := filepath.Glob(filepath.Join(m.fleet.folder, m.name+".*.log"))
	var out []string
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var line struct{ Change, Member, Error string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Change == "promote" && line.Error == "" && !slices.Contains(out, line.Member) {
				out = append(out, line.Member)
			}
		}
		_ = file.Close()
	}
	return out
}

// playThreeVoters cuts one machine off while the whole system starts for the first time. Long
// after that has healed, two machines lose their disks at once, as the deployment tolerates. With
// TROUBLE=loss only that happens.
func playThreeVoters(r *record, f *fleet, trouble bool) bool {
	isCut := trouble && os.Getenv("TROUBLE") != "loss"
	links := newGrownFleet(f, isCut)
	if isCut {
		r.event("%s is cut off from all other machines", f.machines[0].name)
	}
	f.startAll()
	r.at(3 * time.Second)
	o := newOperator(r, f.controls())
	if target, _ := o.putUntil(1, configuration(1), r.started.Add(20*time.Second)); target == "" {
		cannotRun("the configuration was not acknowledged")
	}
	r.at(5500 * time.Millisecond)
	for _, l := range links {
		l.set(false)
	}
	if isCut {
		r.event("the cut has healed")
	}
	r.at(25 * time.Second)
	if target, _ := o.putUntil(2, configuration(2), r.started.Add(35*time.Second)); target == "" {
		cannotRun("the second configuration was not acknowledged")
	}
	if trouble {
		for _, m := range f.twoHolders() {
			m.kill()
			m.wipe()
		}
		time.Sleep(time.Second)
		for _, m := range f.machines {
			if m.hasEnded() {
				m.start(false)
			}
		}
	}
	return o.readBack(configuration(2), time.Now().Add(45*time.Second))
}

// twoHolders returns the first machine, and one that it took into the quorum if its log names
// one, else another one with a disk.
func (f *fleet) twoHolders() []*machine {
	members := promoted(f.machines[0])
	f.rec.event("taken into the quorum after its start, by the log of %s: %v", f.machines[0].name, members)
	for _, m := range f.machines[1:] {
		if len(members) == 0 || m.name == members[0] {
			return []*machine{f.machines[0], m}
		}
	}
	return nil
}
