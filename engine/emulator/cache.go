package emulator

import (
	"container/list"

	"github.com/jacinthplank/jacinthplank/engine"
)

// prefixCache keeps prefix blocks. Blocks that attempts use are pinned; the
// others are dropped least recently used first.
type prefixCache struct {
	entries map[engine.Block]*cacheEntry
	idle    *list.List // of *cacheEntry, most recently used first
}

type cacheEntry struct {
	block engine.Block
	pins  int
	place *list.Element // in idle, nil when pinned
}

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: make(map[engine.Block]*cacheEntry), idle: list.New()}
}

// match returns how many of the leading blocks are cached.
func (c *prefixCache) match(blocks []engine.Block) int {
	for i, b := range blocks {
		if c.entries[b] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) pin(b engine.Block) {
	entry := c.entries[b]
	entry.pins++
	if entry.place != nil {
		c.idle.Remove(entry.place)
		entry.place = nil
	}
}

func (c *prefixCache) unpin(b engine.Block) {
	entry := c.entries[b]
	entry.pins--
	if entry.pins == 0 {
		entry.place = c.idle.PushFront(entry)
	}
}

// insert adds a pinned block and reports whether it was new.
func (c *prefixCache) insert(b engine.Block) bool {
	if c.entries[b] != nil {
		return false
	}
	c.entries[b] = &cacheEntry{block: b, pins: 1}
	return true
}

// evict drops the idle block that was used longest ago.
func (c *prefixCache) evict() (engine.Block, bool) {
	last := c.idle.Back()
	if last == nil {
		return 0, false
	}
	entry := c.idle.Remove(last).(*cacheEntry)
	delete(c.entries, entry.block)
	return entry.block, true
}

// pinned returns how many blocks are in use.
func (c *prefixCache) pinned() int { return len(c.entries) - c.idle.Len() }
