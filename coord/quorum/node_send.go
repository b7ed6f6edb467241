package quorum

// envelope is an encoded message with its receiver.
type envelope struct {
	to   Member
	data []byte
}

// member returns what is known of the member with the given disk.
func (n *Node) member(disk DiskIdentity) (Member, bool) {
	if disk == n.self.Disk {
		return n.self, true
	}
	if m, ok := n.core.Configuration().Member(disk); ok {
		return m, true
	}
	m, ok := n.peers[disk]
	return m, ok
}

func (n *Node) envelopes(messages []Message) []envelope {
	var out []envelope
	for _, m := range messages {
		to, ok := n.member(m.To)
		if !ok {
			messagesDropped.Inc()
			continue
		}
		out = append(out, n.envelope(to, m)...)
	}
	return out
}

func (n *Node) envelope(to Member, m Message) []envelope {
	data, err := EncodeMessage(m)
	if err != nil {
		messagesDropped.Inc()
		return nil
	}
	return []envelope{{to, data}}
}

// send hands messages to the transport, those for one member together.
func (n *Node) send(envelopes []envelope) {
	if n.options.Transport == nil {
		return
	}
	for len(envelopes) > 0 {
		to := envelopes[0].to
		var batch [][]byte
		var rest []envelope
		for _, e := range envelopes {
			if e.to != to {
				rest = append(rest, e)
				continue
			}
			batch = append(batch, e.data)
			messageBytesSent.Add(len(e.data))
		}
		messagesSent.Add(len(batch))
		n.options.Transport.Send(to, batch)
		envelopes = rest
	}
}
