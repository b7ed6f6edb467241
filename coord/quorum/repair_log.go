package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/shortname"
)

// repairReport bounds the lines about steps of a repair that fail, which are tried again every
// repairInterval.
const repairReport = 2 * time.Second

// repairFailures are the failures of the steps of a repair that follow each other, in ticks.
type repairFailures struct {
	first, last uint64
	nextReport  uint64
}

// isDue records a failure and reports whether it is logged. A step fails for as long as the one
// before it isn't committed, which is no fault unless it takes as long as interval.
func (f *repairFailures) isDue(now, retry, interval uint64) bool {
	if f.last == 0 || now-f.last > 2*retry {
		f.first = now
	}
	f.last = now
	if now-f.first < interval || now < f.nextReport {
		return false
	}
	f.nextReport = now + interval
	return true
}

// logRepair logs a step of a repair. Collectors may cut the line after 200 characters.
func (n *Node) logRepair(change Change, reason string, err error) {
	c := n.core.Configuration()
	all := []string{change.Member.Name}
	for _, m := range c.Members() {
		all = append(all, m.Name)
	}
	fields := []any{
		"voters", len(c.Voters), "learners", len(c.Learners),
		"change", change.Kind.String() + " " + shortname.Trim(change.Member.Name, all),
	}
	if err == nil {
		n.options.Logger.Info("member replaced", append(fields, "reason", reason, "disk", change.Member.Disk, "step", "quorum.repair")...)
		return
	}
	if !n.repairFailures.isDue(n.core.now, uint64(n.options.ticks(repairInterval)), uint64(n.options.ticks(repairReport))) {
		return
	}
	n.options.Logger.Warn("member replaced", append(fields, "error", strings.TrimPrefix(err.Error(), "quorum: "), "reason", reason, "disk", change.Member.Disk, "step", "quorum.repair")...)
}

// repairReason tells why a repair makes a change, before it is made.
func (n *Node) repairReason(change Change) string {
	silence := func(m Member) string {
		return fmt.Sprintf("silent for %d ms", (time.Duration(n.core.silentTicks(m.Disk)) * n.options.Tick).Milliseconds())
	}
	switch _, isLearner := n.core.Configuration().Learner(change.Member.Disk); {
	case change.Kind == AddLearner:
		return "new disk"
	case change.Kind == Promote:
		return "caught up"
	case isLearner:
		return "learner " + silence(change.Member)
	default:
		return silence(change.Member)
	}
}
