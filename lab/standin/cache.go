package standin

import "container/list"

// pieceCache is a runner's cache of prompt pieces with eviction of the least
// recently used.
type pieceCache struct {
	limit int
	order *list.List // of uint64 keys, the most recently used first
	index map[uint64]*list.Element
}

func newPieceCache(limit int) *pieceCache {
	return &pieceCache{limit: limit, order: list.New(), index: make(map[uint64]*list.Element)}
}

func (c *pieceCache) size() int { return c.order.Len() }

// hits returns how many of the leading pieces are cached, and then caches all.
func (c *pieceCache) hits(keys []uint64) int {
	n := 0
	for n < len(keys) && c.index[keys[n]] != nil {
		n++
	}
	for i := len(keys) - 1; i >= 0; i-- {
		c.touch(keys[i])
	}
	return n
}

func (c *pieceCache) touch(key uint64) {
	if e := c.index[key]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.index[key] = c.order.PushFront(key)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.index, c.order.Remove(oldest).(uint64))
	}
}
