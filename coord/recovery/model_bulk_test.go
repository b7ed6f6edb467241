package recovery_test

import (
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// minCallBytes is the bytes a second that prolong the time limit of a call.
const minCallBytes = 1 << 20

// reportingTransport is the transport of an entry that reports what became of bulk messages, as
// that of package control does: when its call fails, and when none is on its way any more.
type reportingTransport struct{ *entry }

var _ quorum.BulkTransport = reportingTransport{}

// transport returns what a member of this entry sends its messages with.
func (e *entry) transport() quorum.Transport {
	if e.model.overtakes {
		return reportingTransport{e}
	}
	return e
}

// SendBulk implements quorum.BulkTransport.
func (t reportingTransport) SendBulk(to quorum.Member, messages [][]byte) {
	e, m := t.entry, t.model
	e.awaitServed()
	for _, message := range messages {
		m.mu.Lock()
		if e.onTheWay == nil {
			e.onTheWay = map[quorum.DiskIdentity]int{}
		}
		e.onTheWay[to.Disk]++
		m.mu.Unlock()
		limit := sendTimeout + time.Duration(len(message))*time.Second/minCallBytes
		ends, isDelivered := limit, false
		if queued, isSent := e.useLink(len(message)); isSent {
			if ends, isDelivered = e.deliver(to, message, queued); !isDelivered {
				ends = queued + m.duration(limit) // a connection that is reset, or one that goes silent
			}
		}
		time.AfterFunc(ends, func() { e.reportBulk(to.Disk, !isDelivered || m.reachable(e, to.Address) == nil) })
	}
}

// reportBulk reports to the member the end of a call to another one.
func (e *entry) reportBulk(disk quorum.DiskIdentity, isLost bool) {
	e.model.mu.Lock()
	e.onTheWay[disk]--
	isLast := e.onTheWay[disk] == 0
	e.model.mu.Unlock()
	node := e.currentNode()
	if node != nil && (isLost || isLast) {
		node.ReportBulk(disk, isLost)
	}
}
