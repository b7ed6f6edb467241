package mesh

import (
	"context"
	"slices"
	"time"
)

// Limits of the syncs that deliver announcements.
const (
	deliveryAttempts = 2
	// maxDeliverySyncs bounds the delivering syncs in progress with one peer. There is more than
	// one only while the first takes longer than deliveryHedgeDelay: a round trip between failure
	// domains takes less, so it waits for a lost packet or on a connection that went silent.
	maxDeliverySyncs   = 2
	deliveryHedgeDelay = 200 * time.Millisecond
)

// delivery is an announcement that every peer is to have soon.
type delivery struct {
	seq   uint64        // this entry's updateSeq with the announcement
	peers int           // that neither have it nor were given up
	done  chan struct{} // closed when there are none
}

func (d *delivery) endOne() {
	if d.peers--; d.peers == 0 {
		close(d.done)
	}
}

// outbox holds the announcements that are to be delivered to a peer. Those made while a sync is
// in progress go together with the next one: a sync for each would repeat all that are on
// their way. The mesh's lock protects it.
type outbox struct {
	waiting    []*waitingDelivery // by seq
	inProgress int                // delivering syncs
	lastStart  time.Time          // of a delivering sync
	lastSeq    uint64             // updateSeq at lastStart
}

type waitingDelivery struct {
	*delivery
	failures int
}

// confirm ends the deliveries up to seq.
func (o *outbox) confirm(seq uint64) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *waitingDelivery) bool {
		if w.seq <= seq {
			w.endOne()
			return true
		}
		return false
	})
}

// fail records that a sync with the updates up to seq failed, and ends the deliveries for which
// that was the last attempt. It counts for later ones too, except as their last attempt, so
// that a delivery to a peer that is down ends as soon as one that started the sync.
func (o *outbox) fail(seq uint64) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *waitingDelivery) bool {
		if w.seq > seq && w.failures == deliveryAttempts-1 {
			return false
		}
		if w.failures++; w.failures < deliveryAttempts {
			return false
		}
		w.endOne()
		return true
	})
}

// mayStart reports whether a delivering sync is due.
func (o *outbox) mayStart(now time.Time) bool {
	if len(o.waiting) == 0 {
		return false
	}
	isUncovered := o.waiting[len(o.waiting)-1].seq > o.lastSeq
	return o.inProgress == 0 || (isUncovered && o.inProgress < maxDeliverySyncs && now.Sub(o.lastStart) >= deliveryHedgeDelay)
}

// deliverToAll starts the delivery of all updates up to now to every peer. A peer that does not
// answer gets them with a later periodic sync.
func (m *Mesh) deliverToAll() *delivery {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := m.activePeers(time.Now())
	d := &delivery{seq: m.updateSeq, peers: len(peers), done: make(chan struct{})}
	if len(peers) == 0 {
		close(d.done)
	}
	for _, p := range peers {
		p.outbox.waiting = append(p.outbox.waiting, &waitingDelivery{delivery: d})
		m.startDelivery(p)
	}
	return d
}

// startDelivery starts a delivering sync if one is due. The caller holds the lock.
func (m *Mesh) startDelivery(p *peer) {
	o, now := &p.outbox, time.Now()
	if !o.mayStart(now) {
		return
	}
	o.inProgress++
	o.lastStart, o.lastSeq = now, m.updateSeq
	go m.deliver(p)
}

// deliver syncs with a peer. It outlives the announcements' callers, by at most the time that
// their attempts take.
func (m *Mesh) deliver(p *peer) {
	hedge := time.AfterFunc(deliveryHedgeDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.startDelivery(p)
	})
	defer hedge.Stop()
	seq, err := m.sync(context.Background(), p)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.outbox.inProgress--
	if err != nil {
		p.outbox.fail(seq)
	}
	m.startDelivery(p)
}
