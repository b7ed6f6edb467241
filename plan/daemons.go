package plan

import (
	"net/netip"
	"sort"

	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

// Bounds of what is generated.
const (
	maxMembers = 5 // members of the control quorum
	maxSeeds   = 3 // addresses that each daemon asks first
)

// ConfigurationFile is the name of the fleet's configuration file, beside the
// settings on each instance.
const ConfigurationFile = "fleet.toml"

// instance is one instance of a group.
type instance struct {
	name    string
	address string // IP:port for the other daemons
	callers string // IP:port for callers, at entries
	group   questionnaire.Instances
}

func instances(a *questionnaire.Answers) []instance {
	var all []instance
	for _, g := range a.Instances {
		for i, ip := range g.Addresses {
			all = append(all, instance{
				name:    g.Member(i),
				address: join(ip, g.Port),
				callers: join(ip, g.CallerPort),
				group:   g,
			})
		}
	}
	return all
}

func join(ip string, port int) string {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return ip // checked answers have none
	}
	return netip.AddrPortFrom(addr, uint16(port)).String()
}

// Daemons returns the settings of each daemon that the answers ask for.
func Daemons(a *questionnaire.Answers) []*settings.Daemon {
	all := instances(a)
	members := controlMembers(all)
	seeds := seedAddresses(all, members)
	var daemons []*settings.Daemon
	for _, in := range all {
		daemons = append(daemons, daemon(a, in, members, seeds))
	}
	return daemons
}

func daemon(a *questionnaire.Answers, in instance, members []settings.Member, seeds []string) *settings.Daemon {
	d := settings.Defaults()
	d.Instance = settings.Instance{
		Name:          in.name,
		FailureDomain: in.group.FailureDomain,
		Listen:        in.address,
		Seeds:         without(seeds, in.address),
		Configuration: ConfigurationFile,
	}
	d.TLS = settings.TLS{
		Certificate: a.Security.Certificate,
		Key:         a.Security.Key,
		Authority:   a.Security.Authority,
		Plain:       a.Security.Plain,
	}
	switch in.group.Task {
	case questionnaire.TaskEntry:
		d.Instance.Duties = append(d.Instance.Duties, settings.DutyEntry)
		d.Entry.Listen = in.callers
	case questionnaire.TaskEndpoint:
		d.Instance.Duties = append(d.Instance.Duties, settings.DutyEndpoint)
		d.Endpoint.Kind = in.group.Kind
		d.Endpoint.Service = in.group.Service
		if in.group.Service == "" {
			d.Endpoint.Engine = in.group.URL
		} else {
			d.Endpoint.URL = in.group.URL
		}
	}
	if isMember(members, in.name) {
		d.Instance.Duties = append(d.Instance.Duties, settings.DutyControl)
		d.Control = settings.Control{DataFolder: in.group.Disk, Members: members}
	}
	return d
}

// controlMembers chooses the first members of the quorum among the instances
// with disks: one from each failure domain in turn, an odd number, maxMembers at
// most.
func controlMembers(all []instance) []settings.Member {
	var places []string
	byPlace := map[string][]instance{}
	disks := 0
	for _, in := range all {
		if in.group.Disk == "" {
			continue
		}
		place := in.group.FailureDomain
		if len(byPlace[place]) == 0 {
			places = append(places, place)
		}
		byPlace[place] = append(byPlace[place], in)
		disks++
	}
	wanted := min(disks, maxMembers)
	if wanted%2 == 0 && wanted > 0 {
		wanted--
	}
	var members []settings.Member
	for round := 0; len(members) < wanted; round++ {
		for _, place := range places {
			if round < len(byPlace[place]) && len(members) < wanted {
				in := byPlace[place][round]
				members = append(members, settings.Member{Name: in.name, Address: in.address})
			}
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// seedAddresses are the members' addresses, filled up with entries'.
func seedAddresses(all []instance, members []settings.Member) []string {
	var seeds []string
	for _, m := range members {
		seeds = append(seeds, m.Address)
	}
	for _, in := range all {
		if len(seeds) >= maxSeeds {
			break
		}
		if in.group.Task == questionnaire.TaskEntry && !isMember(members, in.name) {
			seeds = append(seeds, in.address)
		}
	}
	return seeds
}

func isMember(members []settings.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

func without(addresses []string, mine string) []string {
	var others []string
	for _, a := range addresses {
		if a != mine {
			others = append(others, a)
		}
	}
	return others
}
