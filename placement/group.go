package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

// MaxGroup is the most endpoints over which one prompt is spread.
const MaxGroup = 16

// segmentFill is the part of an endpoint's longest prompt that a segment may
// take: endpoints leave a tenth of their memory free of long work, and the ends
// of a segment leave blocks half empty.
const segmentFill = 0.85

// Group chooses the endpoints that together hold a prompt that none of them can
// hold alone: as few as will do, those with the shortest wait for long work.
// They are returned in the order of their names, in which they are reserved. It
// returns nil when the usable members can't hold the prompt.
func Group(q *Query, members []*directory.Member) []*directory.Member {
	list := groupable(q, members)
	for count := 2; count <= min(MaxGroup, len(list)); count++ {
		need := engine.SegmentOf(q.Tokens, 0, count).Tokens() + engine.BlockTokens + q.Output
		chosen := roomy(list, need, count)
		if len(chosen) == count {
			slices.SortFunc(chosen, func(a, b *directory.Member) int { return strings.Compare(a.Name, b.Name) })
			return chosen
		}
	}
	return nil
}

// groupable returns the members that can hold a segment, those with the
// shortest wait first and those that were tried already last.
func groupable(q *Query, members []*directory.Member) []*directory.Member {
	part := *q
	part.Tokens, part.Output = 0, 0
	var list []*directory.Member
	for _, m := range members {
		if m.ExportsKV && m.MaxPrompt > 0 && part.usable(m) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *directory.Member) int {
		return cmp.Or(
			cmp.Compare(order(q.avoided(a)), order(q.avoided(b))),
			cmp.Compare(ExpectedWait(q.Now, a, true), ExpectedWait(q.Now, b, true)),
			cmp.Compare(q.distance(a), q.distance(b)),
			cmp.Compare(mix(q.Random^a.Hash), mix(q.Random^b.Hash)),
		)
	})
	return list
}

func order(last bool) int {
	if last {
		return 1
	}
	return 0
}

// roomy returns the first count members that can hold tokens.
func roomy(list []*directory.Member, tokens, count int) []*directory.Member {
	var chosen []*directory.Member
	for _, m := range list {
		if float64(tokens) <= segmentFill*float64(m.MaxPrompt) && len(chosen) < count {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// GroupLimit returns the longest prompt in tokens that a group of the members
// can hold beside an answer of output tokens.
func GroupLimit(members []*directory.Member, output int) int {
	var room []int
	for _, m := range members {
		if m.ExportsKV && m.MaxPrompt > 0 {
			room = append(room, int(segmentFill*float64(m.MaxPrompt))-engine.BlockTokens-output)
		}
	}
	slices.Sort(room)
	slices.Reverse(room)
	limit := 0
	for i, r := range room[:min(len(room), MaxGroup)] {
		limit = max(limit, (i+1)*r)
	}
	return limit
}
