package standin

import (
	"container/list"
	"slices"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/prefix"
)

// maxKeysPerPiece limits the prefix keys recorded for one cached piece.
const maxKeysPerPiece = 8

// pieceCache is a runner's LRU cache of prompt pieces. It records the keys of
// the prefix levels that end with a piece, and reports when such a level is
// stored or removed.
type pieceCache struct {
	limit     int
	order     *list.List // of uint64 piece keys, most recently used first
	index     map[uint64]*list.Element
	levelKeys map[uint64][]prefix.Key
	onEvent   func(kind string, key prefix.Key)
}

func newPieceCache(limit int, onEvent func(kind string, key prefix.Key)) *pieceCache {
	return &pieceCache{
		limit:     limit,
		order:     list.New(),
		index:     make(map[uint64]*list.Element),
		levelKeys: make(map[uint64][]prefix.Key),
		onEvent:   onEvent,
	}
}

func (c *pieceCache) size() int { return c.order.Len() }

// lookup returns how many of the leading pieces are cached, and then inserts all
// pieces or marks them as used.
func (c *pieceCache) lookup(keys []uint64) int {
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
		c.evict(c.order.Remove(c.order.Back()).(uint64))
	}
}

func (c *pieceCache) evict(key uint64) {
	delete(c.index, key)
	for _, level := range c.levelKeys[key] {
		c.onEvent(engine.CacheRemoved, level)
	}
	delete(c.levelKeys, key)
}

// addLevelKey records that the level with the given key ends with a piece, and
// reports the level as stored. It has no effect if the piece is not cached, has
// the key already or has maxKeysPerPiece keys.
func (c *pieceCache) addLevelKey(piece uint64, key prefix.Key) {
	keys := c.levelKeys[piece]
	if c.index[piece] == nil || len(keys) == maxKeysPerPiece || slices.Contains(keys, key) {
		return
	}
	c.levelKeys[piece] = append(keys, key)
	c.onEvent(engine.CacheStored, key)
}
