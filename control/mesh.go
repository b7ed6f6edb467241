package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/ring"
)

// Limits of a send queue of one member and of one call to it.
const (
	sendQueueCapacity = 128 // messages
	// maxBatchBytes lets a batch with one more message of 1 MiB arrive within the election
	// timeout over a link of 20 Mbit/s: each one shows that the leader is there.
	maxBatchBytes = 256 << 10
	sendTimeout   = time.Second
	// minBytesPerSecond prolongs calls with large messages, up to a command of 8 MiB: over a
	// link of 20 Mbit/s it takes longer than sendTimeout, each time that it is sent again.
	minBytesPerSecond = 1 << 20
	// senderIdleTime is the time without messages after which a sender ends: members that are
	// replaced come back with other addresses and disks.
	senderIdleTime = time.Minute
)

var (
	meshSent    = metrics.NewCounter("jacinthplank_control_mesh_messages_total")
	meshFailed  = metrics.NewCounter("jacinthplank_control_mesh_calls_failed_total")
	meshDropped = metrics.NewCounter("jacinthplank_control_mesh_messages_dropped_total")
)

// lane is a send queue of a member. A call at a time is made for each. Entries and snapshots have
// their own: votes, heartbeats and replies don't wait for a batch that takes seconds over a slow link.
type lane struct {
	name, address string // of the member
	isBulk        bool
}

// Mesh is the transport between the members of the quorum, with send queues and
// sender goroutines per peer. It implements quorum.BulkTransport.
type Mesh struct {
	// OnBulkLost, if set, is called when a bulk message to a disk may not have arrived. It must
	// not block and is set before the first message is sent.
	OnBulkLost func(disk quorum.DiskIdentity)

	from     string
	dial     func(address string) jacinthplankv1connect.QuorumServiceClient
	failures *callFailures
	idleTime time.Duration

	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	queues map[lane]*ring.Ring[[]byte]
	disks  map[lane]quorum.DiskIdentity // that something was last sent to
	closed bool
}

// NewMesh returns the mesh of the member named from. dial creates the client of
// the member at an address. log may be nil.
func NewMesh(from string, dial func(address string) jacinthplankv1connect.QuorumServiceClient, log *slog.Logger) *Mesh {
	m := &Mesh{from: from, dial: dial, failures: newCallFailures(log), idleTime: senderIdleTime, queues: map[lane]*ring.Ring[[]byte]{}, disks: map[lane]quorum.DiskIdentity{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Send implements quorum.Transport.
func (m *Mesh) Send(to quorum.Member, messages [][]byte) { m.put(to, false, messages) }

// SendBulk implements quorum.BulkTransport.
func (m *Mesh) SendBulk(to quorum.Member, messages [][]byte) { m.put(to, true, messages) }

func (m *Mesh) put(to quorum.Member, isBulk bool, messages [][]byte) {
	l := lane{name: to.Name, address: to.Address, isBulk: isBulk}
	dropped := m.enqueue(l, to.Disk, messages)
	meshDropped.Add(int(dropped))
	if dropped > 0 {
		m.reportLoss(l)
	}
}

// enqueue returns how many messages were dropped. The lock is held meanwhile, so that the sender
// doesn't end between the look-up of its queue and the message.
func (m *Mesh) enqueue(l lane, disk quorum.DiskIdentity, messages [][]byte) (dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queue(l)
	if q == nil {
		return 0
	}
	m.disks[l] = disk
	before := q.Dropped()
	for _, message := range messages {
		q.Put(message)
	}
	return q.Dropped() - before
}

func (m *Mesh) reportLoss(l lane) {
	if !l.isBulk || m.OnBulkLost == nil {
		return
	}
	m.mu.Lock()
	disk := m.disks[l]
	m.mu.Unlock()
	m.OnBulkLost(disk)
}

// queue returns a send queue of a member. It returns nil for a new one once the mesh is closed.
// The caller holds the lock.
func (m *Mesh) queue(l lane) *ring.Ring[[]byte] {
	q, ok := m.queues[l]
	if ok || m.closed {
		return q
	}
	q = ring.New[[]byte](sendQueueCapacity, ring.DropOldest)
	m.queues[l] = q
	client := m.dial(l.address)
	m.senders.Go(func() { m.sendLoop(l, q, client) })
	return q
}

// sendLoop sends the messages of one queue in batches until none come any more.
func (m *Mesh) sendLoop(l lane, q *ring.Ring[[]byte], client jacinthplankv1connect.QuorumServiceClient) {
	idle := time.NewTimer(m.idleTime)
	defer idle.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-idle.C:
			if m.endIdle(l, q) {
				return
			}
			idle.Reset(m.idleTime)
		case first := <-q.Items():
			batch, size := collectBatch(first, q)
			meshSent.Add(len(batch))
			err := m.call(l, client, batch, size)
			if err != nil {
				meshFailed.Inc()
				m.reportLoss(l)
			}
			if m.ctx.Err() == nil {
				m.failures.note(l, time.Now(), err)
			}
			idle.Reset(m.idleTime)
		}
	}
}

// endIdle removes a queue, unless a message was added meanwhile, and reports whether it did.
func (m *Mesh) endIdle(l lane, q *ring.Ring[[]byte]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.Len() > 0 {
		return false
	}
	delete(m.queues, l)
	delete(m.disks, l)
	m.failures.forget(l)
	return true
}

// collectBatch returns first and the messages queued behind it, and their size. It stops once
// the batch has reached maxBatchBytes.
func collectBatch(first []byte, q *ring.Ring[[]byte]) (batch [][]byte, size int) {
	batch, size = [][]byte{first}, len(first)
	for size < maxBatchBytes {
		select {
		case next := <-q.Items():
			batch = append(batch, next)
			size += len(next)
		default:
			return batch, size
		}
	}
	return batch, size
}

func (m *Mesh) call(l lane, client jacinthplankv1connect.QuorumServiceClient, batch [][]byte, size int) error {
	timeout := sendTimeout + time.Duration(size)*time.Second/minBytesPerSecond
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	_, err := client.Send(ctx, connect.NewRequest(&pb.SendRequest{From: m.from, To: l.name, Messages: batch}))
	return err
}

// Close stops all sender goroutines and waits for them.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.senders.Wait()
	m.failures.close()
}
