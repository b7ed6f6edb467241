package quorum

// envelope is an encoded message and its receiver.
type envelope struct {
	to     Member
	data   []byte
	isBulk bool
}

// memberByDisk returns the member with the given disk, from the configuration or
// from messages received from it.
func (n *Node) memberByDisk(disk DiskIdentity) (Member, bool) {
	if disk == n.self.Disk {
		return n.self, true
	}
	if m, ok := n.core.Configuration().Member(disk); ok {
		return m, true
	}
	m, ok := n.peers[disk]
	return m, ok
}

func (n *Node) encodeAll(messages []Message) []envelope {
	var out []envelope
	for _, m := range messages {
		to, ok := n.memberByDisk(m.To)
		if !ok {
			messagesDropped.Inc()
			continue
		}
		out = append(out, n.encode(to, m)...)
	}
	return out
}

func (n *Node) encode(to Member, m Message) []envelope {
	data, err := EncodeMessage(m)
	if err != nil {
		messagesDropped.Inc()
		return nil
	}
	isBulk := len(m.Entries) > 0 || m.Kind == InstallSnapshot
	return []envelope{{to, data, isBulk}}
}

// send passes messages to the transport, batched by receiver.
func (n *Node) send(envelopes []envelope) {
	if n.options.Transport == nil {
		return
	}
	for len(envelopes) > 0 {
		to, isBulk := envelopes[0].to, envelopes[0].isBulk
		var batch [][]byte
		var rest []envelope
		for _, e := range envelopes {
			if e.to != to || e.isBulk != isBulk {
				rest = append(rest, e)
				continue
			}
			batch = append(batch, e.data)
			messageBytesSent.Add(len(e.data))
		}
		messagesSent.Add(len(batch))
		n.sendBatch(to, batch, isBulk)
		envelopes = rest
	}
}

func (n *Node) sendBatch(to Member, batch [][]byte, isBulk bool) {
	if bulk, ok := n.options.Transport.(BulkTransport); ok && isBulk {
		bulk.SendBulk(to, batch)
		return
	}
	n.options.Transport.Send(to, batch)
}

// deliveryReport tells what became of the bulk messages to a member.
type deliveryReport struct {
	disk   DiskIdentity
	isLost bool
}

// ReportBulk tells that entries or a part of a snapshot that were sent to a member may not have
// arrived, or that all of them have. They are sent again once the member replies, or if it doesn't
// acknowledge them soon. It doesn't block. The transport makes at most one report for each disk
// of a call, and for each message that it drops: a report that is lost costs the member many seconds.
func (n *Node) ReportBulk(disk DiskIdentity, isLost bool) {
	n.reports.put(deliveryReport{disk, isLost})
}

func (n *Node) handleReports() {
	for _, r := range n.reports.takeAll() {
		if r.isLost {
			n.core.ReportLost(r.disk)
		} else {
			n.core.ReportDelivered(r.disk)
		}
	}
}
