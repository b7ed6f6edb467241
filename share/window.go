package share

import "time"

// The sliding window. A surge lasts for some seconds, and the rarest kind of the known
// deployments arrives 1.6 times a second: 20 s hold enough of its requests for a ratio.
const (
	bucketTime  = 500 * time.Millisecond
	bucketCount = 40
	// recentBuckets are those from which a kind that is starved during a surge is noticed:
	// surges last four to six seconds, too short to show in the whole window.
	recentBuckets = 6
)

// totals are sums over requests.
type totals struct {
	served, refused int
	used, missed    time.Duration // engine time of the served and of the refused requests
	urgency         int           // sum over all requests
}

func (t *totals) add(o totals, factor int) {
	t.served += factor * o.served
	t.refused += factor * o.refused
	t.used += time.Duration(factor) * o.used
	t.missed += time.Duration(factor) * o.missed
	t.urgency += factor * o.urgency
}

// window sums over the last bucketCount buckets.
type window struct {
	buckets [bucketCount]totals
	sum     totals
	last    int64 // number of the current bucket
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketTime) }

// advance drops the buckets that have left the window.
func (w *window) advance(now time.Time) {
	current := bucketOf(now)
	if current <= w.last {
		return
	}
	for b := max(w.last+1, current-bucketCount+1); b <= current; b++ {
		old := &w.buckets[b%bucketCount]
		w.sum.add(*old, -1)
		*old = totals{}
	}
	w.last = current
}

// add adds to the bucket of a time. What is older than the window is left out.
func (w *window) add(t totals, factor int, at, now time.Time) {
	w.advance(now)
	b := min(bucketOf(at), w.last)
	if b <= w.last-bucketCount {
		return
	}
	w.buckets[b%bucketCount].add(t, factor)
	w.sum.add(t, factor)
}

// recent returns the sums over the last recentBuckets buckets.
func (w *window) recent() totals {
	var sum totals
	for b := w.last - recentBuckets + 1; b <= w.last; b++ {
		sum.add(w.buckets[b%bucketCount], 1)
	}
	return sum
}

// requests returns the number of requests.
func (t *totals) requests() int { return t.served + t.refused }

// ratio returns the share of the requests that was served; 1 without requests.
func (t *totals) ratio() float64 {
	if t.requests() <= 0 {
		return 1
	}
	return float64(t.served) / float64(t.requests())
}

// meanUrgency returns the mean urgency of the requests.
func (t *totals) meanUrgency() float64 { return float64(t.urgency) / float64(max(t.requests(), 1)) }

// demand returns the engine time that was requested.
func (t *totals) demand() time.Duration { return t.used + t.missed }
