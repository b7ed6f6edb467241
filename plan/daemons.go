package plan

import (
	"net/netip"
	"sort"

	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

// Sizes of the generated settings.
const (
	maxMembers = 5 // maximum number of members of the control quorum
	maxSeeds   = 3 // seed addresses, which each daemon contacts first; more if there are more members
)

// ConfigurationFile is the name of the fleet configuration file, which is stored beside
// the settings on each instance.
const ConfigurationFile = "fleet.toml"

// instance is one instance of a group of instances.
type instance struct {
	name          string
	address       string // IP:port for the other daemons
	callerAddress string // IP:port for callers; used by entries only
	group         questionnaire.InstanceGroup
}

func instances(a *questionnaire.Answers) []instance {
	var all []instance
	for _, g := range a.Instances {
		for i, ip := range g.Addresses {
			all = append(all, instance{
				name:          g.InstanceName(i),
				address:       joinHostPort(ip, g.Port),
				callerAddress: joinHostPort(ip, g.CallerPort),
				group:         g,
			})
		}
	}
	return all
}

func joinHostPort(ip string, port int) string {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return ip // cannot happen with validated answers
	}
	return netip.AddrPortFrom(addr, uint16(port)).String()
}

// Daemons returns the settings of each daemon for the answers.
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
		Seeds:         exclude(seeds, in.address),
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
		d.Entry.Listen = in.callerAddress
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

// controlMembers selects the initial members of the control quorum from the instances
// with disks, round-robin over the failure domains. Their number is odd and at most
// maxMembers.
func controlMembers(all []instance) []settings.Member {
	var domains []string
	byDomain := map[string][]instance{}
	diskCount := 0
	for _, in := range all {
		if in.group.Disk == "" {
			continue
		}
		domain := in.group.FailureDomain
		if len(byDomain[domain]) == 0 {
			domains = append(domains, domain)
		}
		byDomain[domain] = append(byDomain[domain], in)
		diskCount++
	}
	memberCount := min(diskCount, maxMembers)
	if memberCount%2 == 0 && memberCount > 0 {
		memberCount--
	}
	var members []settings.Member
	for round := 0; len(members) < memberCount; round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(members) < memberCount {
				in := byDomain[domain][round]
				members = append(members, settings.Member{Name: in.name, Address: in.address})
			}
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// seedAddresses returns the addresses of the members, supplemented by those of entries
// up to maxSeeds.
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

func exclude(addresses []string, excluded string) []string {
	var others []string
	for _, a := range addresses {
		if a != excluded {
			others = append(others, a)
		}
	}
	return others
}
