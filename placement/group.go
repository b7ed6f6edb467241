package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

// MaxGroupSize is the maximum number of endpoints that share one prompt.
const MaxGroupSize = 16

// maxSegmentFill is the maximum size of a segment, as a fraction of the longest
// prompt of its endpoint: endpoints keep a tenth of their memory free of long
// work, and blocks at the ends of a segment are partly empty.
const maxSegmentFill = 0.85

// ChooseGroup chooses the endpoints that together hold a prompt that is too long
// for any one of them: the smallest possible group, of the members with the
// shortest wait for long work. The group is sorted by name, the order in which
// endpoints are reserved. It is nil when the usable members can't hold the
// prompt.
func ChooseGroup(q *Query, members []*directory.Member) []*directory.Member {
	list := groupCandidates(q, members)
	for count := 2; count <= min(MaxGroupSize, len(list)); count++ {
		required := engine.SegmentOf(q.Tokens, 0, count).Tokens() + engine.BlockTokens + q.Output
		chosen := firstWithCapacity(list, required, count)
		if len(chosen) == count {
			slices.SortFunc(chosen, func(a, b *directory.Member) int { return strings.Compare(a.Name, b.Name) })
			return chosen
		}
	}
	return nil
}

// groupCandidates returns the members that can hold a segment, sorted by expected
// wait, with the members that were tried already at the end.
func groupCandidates(q *Query, members []*directory.Member) []*directory.Member {
	segmentQuery := *q
	segmentQuery.Tokens, segmentQuery.Output = 0, 0
	var list []*directory.Member
	for _, m := range members {
		if m.ExportsKV && m.MaxPrompt > 0 && segmentQuery.usable(m) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *directory.Member) int {
		return cmp.Or(
			cmp.Compare(avoidedRank(q.avoided(a)), avoidedRank(q.avoided(b))),
			cmp.Compare(ExpectedWait(q.Now, a, true), ExpectedWait(q.Now, b, true)),
			cmp.Compare(q.distance(a), q.distance(b)),
			cmp.Compare(mix(q.Random^a.Hash), mix(q.Random^b.Hash)),
		)
	})
	return list
}

func avoidedRank(avoided bool) int {
	if avoided {
		return 1
	}
	return 0
}

// firstWithCapacity returns the first count members of list that can hold a
// segment of the given size, or fewer when there are not enough.
func firstWithCapacity(list []*directory.Member, tokens, count int) []*directory.Member {
	var chosen []*directory.Member
	for _, m := range list {
		if float64(tokens) <= maxSegmentFill*float64(m.MaxPrompt) && len(chosen) < count {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// MaxGroupPrompt returns the longest prompt, in tokens, that a group of members
// can hold along with output generated tokens.
func MaxGroupPrompt(members []*directory.Member, output int) int {
	var capacities []int
	for _, m := range members {
		if m.ExportsKV && m.MaxPrompt > 0 {
			capacities = append(capacities, int(maxSegmentFill*float64(m.MaxPrompt))-engine.BlockTokens-output)
		}
	}
	slices.Sort(capacities)
	slices.Reverse(capacities)
	limit := 0
	for i, capacity := range capacities[:min(len(capacities), MaxGroupSize)] {
		limit = max(limit, (i+1)*capacity)
	}
	return limit
}
