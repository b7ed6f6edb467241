package timeline

// Ring keeps the newest events of a daemon. A full ring overwrites the oldest.
// It is not safe for concurrent use; Log is.
type Ring struct {
	events   []Event // grows to capacity, then is overwritten
	capacity int
	next     uint64 // sequence number of the next event; events count from 0
	dropped  Stamp  // stamp of the newest overwritten event
}

// NewRing returns a ring for capacity events, at least 1.
func NewRing(capacity int) *Ring {
	return &Ring{capacity: max(capacity, 1)}
}

// Add keeps e.
func (r *Ring) Add(e Event) {
	r.next++
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	slot := &r.events[(r.next-1)%uint64(r.capacity)]
	r.dropped = slot.Stamp()
	*slot = e
}

// Oldest returns the sequence number of the oldest event kept.
func (r *Ring) Oldest() uint64 {
	if r.next <= uint64(len(r.events)) {
		return 0
	}
	return r.next - uint64(len(r.events))
}

// Next returns the sequence number that the next event gets.
func (r *Ring) Next() uint64 { return r.next }

// Lost returns how many events were overwritten.
func (r *Ring) Lost() uint64 { return r.Oldest() }

// at returns the event with a sequence number that the ring still keeps.
func (r *Ring) at(sequence uint64) *Event {
	return &r.events[sequence%uint64(len(r.events))]
}
