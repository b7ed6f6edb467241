package emulator

import (
	"container/list"

	"github.com/jacinthplank/jacinthplank/engine"
)

// prefixCache holds prefix blocks. Blocks in use by attempts are pinned; the
// others are evicted in least-recently-used order.
type prefixCache struct {
	entries map[engine.Block]*cacheEntry
	idle    *list.List // unpinned *cacheEntry values, most recently used first
}

type cacheEntry struct {
	block       engine.Block
	refCount    int
	idleElement *list.Element // position in prefixCache.idle; nil while pinned
}

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: make(map[engine.Block]*cacheEntry), idle: list.New()}
}

// matchedBlocks returns the length of the longest cached prefix of blocks.
func (c *prefixCache) matchedBlocks(blocks []engine.Block) int {
	for i, b := range blocks {
		if c.entries[b] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) pin(b engine.Block) {
	entry := c.entries[b]
	entry.refCount++
	if entry.idleElement != nil {
		c.idle.Remove(entry.idleElement)
		entry.idleElement = nil
	}
}

func (c *prefixCache) unpin(b engine.Block) {
	entry := c.entries[b]
	entry.refCount--
	if entry.refCount == 0 {
		entry.idleElement = c.idle.PushFront(entry)
	}
}

// insert adds b with one pin. It reports false, and changes nothing, if b is
// already cached.
func (c *prefixCache) insert(b engine.Block) bool {
	if c.entries[b] != nil {
		return false
	}
	c.entries[b] = &cacheEntry{block: b, refCount: 1}
	return true
}

// evict removes the least recently used unpinned block. It reports false if
// every block is pinned.
func (c *prefixCache) evict() (engine.Block, bool) {
	last := c.idle.Back()
	if last == nil {
		return 0, false
	}
	entry := c.idle.Remove(last).(*cacheEntry)
	delete(c.entries, entry.block)
	return entry.block, true
}

// pinnedBlocks returns the number of pinned blocks.
func (c *prefixCache) pinnedBlocks() int { return len(c.entries) - c.idle.Len() }
