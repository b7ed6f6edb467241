package daemon

import (
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// onMemberChange applies a membership change to the directory.
func (d *Daemon) onMemberChange(c membership.Change) {
	d.recordMemberChange(c)
	r := c.After
	if !isEndpoint(r) {
		return
	}
	now := time.Now()
	if r.State.Gone() {
		d.directory.Remove(now, r.Name)
		return
	}
	d.directory.Announce(now, endpointFromRecord(r))
}

// recordMemberChange records state changes in the timeline.
func (d *Daemon) recordMemberChange(c membership.Change) {
	e := timeline.Event{Step: "gossip", Peer: c.After.Name, Detail: c.After.State.String()}
	switch {
	case c.Before == nil && !c.After.State.Gone(), c.Before != nil && c.Before.State.Gone() && !c.After.State.Gone():
		e.Kind = timeline.KindJoined
	case c.Before != nil && c.Before.State == c.After.State:
		return
	case c.After.State == membership.Leaving:
		e.Kind = timeline.KindDraining
	case c.Before != nil && c.After.State.Gone():
		e.Kind = timeline.KindLeft
	default:
		return
	}
	d.recorder.Record(e)
	d.log.Info("member changed", "member", c.After.Name, "state", c.After.State.String())
}

// onPeerBacklog stores a backlog received with a heartbeat.
func (d *Daemon) onPeerBacklog(b submit.Backlog, _ uint64) {
	d.directory.Observe(time.Now(), b)
}

func isEndpoint(r membership.Record) bool {
	f := gossip.Facts(r)
	return f.GetService() != "" || len(f.GetModels()) > 0 || f.GetMemoryBlocks() > 0
}

func endpointFromRecord(r membership.Record) directory.Endpoint {
	f := gossip.Facts(r)
	return directory.Endpoint{
		Name:           r.Name,
		Address:        r.Address,
		FailureDomain:  r.FailureDomain,
		Kind:           f.GetKind(),
		Service:        f.GetService(),
		Models:         f.GetModels(),
		Adapters:       f.GetAdapters(),
		MemoryBlocks:   int(f.GetMemoryBlocks()),
		MemoryTokens:   int(f.GetMemoryTokens()),
		MaxPrompt:      int(f.GetMaxPrompt()),
		ExportsKV:      f.GetExportsKv(),
		PrefillPerSec:  f.GetPrefillPerSecond(),
		DecodePerSec:   f.GetDecodePerSecond(),
		AttentionScale: int(f.GetAttentionScale()),
		Incarnation:    r.Incarnation,
		Sequence:       r.Sequence + 1,
		Backlog:        submit.Backlog{Endpoint: r.Name, Leaving: r.State == membership.Leaving},
	}
}
