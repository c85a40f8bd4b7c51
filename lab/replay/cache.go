package replay

import (
	"container/list"

	"github.com/merlindock/merlindock/prefix"
)

// cache is the block cache of a runner or of the KV store. It evicts the least
// recently used piece, and the deepest piece of a prompt first.
type cache struct {
	capacity int // tokens
	used     int
	index    map[prefix.Key]*list.Element
	order    *list.List // front: most recently used
	onChange func(k prefix.Key, stored bool)
}

type piece struct {
	key    prefix.Key
	tokens int
}

func newCache(capacity int, onChange func(prefix.Key, bool)) *cache {
	return &cache{capacity: capacity, index: map[prefix.Key]*list.Element{}, order: list.New(), onChange: onChange}
}

// match returns how many leading levels are cached, without marking them as
// used.
func (c *cache) match(levels []prefix.Level) int {
	for i := range levels {
		if _, ok := c.index[levels[i].Key]; !ok {
			return i
		}
	}
	return len(levels)
}

// touch marks the first n levels as used now.
func (c *cache) touch(levels []prefix.Level, n int) {
	for i := n - 1; i >= 0; i-- {
		if e, ok := c.index[levels[i].Key]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// store adds all levels, and evicts pieces until the capacity is kept.
func (c *cache) store(levels []prefix.Level) {
	for i := len(levels) - 1; i >= 0; i-- {
		k := levels[i].Key
		if e, ok := c.index[k]; ok {
			c.order.MoveToFront(e)
			continue
		}
		p := piece{key: k, tokens: levels[i].Tokens - prefixTokens(levels, i)}
		c.index[k] = c.order.PushFront(p)
		c.used += p.tokens
		c.onChange(k, true)
	}
	for c.used > c.capacity {
		e := c.order.Back()
		p := e.Value.(piece)
		c.order.Remove(e)
		delete(c.index, p.key)
		c.used -= p.tokens
		c.onChange(p.key, false)
	}
}

func (c *cache) clear() {
	c.used = 0
	clear(c.index)
	c.order.Init()
}

// prefixTokens returns the number of tokens of the first n levels.
func prefixTokens(levels []prefix.Level, n int) int {
	if n == 0 {
		return 0
	}
	return levels[n-1].Tokens
}
