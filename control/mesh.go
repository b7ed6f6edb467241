package control

import (
	"context"
	"errors"
	"log/slog"
	"slices"
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
	sendQueueCapacity = 128      // messages
	maxBatchBytes     = 64 << 10 // before the last message
	sendTimeout       = time.Second
	// minBytesPerSecond prolongs calls with large messages, up to a command of 8 MiB. A call that
	// is given up too soon is sent again, and again too slow.
	minBytesPerSecond = 1 << 20
	// maxSlowdown bounds how often the time limit of bulk calls is doubled while they time out.
	// It is then that of a link with a sixteenth of minBytesPerSecond.
	maxSlowdown = 4
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
	// OnBulk, if set, is called when bulk messages to a disk may not have arrived, and when none
	// is on its way any more. It must not block and is set before the first message is sent.
	OnBulk func(disk quorum.DiskIdentity, isLost bool)

	from     string
	dial     func(address string) jacinthplankv1connect.QuorumServiceClient
	failures *callFailures
	idleTime time.Duration

	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	queues map[lane]*ring.Ring[outgoing]
	closed bool
}

// outgoing is a queued message. The new disk of an entry has the name and address of the lost one.
type outgoing struct {
	disk quorum.DiskIdentity
	data []byte
}

// NewMesh returns the mesh of the member named from. dial creates the client of
// the member at an address. log may be nil.
func NewMesh(from string, dial func(address string) jacinthplankv1connect.QuorumServiceClient, log *slog.Logger) *Mesh {
	m := &Mesh{from: from, dial: dial, failures: newCallFailures(log), idleTime: senderIdleTime, queues: map[lane]*ring.Ring[outgoing]{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Send implements quorum.Transport.
func (m *Mesh) Send(to quorum.Member, messages [][]byte) { m.put(to, false, messages) }

// SendBulk implements quorum.BulkTransport.
func (m *Mesh) SendBulk(to quorum.Member, messages [][]byte) { m.put(to, true, messages) }

func (m *Mesh) put(to quorum.Member, isBulk bool, messages [][]byte) {
	l := lane{name: to.Name, address: to.Address, isBulk: isBulk}
	if to.Address == "" {
		// A member that stands for none, or isn't known yet. Calls would count as failing for good.
		meshDropped.Add(len(messages))
		m.report(l, to.Disk, true)
		return
	}
	dropped := m.enqueue(l, to.Disk, messages)
	meshDropped.Add(int(dropped))
	if dropped > 0 {
		m.report(l, to.Disk, true)
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
	before := q.Dropped()
	for _, message := range messages {
		q.Put(outgoing{disk, message})
	}
	return q.Dropped() - before
}

// reportBatch reports on the messages of one call, once for each disk.
func (m *Mesh) reportBatch(l lane, batch []outgoing, isLost bool) {
	for i, message := range batch {
		if !slices.ContainsFunc(batch[:i], func(o outgoing) bool { return o.disk == message.disk }) {
			m.report(l, message.disk, isLost)
		}
	}
}

// report reports on the bulk messages to a disk.
func (m *Mesh) report(l lane, disk quorum.DiskIdentity, isLost bool) {
	if l.isBulk && m.OnBulk != nil {
		m.OnBulk(disk, isLost)
	}
}

// queue returns a send queue of a member. It returns nil for a new one once the mesh is closed.
// The caller holds the lock.
func (m *Mesh) queue(l lane) *ring.Ring[outgoing] {
	q, ok := m.queues[l]
	if ok || m.closed {
		return q
	}
	q = ring.New[outgoing](sendQueueCapacity, ring.DropOldest)
	m.queues[l] = q
	client := m.dial(l.address)
	m.senders.Go(func() { m.sendLoop(l, q, client) })
	return q
}

// sendLoop sends the messages of one queue in batches until none come any more.
func (m *Mesh) sendLoop(l lane, q *ring.Ring[outgoing], client jacinthplankv1connect.QuorumServiceClient) {
	idle := time.NewTimer(m.idleTime)
	defer idle.Stop()
	slowdown := 0 // doublings of the time limit of a call
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
			next, err := m.call(l, client, batch, size, slowdown)
			slowdown = next
			if err != nil {
				meshFailed.Inc()
			}
			if err != nil || q.Len() == 0 {
				m.reportBatch(l, batch, err != nil)
			}
			if m.ctx.Err() == nil {
				m.failures.note(l, time.Now(), err)
			}
			idle.Reset(m.idleTime)
		}
	}
}

// endIdle removes a queue, unless a message was added meanwhile, and reports whether it did.
func (m *Mesh) endIdle(l lane, q *ring.Ring[outgoing]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.Len() > 0 {
		return false
	}
	delete(m.queues, l)
	m.failures.forget(l)
	return true
}

// collectBatch returns first and the messages queued behind it, and their size. It stops once
// the batch has reached maxBatchBytes.
func collectBatch(first outgoing, q *ring.Ring[outgoing]) (batch []outgoing, size int) {
	batch, size = []outgoing{first}, len(first.data)
	for size < maxBatchBytes {
		select {
		case next := <-q.Items():
			batch = append(batch, next)
			size += len(next.data)
		default:
			return batch, size
		}
	}
	return batch, size
}

// timeLimit returns the time limit of a call with so many bytes.
func timeLimit(size, slowdown int) time.Duration {
	return sendTimeout + time.Duration(size)*time.Second/minBytesPerSecond<<slowdown
}

// call sends a batch and returns the doublings of the time limit of the next call. A call that
// fails before its time limit, as one to a machine without power does, tells nothing of the link.
func (m *Mesh) call(l lane, client jacinthplankv1connect.QuorumServiceClient, batch []outgoing, size, slowdown int) (next int, err error) {
	messages := make([][]byte, len(batch))
	for i, message := range batch {
		messages[i] = message.data
	}
	ctx, cancel := context.WithTimeout(m.ctx, timeLimit(size, slowdown))
	defer cancel()
	started := time.Now()
	_, err = client.Send(ctx, connect.NewRequest(&pb.SendRequest{From: m.from, To: l.name, Messages: messages}))
	switch {
	case err == nil && slowdown > 0 && time.Since(started) < timeLimit(size, slowdown-1)/2:
		return slowdown - 1, nil
	case l.isBulk && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return min(slowdown+1, maxSlowdown), err
	default:
		return slowdown, err
	}
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
