package quorum

// entryLog is the in-memory part of the log: the entries after the base index.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if it is unknown.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// matches reports whether the entry at index is known to have the given term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from index on. Slices returned earlier stay valid:
// the capacity is cut so that the next append reallocates.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
}

// slice returns the entries from first to last, inclusive, limited to maxBytes
// of data. It returns at least one entry, even if that exceeds the limit.
func (l *entryLog) slice(first, last uint64, maxBytes int) []Entry {
	last = min(last, l.lastIndex())
	if first > last || first <= l.baseIndex {
		return nil
	}
	from := first - l.baseIndex - 1
	to := from
	size := 0
	for to < last-l.baseIndex {
		size += len(l.entries[to].Data)
		if size > maxBytes && to > from {
			break
		}
		to++
	}
	return l.entries[from:to:to]
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	kept := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
}

// tailLimits are the limits of the entries that are retained before a snapshot.
type tailLimits struct {
	entries int
	bytes   int
}

// compactTail drops the entries covered by the snapshot at index snapshot, except for
// the last ones within the limits, and keeps those after the index synced.
func (l *entryLog) compactTail(snapshot, synced uint64, tail tailLimits) {
	index := min(snapshot, l.lastIndex())
	size := 0
	for count := 0; index > l.baseIndex && count < tail.entries; count++ {
		size += len(l.entries[index-l.baseIndex-1].Data) + entryOverhead
		if size > tail.bytes {
			break
		}
		index--
	}
	l.compact(min(index, synced))
}

// reset empties the log and sets its base to index and term.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// isUpToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
