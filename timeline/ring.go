package timeline

// Ring is a ring buffer of the newest events of a daemon. When full, it overwrites
// the oldest event. It is not safe for concurrent use; Log is.
type Ring struct {
	events          []Event // grows to capacity, then is reused
	capacity        int
	next            uint64 // sequence number of the next event, from 0
	lastOverwritten Stamp  // stamp of the newest overwritten event
}

// NewRing returns a ring for capacity events; the minimum is 1.
func NewRing(capacity int) *Ring {
	return &Ring{capacity: max(capacity, 1)}
}

// Add appends e.
func (r *Ring) Add(e Event) {
	r.next++
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	slot := &r.events[(r.next-1)%uint64(r.capacity)]
	r.lastOverwritten = slot.Stamp()
	*slot = e
}

// Oldest returns the sequence number of the oldest kept event.
func (r *Ring) Oldest() uint64 {
	if r.next <= uint64(len(r.events)) {
		return 0
	}
	return r.next - uint64(len(r.events))
}

// Next returns the sequence number of the next event.
func (r *Ring) Next() uint64 { return r.next }

// Lost returns the number of overwritten events.
func (r *Ring) Lost() uint64 { return r.Oldest() }

// at returns the event with the given sequence number, which must still be kept.
func (r *Ring) at(sequence uint64) *Event {
	return &r.events[sequence%uint64(len(r.events))]
}
