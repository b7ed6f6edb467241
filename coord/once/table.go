package once

import (
	"container/heap"
	"slices"
	"strings"
)

// Table holds the at-most-once call records of a fleet.
type Table struct {
	records  map[Key]*Record
	dueQueue dueHeap
	fence    uint64
	limit    int
}

// NewTable returns an empty table for at most limit records. A limit of 0 or less
// means MaxRecords.
func NewTable(limit int) *Table {
	if limit <= 0 {
		limit = MaxRecords
	}
	return &Table{records: make(map[Key]*Record), limit: limit}
}

// Claim decides on a claim at time now.
func (t *Table) Claim(now int64, c Claim) Answer {
	t.Advance(now)
	r, known := t.records[c.Key]
	switch {
	case known && r.Request == c.Request && r.Body == c.Body && r.State == Running:
		return Answer{Verdict: Granted, Fence: r.Fence, Request: r.Request}
	case known && r.Request == c.Request:
		return r.answer()
	case known && slices.Contains(r.Released, c.Request):
		return Answer{Verdict: IsReleased, Request: c.Request}
	case known && r.State == Released:
		return t.grant(now, c, r.Released)
	case known && r.Body != c.Body:
		return Answer{Verdict: KeyReused, Request: r.Request}
	case known:
		return r.answer()
	case len(t.records) >= t.limit:
		return Answer{Verdict: TableFull}
	default:
		return t.grant(now, c, nil)
	}
}

func (t *Table) grant(now int64, c Claim, released []string) Answer {
	t.fence++
	r := &Record{
		Key: c.Key, Request: c.Request, Body: c.Body,
		Fence: t.fence, State: Running, Retention: c.Retention, Released: released,
	}
	if r.Retention <= 0 {
		r.Retention = DefaultRetention
	}
	remaining := c.Remaining
	if remaining <= 0 {
		remaining = DefaultDeadline
	}
	r.Due = now + (remaining + GracePeriod).Microseconds()
	t.put(r)
	return Answer{Verdict: Granted, Fence: r.Fence, Request: r.Request}
}

// Record records the outcome of a claim, which only the holder of the claim may
// do. The first outcome is final and is returned for each resend, except that a
// holder that outlived its deadline may still change unknown to done. A release that
// the record remembers is also answered after another claim was granted.
func (t *Table) Record(now int64, o Outcome) Answer {
	t.Advance(now)
	r, known := t.records[o.Key]
	if !known {
		return t.releaseBeforeClaim(now, o)
	}
	if o.State == Released && r.Request != o.Request && slices.Contains(r.Released, o.Request) {
		return Answer{Verdict: WasRecorded, Fence: o.Fence, Request: o.Request}
	}
	if r.Request != o.Request || (o.Fence != 0 && o.Fence != r.Fence) {
		return Answer{Verdict: NotHolder, Request: r.Request}
	}
	if r.State != Running && (r.State != Unknown || o.State != Done) {
		return answerRepeatedOutcome(r, o)
	}
	if o.State == Released {
		r.markReleased()
	} else {
		r.State = o.State
		r.Reply = o.Reply.withoutLargeBody()
	}
	t.startRetention(now, r)
	return Answer{Verdict: WasRecorded, Fence: r.Fence, Request: r.Request}
}

// releaseBeforeClaim records the release of a claim that has not arrived yet, so
// that the claim is not granted when it arrives.
func (t *Table) releaseBeforeClaim(now int64, o Outcome) Answer {
	if o.State != Released || len(t.records) >= t.limit {
		return Answer{Verdict: NotHolder}
	}
	r := &Record{Key: o.Key, Request: o.Request, Retention: DefaultRetention}
	r.markReleased()
	t.startRetention(now, r)
	return Answer{Verdict: WasRecorded, Request: r.Request}
}

func answerRepeatedOutcome(r *Record, o Outcome) Answer {
	if r.State == o.State && r.Reply.equal(o.Reply.withoutLargeBody()) {
		return Answer{Verdict: WasRecorded, Fence: r.Fence, Request: r.Request}
	}
	return r.answer()
}

// startRetention schedules the removal of a record after its retention.
func (t *Table) startRetention(now int64, r *Record) {
	r.Due = now + r.Retention.Microseconds()
	t.put(r)
}

func (t *Table) put(r *Record) {
	t.records[r.Key] = r
	heap.Push(&t.dueQueue, dueItem{dueAt: r.Due, record: r})
}

// Advance marks overdue running claims as unknown and removes records whose
// retention has passed. A running claim is never removed.
func (t *Table) Advance(now int64) {
	for len(t.dueQueue) > 0 && t.dueQueue[0].dueAt <= now {
		item := heap.Pop(&t.dueQueue).(dueItem)
		r := item.record
		if t.records[r.Key] != r || r.Due != item.dueAt {
			continue // stale: the record was replaced or ended
		}
		if r.State == Running {
			r.State = Unknown
			t.startRetention(item.dueAt, r)
			continue
		}
		delete(t.records, r.Key)
	}
}

// Get returns the record of a key.
func (t *Table) Get(k Key) (Record, bool) {
	r, known := t.records[k]
	if !known {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Snapshot is the encoded form of a Table.
type Snapshot struct {
	Fence   uint64   `json:"fence"`
	Records []Record `json:"records,omitempty"` // sorted by key
}

// Save returns the content of the table.
func (t *Table) Save() Snapshot {
	s := Snapshot{Fence: t.fence, Records: make([]Record, 0, len(t.records))}
	for _, r := range t.records {
		s.Records = append(s.Records, *r)
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return a.Key.compare(b.Key) })
	return s
}

// Load replaces the content of the table.
func (t *Table) Load(s Snapshot) {
	t.fence = s.Fence
	t.records = make(map[Key]*Record, len(s.Records))
	t.dueQueue = nil
	for _, r := range s.Records {
		t.put(&r)
	}
}

func (k Key) compare(o Key) int {
	if c := strings.Compare(k.Account, o.Account); c != 0 {
		return c
	}
	if c := strings.Compare(k.Service, o.Service); c != 0 {
		return c
	}
	return strings.Compare(k.Key, o.Key)
}

// dueItem is a scheduled state change of a record. It is stale unless record.Due
// equals dueAt.
type dueItem struct {
	dueAt  int64
	record *Record
}

type dueHeap []dueItem

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(dueItem)) }

func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = dueItem{}
	*h = old[:len(old)-1]
	return last
}
