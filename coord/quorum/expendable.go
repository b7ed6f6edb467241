package quorum

import (
	"context"
	"errors"
	"fmt"
)

// ErrNotExpendable means that the leader can't show that the committed entries are held by
// a majority without the disk in question.
var ErrNotExpendable = errors.New("quorum: no majority holds all committed entries without this disk")

// ConfirmExpendable returns nil on the leader if a majority of the voters, all of them
// other than the one named, has every committed entry on disk. The named member must have
// stopped before the call. Its disk may then be emptied without losing what was committed.
func (n *Node) ConfirmExpendable(ctx context.Context, name string) error {
	// Without the confirmation a leader that was deposed would answer for an older commit.
	if err := n.ReadIndex(ctx); err != nil {
		return err
	}
	done := make(chan error, 1)
	select {
	case n.coreCalls <- func() { done <- n.core.confirmExpendable(name) }:
		return <-done
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCanceled, ctx.Err())
	case <-n.ctx.Done():
		return ErrStopped
	}
}

func (c *Core) confirmExpendable(name string) error {
	if c.role != Leader {
		return ErrNoQuorum
	}
	// Until a change is committed, the configuration before it may come back into effect.
	if c.configurations[len(c.configurations)-1].index > c.commit {
		return ErrChangePending
	}
	holders := 0
	for _, v := range c.Configuration().Voters {
		if v.Name != name && c.syncedIndex(v.Disk) >= c.commit {
			holders++
		}
	}
	if holders < c.Configuration().Quorum() {
		return fmt.Errorf("%w: %d of %d voters hold entry %d", ErrNotExpendable, holders, len(c.Configuration().Voters), c.commit)
	}
	return nil
}

// syncedIndex returns the last entry that this leader knows to be on a member's disk.
func (c *Core) syncedIndex(disk DiskIdentity) uint64 {
	if disk == c.config.Self {
		return c.synced
	}
	if p := c.leaderState.progress[disk]; p != nil {
		return p.match
	}
	return 0
}
