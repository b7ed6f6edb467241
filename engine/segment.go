package engine

// SegmentOf returns the part of a prompt of tokens that member index of a group
// of count members holds. Segments start at a multiple of BlockTokens and
// together cover the prompt once.
func SegmentOf(tokens, index, count int) Segment {
	blocks := (tokens + BlockTokens - 1) / BlockTokens
	first := blocks * index / count * BlockTokens
	last := min(blocks*(index+1)/count*BlockTokens, tokens)
	return Segment{Index: index, Count: count, First: first, Last: last}
}

// Tokens returns the length of the segment in tokens.
func (s Segment) Tokens() int { return s.Last - s.First }
