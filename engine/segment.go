package engine

// SegmentOf returns the segment held by the member at index in a group of count
// members, for a prompt of the given number of tokens. Segments start at multiples
// of BlockTokens and cover the prompt exactly once.
func SegmentOf(tokens, index, count int) Segment {
	blocks := (tokens + BlockTokens - 1) / BlockTokens
	first := blocks * index / count * BlockTokens
	last := min(blocks*(index+1)/count*BlockTokens, tokens)
	return Segment{Index: index, Count: count, First: first, Last: last}
}

// Tokens returns the length of the segment in tokens.
func (s Segment) Tokens() int { return s.Last - s.First }
