// Package caches folds what engines and stores tell of their caches to what each
// of them holds, and answers where a prompt's beginning can be had.
//
// The load pattern: prompts share beginnings, and whatever an engine has read for
// one of them costs a hundredth to fetch of what it costs to read again. Placing by
// a hash alone keeps a shared beginning at one engine, and whoever must go elsewhere
// does not know what is there.
//
// Events come late and some never come, so a Table is a belief: what it says is
// held may be gone, and a fetch of what is gone costs a millisecond. The package
// does no I/O and reads no clock. A Table is not safe for concurrent use.
package caches

import (
	"slices"

	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/prefix"
)

// SegmentKey names a piece of a prompt in the cache of a holder. Equal parts can stand
// for each other: they were read under the same weights, for the same readers.
type SegmentKey uint64

// NewSegmentKey names the piece with the id under the salt that keeps weights and
// organisations apart.
func NewSegmentKey(salt, id string) SegmentKey { return SegmentKey(hash.Text(salt + "\x00" + id)) }

// Event is one change of what a holder has of a part.
type Event struct {
	Sequence int64 // in the holder's sequence
	Segment  SegmentKey
	Tokens   int // that it holds now; 0: none
}

// Batch is the answer of a holder to one question.
type Batch struct {
	Incarnation int64 // changes when the holder starts again, with an empty cache
	Next        int64 // where to ask on
	Lost        bool  // events before these are not kept any more
	Events      []Event
}

// blockTokens is the least unit of a cache. The end of a part may not fill a block,
// and counts as held without it.
const blockTokens = 16

// leastTidy is the number of overtaken arrivals that are not worth dropping.
const leastTidy = 64

// holder is one engine or store.
type holder struct {
	epoch    int64
	capacity int // tokens; 0: not known
	tokens   int
	parts    map[SegmentKey]held
	order    []arrival // of the parts, oldest first; some have gone since
}

type held struct {
	tokens int
	number int64 // of the newest event
}

type arrival struct {
	part   SegmentKey
	number int64
}

// Table is what the holders that are followed hold, by name.
type Table struct{ holders map[string]*holder }

// New returns an empty Table.
func New() *Table { return &Table{holders: map[string]*holder{}} }

// Apply takes a batch of a holder with the given capacity in tokens; 0: not known.
func (t *Table) Apply(name string, capacity int, b Batch) {
	h := t.holders[name]
	if h == nil || h.epoch != b.Incarnation || b.Lost {
		// It began anew, or what went meanwhile is not known: only what comes from
		// now on is sure.
		h = &holder{epoch: b.Incarnation, parts: map[SegmentKey]held{}}
		t.holders[name] = h
	}
	h.capacity = capacity
	for _, e := range b.Events {
		h.apply(e)
	}
	h.bound()
	h.tidy()
}

func (h *holder) apply(e Event) {
	old, had := h.parts[e.Segment]
	h.tokens += e.Tokens - old.tokens
	if e.Tokens <= 0 {
		delete(h.parts, e.Segment)
		return
	}
	h.parts[e.Segment] = held{e.Tokens, e.Sequence}
	if !had || old.number != e.Sequence {
		h.order = append(h.order, arrival{e.Segment, e.Sequence})
	}
}

// bound drops the oldest parts past the capacity.
//
// Some removals never come. What they removed would be believed in for ever, and
// prompts would go to where nothing of them is; but no cache holds more than it
// has room for.
func (h *holder) bound() {
	drop := 0
	for ; drop < len(h.order); drop++ {
		a := h.order[drop]
		now, have := h.parts[a.part]
		switch {
		case !have || now.number != a.number:
			continue // gone, or renewed since
		case h.capacity <= 0 || h.tokens <= h.capacity:
			h.order = h.order[drop:]
			return
		}
		h.tokens -= now.tokens
		delete(h.parts, a.part)
	}
	h.order = h.order[:0]
}

// tidy drops arrivals that were overtaken, once they are most of the list.
func (h *holder) tidy() {
	if len(h.order) < 2*len(h.parts)+leastTidy {
		return
	}
	h.order = slices.DeleteFunc(h.order, func(a arrival) bool {
		now, have := h.parts[a.part]
		return !have || now.number != a.number
	})
}

// Remove drops a holder that is followed no more.
func (t *Table) Remove(name string) { delete(t.holders, name) }

// Prompt is a prompt's parts as caches name them.
type Prompt struct {
	parts  []SegmentKey
	tokens []int
}

// NewPrompt names the parts of a prompt under a salt.
func NewPrompt(salt string, parts []prefix.Segment) Prompt {
	p := Prompt{parts: make([]SegmentKey, len(parts)), tokens: make([]int, len(parts))}
	for i := range parts {
		p.parts[i], p.tokens[i] = NewSegmentKey(salt, parts[i].ID), parts[i].Tokens
	}
	return p
}

// CachedTokens returns how many leading tokens of the prompt the holder has; false if it
// is not followed. A part counts only if all parts before it are there.
func (t *Table) CachedTokens(name string, p Prompt) (int, bool) {
	h := t.holders[name]
	if h == nil {
		return 0, false
	}
	tokens := 0
	for i, part := range p.parts {
		have := h.parts[part].tokens
		tokens += min(have, p.tokens[i])
		if have == 0 || have+blockTokens <= p.tokens[i] {
			break
		}
	}
	return tokens, true
}
