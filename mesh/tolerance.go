package mesh

import (
	"slices"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

// Tolerance is what may be lost at once without the loss of a document or of the quorum: so
// many entries with a disk, or all of so many failure domains or regions.
type Tolerance struct {
	Instances      int
	FailureDomains int
	Regions        int
}

// disks returns the number of disks that the largest tolerated loss takes, of those of the
// given entries. regions is the region by failure domain; nil if unknown.
func (t Tolerance) disks(entries []membership.Record, regions map[string]string) int {
	perDomain, perRegion := map[string]int{}, map[string]int{}
	for _, r := range entries {
		if r.State.Gone() || !hasDisk(r) {
			continue
		}
		perDomain[r.FailureDomain]++
		if region := regions[r.FailureDomain]; region != "" {
			perRegion[region]++
		}
	}
	return max(t.Instances, sumOfLargest(perDomain, t.FailureDomains), sumOfLargest(perRegion, t.Regions))
}

// sumOfLargest returns the sum of the n largest counts.
func sumOfLargest(counts map[string]int, n int) int {
	var sorted []int
	for _, c := range counts {
		sorted = append(sorted, c)
	}
	slices.Sort(sorted)
	sum := 0
	for _, c := range sorted[max(0, len(sorted)-max(n, 0)):] {
		sum += c
	}
	return sum
}
