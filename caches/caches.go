// Package caches tracks the contents of the KV caches of engines and stores from
// their cache events, to find where a prompt's prefix is cached.
//
// Prompts share prefixes, and fetching the KV cache of a prefix costs a hundredth
// of its prefill. Placement by a hash alone keeps a shared prefix at one engine, and
// gives no information about other engines for prompts that cannot go there.
//
// Events arrive late and some are lost, so a Table is approximate: a segment that it
// lists may have been evicted, and fetching an evicted segment costs a millisecond.
// The package does no I/O and reads no clock. A Table is not safe for concurrent
// use.
package caches

import (
	"slices"

	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/prefix"
)

// SegmentKey identifies a segment of a prompt in the caches. Segments with the same
// key are interchangeable: they were computed with the same weights, for the same
// organisations.
type SegmentKey uint64

// NewSegmentKey returns the key of the segment with the ID. The salt separates
// weights and organisations.
func NewSegmentKey(salt, id string) SegmentKey { return SegmentKey(hash.Text(salt + "\x00" + id)) }

// Event is a change of the cached tokens of one segment at a holder.
type Event struct {
	Sequence int64 // event number at the holder
	Segment  SegmentKey
	Tokens   int // cached after the event; 0: removed
}

// Batch is a holder's answer to one request for events.
type Batch struct {
	Incarnation int64 // changes when the holder restarts, with an empty cache
	Next        int64 // sequence number to request next
	Lost        bool  // some requested events before these have been discarded
	Events      []Event
}

// blockTokens is the allocation unit of a cache. A segment whose last, partial block
// is missing counts as completely cached.
const blockTokens = 16

// minCompaction is the number of superseded updates from which on dropping them is
// worthwhile.
const minCompaction = 64

// holder is the state of one engine or store.
type holder struct {
	incarnation int64
	capacity    int // tokens; 0: unknown
	tokens      int
	segments    map[SegmentKey]segmentState
	updates     []update // oldest first; may include superseded ones
}

type segmentState struct {
	tokens   int
	sequence int64 // of the newest event
}

type update struct {
	segment  SegmentKey
	sequence int64
}

// Table tracks the cached segments of holders by the holders' names.
type Table struct{ holders map[string]*holder }

// New returns an empty Table.
func New() *Table { return &Table{holders: map[string]*holder{}} }

// Apply applies a batch of events of a holder. The capacity is in tokens; 0 means
// unknown.
func (t *Table) Apply(name string, capacity int, b Batch) {
	h := t.holders[name]
	if h == nil || h.incarnation != b.Incarnation || b.Lost {
		// After a restart or lost events, the earlier state may be out of date. Start
		// from an empty one.
		h = &holder{incarnation: b.Incarnation, segments: map[SegmentKey]segmentState{}}
		t.holders[name] = h
	}
	h.capacity = capacity
	for _, e := range b.Events {
		h.apply(e)
	}
	h.evictToCapacity()
	h.compact()
}

func (h *holder) apply(e Event) {
	old, existed := h.segments[e.Segment]
	h.tokens += e.Tokens - old.tokens
	if e.Tokens <= 0 {
		delete(h.segments, e.Segment)
		return
	}
	h.segments[e.Segment] = segmentState{e.Tokens, e.Sequence}
	if !existed || old.sequence != e.Sequence {
		h.updates = append(h.updates, update{e.Segment, e.Sequence})
	}
}

// evictToCapacity drops the oldest segments beyond the capacity.
//
// Some removal events are lost. Without a bound the removed segments would stay in
// the table for ever, and prompts would be sent to holders without their prefixes.
// Segments beyond a holder's capacity cannot be cached there.
func (h *holder) evictToCapacity() {
	drop := 0
	for ; drop < len(h.updates); drop++ {
		u := h.updates[drop]
		current, exists := h.segments[u.segment]
		switch {
		case !exists || current.sequence != u.sequence:
			continue // removed, or updated since
		case h.capacity <= 0 || h.tokens <= h.capacity:
			h.updates = h.updates[drop:]
			return
		}
		h.tokens -= current.tokens
		delete(h.segments, u.segment)
	}
	h.updates = h.updates[:0]
}

// compact drops superseded updates once they are most of the list.
func (h *holder) compact() {
	if len(h.updates) < 2*len(h.segments)+minCompaction {
		return
	}
	h.updates = slices.DeleteFunc(h.updates, func(u update) bool {
		current, exists := h.segments[u.segment]
		return !exists || current.sequence != u.sequence
	})
}

// Remove drops the state of a holder whose events are no longer followed.
func (t *Table) Remove(name string) { delete(t.holders, name) }

// Prompt is a prompt as the keys and lengths of its segments.
type Prompt struct {
	segments []SegmentKey
	tokens   []int
}

// NewPrompt returns the Prompt for the segments under a salt, see NewSegmentKey.
func NewPrompt(salt string, segments []prefix.Segment) Prompt {
	p := Prompt{segments: make([]SegmentKey, len(segments)), tokens: make([]int, len(segments))}
	for i := range segments {
		p.segments[i], p.tokens[i] = NewSegmentKey(salt, segments[i].ID), segments[i].Tokens
	}
	return p
}

// CachedTokens returns how many leading tokens of the prompt the holder has cached,
// and false if the holder is unknown. A segment counts only if all segments before it
// are completely cached.
func (t *Table) CachedTokens(name string, p Prompt) (int, bool) {
	h := t.holders[name]
	if h == nil {
		return 0, false
	}
	tokens := 0
	for i, key := range p.segments {
		cached := h.segments[key].tokens
		tokens += min(cached, p.tokens[i])
		if cached == 0 || cached+blockTokens <= p.tokens[i] {
			break
		}
	}
	return tokens, true
}
