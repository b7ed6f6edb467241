// Package homes computes which failure domains may serve a request whose route or client
// account has home regions. It is pure and performs no I/O.
package homes

import "slices"

// Regions tells which region each failure domain belongs to. Its zero value knows none.
// It is immutable and safe for concurrent use.
type Regions struct {
	byDomain map[string]string
}

// NewRegions returns the regions of a deployment by failure domain, for an entry in the
// given domain and region. The region of the entry's own domain counts only if byDomain
// does not name one. Empty domains and regions are ignored.
func NewRegions(byDomain map[string]string, domain, region string) Regions {
	r := Regions{byDomain: make(map[string]string, len(byDomain)+1)}
	for d, name := range byDomain {
		r.add(d, name)
	}
	if r.byDomain[domain] == "" {
		r.add(domain, region)
	}
	return r
}

func (r *Regions) add(domain, region string) {
	if domain != "" && region != "" {
		r.byDomain[domain] = region
	}
}

// Domains returns the failure domains whose regions are in every given list, sorted. Empty
// lists allow any region; if all lists are empty, the result is nil, for any domain. The
// result is empty but not nil if no domain is allowed. A domain whose region is unknown is
// in no region.
func (r Regions) Domains(lists ...[]string) []string {
	if !slices.ContainsFunc(lists, func(list []string) bool { return len(list) > 0 }) {
		return nil
	}
	domains := []string{}
	for domain, region := range r.byDomain {
		isExcluded := func(list []string) bool { return len(list) > 0 && !slices.Contains(list, region) }
		if !slices.ContainsFunc(lists, isExcluded) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Allows reports whether a domain is one of those that Domains returned.
func Allows(domains []string, domain string) bool {
	return domains == nil || slices.Contains(domains, domain)
}
