package schedule

import (
	"time"

	"github.com/jacinthplank/jacinthplank/spill"
)

// leaveCost is the cost of running a job in a failure domain.
type leaveCost struct {
	isHome     bool
	link, cost float64 // link is the part for answers that the links make late
}

// leaveCosts are the costs of running one job in each domain. There are few domains, so
// that a list is faster than a map.
type leaveCosts []domainCost

type domainCost struct {
	domain string
	leaveCost
}

// of returns the cost of running the job in a domain.
func (l leaveCosts) of(domain string) leaveCost {
	for i := range l {
		if l[i].domain == domain {
			return l[i].leaveCost
		}
	}
	return leaveCost{isHome: true}
}

// SetTraffic sets the estimates of the links between failure domains and the price of a byte
// that leaves its domain.
func (s *Scheduler) SetTraffic(l *spill.Links, bytePrice float64) {
	s.links, s.bytePrice = l, bytePrice
}

// prepareLeaveCosts computes the cost of running a job in each domain that has engines.
func (s *Scheduler) prepareLeaveCosts(j *Job, now time.Time) {
	s.leaveCosts = s.leaveCosts[:0]
	for _, domain := range s.domains {
		c := domainCost{domain: domain, leaveCost: leaveCost{isHome: domain == j.Domain}}
		if !c.isHome {
			if s.links != nil {
				c.link = s.links.Late(j.Domain, domain, now) * j.value() * latePenalty
			}
			c.cost = s.crossingCost(j, domain) + c.link
		}
		s.leaveCosts = append(s.leaveCosts, c)
	}
}

// crossingCost returns the cost of sending a job to another domain over sound links.
func (s *Scheduler) crossingCost(j *Job, domain string) float64 {
	if !s.prefersHome() {
		return crossDomainCost
	}
	c := spill.Crossing{
		RequestBytes: j.BodyBytes, AnswerBytes: j.Answer * s.profile.BytesPerAnswerToken, Delay: s.profile.Delays.Between(j.Domain, domain),
	}
	return c.Cost(s.bytePrice, latencyCost*j.value()/max(j.firstEventLimit(), minGoal).Seconds())
}

// prefersHome reports whether jobs leave their domain only for a gain in time: the deployment
// states delays between its domains, and all jobs are placed here. Entries that place jobs
// independently would meet on the few engines of their domain.
func (s *Scheduler) prefersHome() bool { return len(s.profile.Delays) > 0 && s.peers == 0 }
